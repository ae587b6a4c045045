package serve_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// TestResetUploadReachesNoCaller: of an answer without a length that a target resets while it is sent the request, the caller
// gets nothing that looks whole. What may run twice is sent to another target, which must get the whole body although the
// first attempt still writes it, and the caller gets that target's answer.
func TestResetUploadReachesNoCaller(t *testing.T) {
	for _, kind := range kinds[:2] {
		for _, size := range []int{1000, 200 << 10, 6 << 20} {
			for _, answered := range []int{10, 2 << 20} {
				t.Run(fmt.Sprintf("%s, %d up, %d down", kind.name, size, answered), func(t *testing.T) {
					t.Parallel()
					f, _ := newLoggedFixture(t)
					var resets, wholes atomic.Int32
					for _, name := range []string{"i-1", "i-2"} {
						f.addRaw(name, func(c *net.TCPConn, in *bufio.Reader) {
							r, err := http.ReadRequest(in)
							if err != nil {
								return
							}
							if resets.Add(1) == 1 { // the first attempt
								resetAnswer(c, answered)
								return
							}
							if n, err := io.Copy(io.Discard, r.Body); err != nil || n != int64(size) {
								t.Errorf("another target got %d of %d bytes: %v", n, size, err)
							}
							wholes.Add(1)
							_, _ = io.WriteString(c, standin.Answer("r1", bodyFor("r1")))
						})
					}
					got := f.exchange(upload(kind.path, "r1", size))
					served := got.status == http.StatusOK && got.body == bodyFor("r1")
					if served != (wholes.Load() > 0) || got.status == http.StatusOK && !served {
						t.Errorf("status %d, body of %d bytes, after %d whole runs", got.status, len(got.body), wholes.Load())
					}
					if !kind.repeatable && resets.Load() != 1 {
						t.Errorf("%d runs", resets.Load())
					}
				})
			}
		}
	}
}

// resetAnswer sends an answer to the request r1 without a length, with a body of some bytes, and resets the connection.
func resetAnswer(c *net.TCPConn, size int) {
	body := strings.Repeat("a", size)
	_, _ = io.WriteString(c, strings.Replace(standin.Answer("r1", body), fmt.Sprintf("Content-Length: %d\r\n", size), "", 1))
	time.Sleep(20 * time.Millisecond) // the upload fills the buffers meanwhile
	_ = c.SetLinger(0)
}
