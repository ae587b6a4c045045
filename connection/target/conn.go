package target

import (
	"bufio"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxAnswerHeader is the largest answer header, in bytes.
	maxAnswerHeader = 256 << 10
	// copyBuffer is the size in bytes of the pooled buffers for bodies.
	copyBuffer = 32 << 10
)

var errHeaderTooLarge = errors.New("answer header is too large")

// buffers holds buffers for bodies on their way through this host.
var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// conn is one connection to a target; it carries one exchange at a time.
type conn struct {
	net.Conn
	addr      string
	in        *bufio.Reader
	limit     headerLimit
	out       *bufio.Writer
	written   countingWriter
	reused    bool
	idleSince time.Time
	// keep is how long the connection may be idle; 0 means the pool's own limit.
	keep time.Duration
}

func newConn(raw net.Conn, addr string) *conn {
	c := &conn{Conn: raw, addr: addr}
	c.limit = headerLimit{r: raw, left: unlimited}
	c.in = bufio.NewReader(&c.limit)
	c.written.w = raw
	c.out = bufio.NewWriter(&c.written)
	return c
}

// quiet reports whether an idle connection is open and has nothing to read. Bytes
// that arrive before a request belong to no request of ours.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// closeWrite tells the target that its caller no longer waits, and leaves the
// other direction open.
func (c *conn) closeWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return c.Close()
	}
	return half.CloseWrite()
}

// countingWriter counts the bytes that were handed to the connection.
type countingWriter struct {
	w io.Writer
	n int64
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return n, err
}

// ReadFrom implements io.ReaderFrom with a pooled buffer.
func (c *countingWriter) ReadFrom(r io.Reader) (int64, error) {
	return Copy(struct{ io.Writer }{c}, r)
}

// Copy copies with a pooled buffer, which bounds the memory of a stream.
func Copy(w io.Writer, r io.Reader) (int64, error) {
	buf := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buf)
	return io.CopyBuffer(w, struct{ io.Reader }{r}, buf[:])
}

// unlimited switches a headerLimit off.
const unlimited = -1

// headerLimit bounds the bytes that are read for an answer header.
type headerLimit struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *headerLimit) Read(p []byte) (int, error) {
	if l.left == unlimited {
		return l.r.Read(p)
	}
	if l.left == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}
