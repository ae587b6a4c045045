package target

import (
	"bufio"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/httpwire"
)

const (
	// maxResponseHeader is the largest response header, in bytes.
	maxResponseHeader = 256 << 10
	// copyBuffer is the size in bytes of the pooled buffers for copying bodies.
	copyBuffer = 32 << 10
)

var errHeaderTooLarge = errors.New("response header is too large")

// buffers is the pool of buffers for copying bodies.
var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// conn is a connection to a target. It carries one exchange at a time.
type conn struct {
	net.Conn
	addr string
	// wire is used for requests and responses, so that only valid responses are read.
	wire        *httpwire.Conn
	in          *bufio.Reader
	headerLimit headerLimiter
	out         *bufio.Writer
	written     countingWriter
	reused      bool
	idleSince   time.Time
	// socket is looked at by lookQuiet, which is isQuiet, before each reuse; nil if there is none.
	socket    syscall.RawConn
	lookQuiet func(fd uintptr) bool
	quiet     bool
	// idleTimeout limits how long the connection may be idle, according to the target; 0
	// means that only the limits of the pool apply.
	idleTimeout time.Duration
}

func newConn(raw net.Conn, addr string) *conn {
	c := &conn{Conn: raw, addr: addr, wire: httpwire.NewConn(raw)}
	c.headerLimit = headerLimiter{r: c.wire, remaining: unlimited}
	c.in = bufio.NewReader(&c.headerLimit)
	c.written.w = c.wire
	c.out = bufio.NewWriter(&c.written)
	c.socket, c.lookQuiet = newSocket(raw), c.isQuiet
	return c
}

// hasUnread reports whether bytes were received that have not been read, valid or not.
func (c *conn) hasUnread() bool { return c.in.Buffered() > 0 || c.wire.Invalid() != nil }

// reusable reports whether an idle connection is open and has no unread bytes. Bytes that
// arrive before a request is sent cannot belong to its response.
func (c *conn) reusable() bool {
	if c.hasUnread() {
		return false
	}
	if c.socket == nil {
		return true
	}
	c.quiet = false
	return c.socket.Read(c.lookQuiet) == nil && c.quiet
}

// newSocket returns the socket of a connection, or nil if it has none.
func newSocket(raw net.Conn) syscall.RawConn {
	sys, ok := raw.(syscall.Conn)
	if !ok {
		return nil
	}
	socket, err := sys.SyscallConn()
	if err != nil {
		return nil
	}
	return socket
}

// isQuiet sets quiet to whether the socket is open and has no bytes to read.
func (c *conn) isQuiet(fd uintptr) bool {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.quiet = err == syscall.EAGAIN
	return true
}

// closeWrite closes the sending direction, which cancels the request at the target, and
// leaves the receiving direction open.
func (c *conn) closeWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return c.Close()
	}
	return half.CloseWrite()
}

// countingWriter counts the bytes written to the connection.
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

// Copy copies with a pooled buffer, so that the memory per stream is bounded.
func Copy(w io.Writer, r io.Reader) (int64, error) {
	buf := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buf)
	return io.CopyBuffer(w, struct{ io.Reader }{r}, buf[:])
}

// unlimited disables a headerLimiter.
const unlimited = -1

// headerLimiter limits the number of bytes read for a response header.
type headerLimiter struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if l.remaining == unlimited {
		return l.r.Read(p)
	}
	if l.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
