// Package httpwire reads HTTP/1.1 responses from connections as a strict reader of RFC 9110 and RFC 9112 does, below
// net/http, which is lenient in places.
//
// conn.go implements the connection that does so, checker.go checks the bytes of responses.
package httpwire

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// pastDeadline is a deadline in the past, which interrupts writes.
var pastDeadline = time.Unix(1, 0)

// Conn is a connection on which requests are sent and responses are read. One goroutine at a time may read and one may
// write.
type Conn struct {
	net.Conn

	checker Checker
	// invalid is the error of the first bytes that are not a response; nothing is read after them.
	invalid error

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of a write that found the connection broken.
	writeErr error
}

// NewConn returns a Conn on an open connection.
func NewConn(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// Expect prepares for the response to a request with a method. It need not be called before requests of methods other
// than HEAD.
func (c *Conn) Expect(method string) { c.checker.Expect(method) }

// Invalid returns the error of the first bytes that were read and are not a response, or nil.
func (c *Conn) Invalid() error { return c.invalid }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if isBroken(err) {
		c.writeErr = err
	}
	return n, err
}

// isBroken reports whether the error of a write means that the connection broke before its other end had ended it in
// order. After such an end a reset shows as EPIPE.
func isBroken(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read implements io.Reader. Its error is io.EOF only if the other end has ended the connection in order, and marked
// ErrInvalid if the next bytes are not a response.
func (c *Conn) Read(p []byte) (int, error) {
	if c.invalid != nil {
		return 0, c.invalid
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfStream()
	}
	valid, invalid := c.checker.Check(p[:n])
	if invalid != nil {
		c.invalid = invalid
		return valid, invalid
	}
	return n, err
}

// endOfStream returns the error of a read at the end of the stream. The system reports a broken connection once: if a
// write took that report, a read sees an end in order. A write in progress is interrupted, since it may be about to
// take it or wait for long.
func (c *Conn) endOfStream() error {
	_ = c.SetWriteDeadline(pastDeadline)
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return c.writeErr
	}
	return io.EOF
}

// DialFunc opens a connection. It has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a DialFunc whose connections are Conns. When dial is nil, net.Dialer is used.
func Dialer(dial DialFunc) DialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(raw), nil
	}
}
