package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are meant for one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes the headers of one connection, with those that the
// Connection header names.
func removeHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}
