// Package httpwire reads HTTP/1.1 responses from connections, below net/http.
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

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of a write that found the connection broken.
	writeErr error
}

// NewConn returns a Conn on an open connection.
func NewConn(raw net.Conn) *Conn { return &Conn{Conn: raw} }

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

// Read implements io.Reader. Its error is io.EOF only if the other end has ended the connection in order.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfStream()
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
