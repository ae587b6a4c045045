package httpwire

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestInvalidLineIsNotPassedOn: what follows the last valid line must not be read.
func TestInvalidLineIsNotPassedOn(t *testing.T) {
	for _, tc := range []struct{ valid, invalid string }{
		{"", "HTTP/1.1 000 Nothing\r\n"},
		{"HTTP/1.1 200 OK\r\nA: 1\r\n", "B C: 1\r\n\r\n"},
		{"HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 099 Low\r\n"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/2.0 200 OK\r\n"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok", "ay\r\n"},
	} {
		var c Checker
		n, err := c.Check([]byte(tc.valid + tc.invalid))
		if n != len(tc.valid) || !errors.Is(err, ErrInvalid) {
			t.Errorf("%q: %d bytes are valid, %v", tc.valid+tc.invalid, n, err)
		}
	}
}

// TestLongLineIsInvalid: a line without end must not be kept in memory.
func TestLongLineIsInvalid(t *testing.T) {
	var c Checker
	piece := []byte(strings.Repeat("a", 1000))
	_, err := c.Check([]byte("HTTP/1.1 200 OK\r\n"))
	for n := 0; n < maxLineBytes && err == nil; n += len(piece) {
		_, err = c.Check(piece)
	}
	if !errors.Is(err, ErrInvalid) {
		t.Errorf("%v", err)
	}
}

// FuzzChecker checks arbitrary bytes: the pieces in which they come make no difference, and where net/http reads a valid
// response to its end, the checker expects the next one.
func FuzzChecker(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nSum: 1\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nok",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 200 OK\r\nA B: 1\r\n\r\n", "HTTP/1.1 000 Nothing\r\n\r\n",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed+seed), true)
	}
	f.Fuzz(func(t *testing.T, input []byte, headRequest bool) {
		method := http.MethodGet
		if headRequest {
			method = http.MethodHead
		}
		var whole, byteWise Checker
		whole.Expect(method)
		byteWise.Expect(method)
		_, err := whole.Check(input)
		var byteErr error
		for i := 0; i < len(input) && byteErr == nil; i++ {
			_, byteErr = byteWise.Check(input[i : i+1])
		}
		if (err == nil) != (byteErr == nil) {
			t.Fatalf("at once: %v; byte by byte: %v", err, byteErr)
		}
		checkEnd(t, input, method)
	})
}

// checkEnd compares the end of the first response with that which net/http finds.
func checkEnd(t *testing.T, input []byte, method string) {
	rest := bytes.NewReader(input)
	in := bufio.NewReader(rest)
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.ContentLength < 0 && resp.TransferEncoding == nil && resp.Body != http.NoBody {
		return
	}
	var c Checker
	c.Expect(method)
	end := len(input) - rest.Len() - in.Buffered()
	if _, err := c.Check(input[:end]); err == nil && (c.part != statusLine || len(c.partial) > 0) {
		t.Errorf("net/http reads a response of %d bytes; the checker is in part %d", end, c.part)
	}
}
