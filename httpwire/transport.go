package httpwire

import "net/http"

// Transport is an http.Transport whose responses are read strictly.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that opens connections as t does. t must not be used otherwise.
func NewTransport(t *http.Transport) Transport {
	t.DialContext = Dialer(t.DialContext)
	return Transport{t}
}

// RoundTrip implements http.RoundTripper. A connection ends with the response to a HEAD request, since a Conn is not told
// the methods of the requests.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodHead {
		r = r.Clone(r.Context())
		r.Close = true
	}
	return t.Transport.RoundTrip(r)
}
