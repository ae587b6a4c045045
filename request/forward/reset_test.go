package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quetzalknot/request"
	"quetzalknot/verdict"
)

// resetting returns a handler that reads nothing of an upload, sends the start of a response and resets the connection while the
// upload is still being written.
func resetting(t *testing.T, response string, requests *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, response)
		time.Sleep(20 * time.Millisecond) // the upload fills the buffers meanwhile
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// TestResetUploadIsNoResponse: a response that a target resets while it is sent an upload must not reach the caller as a whole
// one, whatever frames its body, and the request may have run.
func TestResetUploadIsNoResponse(t *testing.T) {
	const part = "part of it"
	for name, fields := range map[string]string{
		"no length": "", "length": "Content-Length: 4000000\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "close": "Connection: close\r\n",
	} {
		for _, size := range []int{1000, 200 << 10, 4 << 20} {
			for _, more := range []int{0, 1 << 20} {
				t.Run(fmt.Sprintf("%s, %d up, %d down", name, size, more), func(t *testing.T) {
					t.Parallel()
					body := part + strings.Repeat("a", more)
					if name == "chunks" {
						body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
					}
					var requests atomic.Int32
					f := newFixture(t, resetting(t, "HTTP/1.1 200 OK\r\n"+fields+"\r\n"+body, &requests))
					w, whole := f.upload(size)
					if whole && w.Code < http.StatusMultipleChoices {
						t.Errorf("status %d with a body of %d bytes", w.Code, w.Body.Len())
					}
					if v := w.Header().Get(verdict.Header); v == "not-run" || requests.Load() != 1 {
						t.Errorf("verdict %q after %d runs", v, requests.Load())
					}
				})
			}
		}
	}
}

// upload sends a body of some bytes that may run once only. It returns whether the response was whole.
func (f *fixture) upload(size int) (w *httptest.ResponseRecorder, whole bool) {
	w = httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/roster", strings.NewReader(strings.Repeat("x", size)))
	r.Header.Set(request.HeaderService, f.svc.Name)
	defer func() { whole = recover() == nil }()
	f.ServeHTTP(w, r)
	return w, true
}
