package link

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// unpacedBytes is how much of each direction of an exchange is sent without waiting.
	unpacedBytes = 64 << 10
	// waitPollInterval is how often a waiting body checks its deadline.
	waitPollInterval = 20 * time.Millisecond
)

// DialFunc has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// PacedDial returns a dial function whose connections to other regions are charged to the
// budgets and paced. regionOf returns the region of an address, or "" if unknown.
func (l *Links) PacedDial(home string, regionOf func(addr string) string, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		region := regionOf(addr)
		if err != nil || region == "" || region == home {
			return conn, err
		}
		return &pacedConn{
			Conn: conn, links: l,
			outbound: Direction{From: home, To: region}, inbound: Direction{From: region, To: home},
		}, nil
	}
}

// pacedConn is a connection to a target in another region that carries one exchange at a
// time. Read and Write may run concurrently.
type pacedConn struct {
	net.Conn
	links    *Links
	outbound Direction
	inbound  Direction
	// sent and received count the bytes of the current exchange.
	sent     atomic.Int64
	received atomic.Int64
	// readDeadline and writeDeadline are in Unix nanoseconds; 0 means none.
	readDeadline  atomic.Int64
	writeDeadline atomic.Int64
	closed        atomic.Bool
}

// Write implements net.Conn.
func (c *pacedConn) Write(p []byte) (int, error) {
	if c.received.Swap(0) > 0 {
		c.sent.Store(0) // the first write after a response starts a new exchange
	}
	written := 0
	for written < len(p) {
		chunk := p[written:min(len(p), written+chunkBytes)]
		if err := c.chargeAndWait(c.outbound, len(chunk), c.sent.Add(int64(len(chunk))), &c.writeDeadline); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Read implements net.Conn. It waits after reading the bytes of a long response; flow
// control then slows the sender down.
func (c *pacedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), chunkBytes)])
	if n > 0 {
		_ = c.chargeAndWait(c.inbound, n, c.received.Add(int64(n)), &c.readDeadline) // the bytes are already read, so they are returned
	}
	return n, err
}

// chargeAndWait charges n bytes to the budget. If the exchange has more than unpacedBytes,
// it waits until the budget allows them. It returns os.ErrDeadlineExceeded at the deadline
// or when the connection is closed.
func (c *pacedConn) chargeAndWait(d Direction, n int, total int64, deadline *atomic.Int64) error {
	now := time.Now()
	wait := c.links.Charge(d, n, now)
	if total <= unpacedBytes || wait == 0 {
		return nil
	}
	defer func() { c.links.waitMicros.Add(time.Since(now).Microseconds()) }()
	for at, end := now, now.Add(wait); at.Before(end); at = time.Now() {
		if limit := deadline.Load(); c.closed.Load() || limit != 0 && at.UnixNano() >= limit {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(min(waitPollInterval, end.Sub(at)))
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *pacedConn) SetDeadline(t time.Time) error {
	c.readDeadline.Store(unixNanos(t))
	c.writeDeadline.Store(unixNanos(t))
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *pacedConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.Store(unixNanos(t))
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *pacedConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(unixNanos(t))
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *pacedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// unixNanos returns t in Unix nanoseconds, or 0 for the zero time.
func unixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
