package caller

import (
	"strings"
	"testing"
)

// badRequests are requests that must be refused, with the status. Each is followed by a
// request that must not be served.
var badRequests = map[string]struct {
	text   string
	status int
}{
	"two lengths":              {"POST /now/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ntext", 400},
	"two different lengths":    {"POST /now/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\ncontent-length: 5\r\n\r\ntext", 400},
	"length and chunked":       {"POST /now/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	"chunked twice":            {"POST /now/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	"unknown encoding":         {"POST /now/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400},
	"chunked in HTTP/1.0":      {"POST /now/x HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	"bad length":               {"POST /now/x HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\ntext", 400},
	"bare CR in a value":       {"GET /now/x HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n", 400},
	"bare LF":                  {"GET /now/x HTTP/1.1\nHost: x\n\n", 400},
	"bare LF at the end":       {"GET /now/x HTTP/1.1\r\nHost: x\r\n\n", 400},
	"space before the colon":   {"GET /now/x HTTP/1.1\r\nHost: x\r\nContent-Length : 4\r\n\r\n", 400},
	"folded line":              {"GET /now/x HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", 400},
	"no colon":                 {"GET /now/x HTTP/1.1\r\nHost: x\r\nnothing\r\n\r\n", 400},
	"control character":        {"GET /now/x HTTP/1.1\r\nHost: x\r\nA: \x01\r\n\r\n", 400},
	"no host":                  {"GET /now/x HTTP/1.1\r\n\r\n", 400},
	"two hosts":                {"GET /now/x HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400},
	"no request line":          {"\r\nHost: x\r\n\r\n", 400},
	"unknown version":          {"GET /now/x HTTP/2.0\r\nHost: x\r\n\r\n", 505},
	"header without end":       {"GET /now/x HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 17<<10), 431},
	"header field without end": {"GET /now/x HTTP/1.1\r\n" + strings.Repeat("A: aaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 800), 431},
}

// TestBadRequestEndsConnection: a request that is malformed or ambiguous must be answered
// after those before it and end the connection, and nothing behind it may be served.
func TestBadRequestEndsConnection(t *testing.T) {
	for name, tc := range badRequests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newTestHandler()
			_, addr := startServer(t, h)
			c := dial(t, addr)
			c.send(get("/hold/a") + get("/now/b") + tc.text + get("/now/smuggled"))
			eventually(t, "both run", waitLimit, func() bool { return h.startedCount() == 2 })
			h.release("a")
			c.expect("a")
			c.expect("b")
			if status, _, closes, err := c.receive(); status != tc.status || !closes || err != nil {
				t.Errorf("response %d, closes %v, %v; want %d", status, closes, err, tc.status)
			}
			c.expectEnd()
			if h.startedCount() != 2 {
				t.Errorf("started: %v", h.started)
			}
		})
	}
}
