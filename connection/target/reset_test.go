package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"quetzalknot/verdict"
)

// TestResetResponsesOfAllLengths: a target resets the connection after some or none of the body of a response without a
// length, while none, a part or all of an upload has been written. TestResetResponseWithoutLengthIsBroken has one such pair.
func TestResetResponsesOfAllLengths(t *testing.T) {
	const resetsEach = 8
	for _, uploaded := range []int{1, 64 << 10, 1 << 20, 8 << 20} {
		for _, answered := range []int{0, 10, 64 << 10, 1 << 20} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d up, %d down, chunked=%v", uploaded, answered, chunked), func(t *testing.T) {
					t.Parallel()
					s := listen(t, func(c *net.TCPConn, in *bufio.Reader) {
						if _, err := http.ReadRequest(in); err != nil {
							return
						}
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nQuetzal-Request-Id: r1\r\n\r\n"+strings.Repeat("a", answered))
						time.Sleep(20 * time.Millisecond) // the upload fills the buffers meanwhile
						_ = c.SetLinger(0)
					})
					for range resetsEach {
						body, err := exchangeUpload(t, s.Addr().String(), uploaded, chunked)
						if err == nil {
							t.Errorf("a reset response with %d bytes counts as whole", len(body))
						} else if v := verdict.Of(err); v != verdict.MayHaveRun {
							t.Errorf("verdict %v (%v)", v, err)
						}
					}
				})
			}
		}
	}
}

// exchangeUpload sends a body of some bytes and returns the body of the response.
func exchangeUpload(t *testing.T, addr string, size int, chunked bool) (string, error) {
	pool := NewPool(nil)
	defer pool.Close()
	request := newRequest("POST", strings.Repeat("x", size))
	if chunked {
		request.ContentLength = -1
	}
	resp, err := pool.Exchange(t.Context(), &Call{Addr: addr, Request: request, AllowUnframed: true, CloseOnCancel: true})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
