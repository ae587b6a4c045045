package httpwire

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// fakeConn is a connection whose reads see an end in order, and whose writes block until release is closed and then fail.
type fakeConn struct {
	net.Conn
	writing, release chan struct{}
	err              error
}

func (c *fakeConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *fakeConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.release
	return 0, &net.OpError{Op: "write", Err: c.err}
}

// SetWriteDeadline ends a write in progress.
func (c *fakeConn) SetWriteDeadline(time.Time) error {
	close(c.release)
	return nil
}

// TestWriteTakesReportOfBrokenConnection: the system reports a broken connection once. If a write takes the report, also
// one that has not returned yet, a read must not see an end in order.
func TestWriteTakesReportOfBrokenConnection(t *testing.T) {
	for _, tc := range []struct {
		name    string
		err     error
		inOrder bool
	}{
		{"reset", syscall.ECONNRESET, false},
		{"not acknowledged in time", syscall.ETIMEDOUT, false},
		{"no way to the other end", syscall.EHOSTUNREACH, false},
		{"reset after the end", syscall.EPIPE, true},
		{"interrupted", os.ErrDeadlineExceeded, true},
		{"closed here", net.ErrClosed, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			raw := &fakeConn{writing: make(chan struct{}), release: make(chan struct{}), err: tc.err}
			conn, written := NewConn(raw), make(chan error, 1)
			go func() {
				_, err := conn.Write(nil)
				written <- err
			}()
			<-raw.writing
			_, err := conn.Read(nil)
			if (err == io.EOF) != tc.inOrder || !tc.inOrder && !errors.Is(err, tc.err) {
				t.Errorf("read: %v", err)
			}
			if err := <-written; !errors.Is(err, tc.err) {
				t.Errorf("write: %v", err)
			}
		})
	}
}
