package cli

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"quetzalknot/httpwire/wiretest"
)

// spaces is a body of blanks that ends at last, and counts how much of it is read.
type spaces struct{ left, read int }

func (s *spaces) Read(p []byte) (int, error) {
	n := min(len(p), s.left)
	if n == 0 {
		return 0, io.EOF
	}
	copy(p, strings.Repeat(" ", n))
	s.left, s.read = s.left-n, s.read+n
	return n, nil
}

// TestResponseWithoutEnd: a response that does not end must not take all memory (incident 0014).
func TestResponseWithoutEnd(t *testing.T) {
	body := &spaces{left: 2 * maxResponseBytes}
	var v any
	err := decodeResponse(&http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body)}, &v)
	if err == nil || !strings.Contains(err.Error(), "more than") || body.read > maxResponseBytes+1 {
		t.Errorf("error %v after %d bytes", err, body.read)
	}
}

// TestBrokenResponsesOfHostsAreErrors guards against responses of hosts that no strict reader takes as such, and that the
// commands print as whole ones.
func TestBrokenResponsesOfHostsAreErrors(t *testing.T) {
	for name, response := range wiretest.Broken("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\"ok\"") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var v any
			if err := fetchJSON("http://"+wiretest.Serve(t, wiretest.Always(response)), &v); err == nil {
				t.Errorf("the broken response counts as %v", v)
			}
		})
	}
}
