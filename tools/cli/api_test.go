package cli

import (
	"io"
	"net/http"
	"strings"
	"testing"
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
