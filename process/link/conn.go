package link

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// shortBytes is how much of each direction of an exchange never waits.
	shortBytes = 64 << 10
	// waitStep is how often a waiting body looks at its deadline.
	waitStep = 20 * time.Millisecond
)

// DialFunc has the form of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Pace returns a dial function whose connections from one region to another are
// counted and paced. regionOf returns the region of an address, or "".
func (l *Links) Pace(home string, regionOf func(addr string) string, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		region := regionOf(addr)
		if err != nil || region == "" || region == home {
			return conn, err
		}
		return &pacedConn{
			Conn: conn, links: l,
			out: Direction{From: home, To: region}, in: Direction{From: region, To: home},
		}, nil
	}
}

// pacedConn is a connection to a target in another region that carries one
// exchange after the other. Reads and writes may run beside each other.
type pacedConn struct {
	net.Conn
	links *Links
	out   Direction
	in    Direction
	// sent and received count the bytes of the current exchange.
	sent     atomic.Int64
	received atomic.Int64
	// readDeadline and writeDeadline are Unix nanoseconds; 0 means none.
	readDeadline  atomic.Int64
	writeDeadline atomic.Int64
	closed        atomic.Bool
}

// Write implements net.Conn.
func (c *pacedConn) Write(p []byte) (int, error) {
	if c.received.Swap(0) > 0 {
		c.sent.Store(0) // the first bytes after an answer begin another exchange
	}
	written := 0
	for written < len(p) {
		chunk := p[written:min(len(p), written+chunkBytes)]
		if err := c.spend(c.out, len(chunk), c.sent.Add(int64(len(chunk))), &c.writeDeadline); err != nil {
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

// Read implements net.Conn. The bytes of a long answer are paced after they are
// read: their sender then waits as well.
func (c *pacedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), chunkBytes)])
	if n > 0 {
		_ = c.spend(c.in, n, c.received.Add(int64(n)), &c.readDeadline) // the bytes are there
	}
	return n, err
}

// spend counts n bytes and, past the short part of the exchange, waits for them.
func (c *pacedConn) spend(d Direction, n int, total int64, deadline *atomic.Int64) error {
	now := time.Now()
	wait := c.links.Spend(d, n, now)
	if total <= shortBytes || wait == 0 {
		return nil
	}
	defer func() { c.links.waited.Add(time.Since(now).Microseconds()) }()
	for at, end := now, now.Add(wait); at.Before(end); at = time.Now() {
		if limit := deadline.Load(); c.closed.Load() || limit != 0 && at.UnixNano() >= limit {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(min(waitStep, end.Sub(at)))
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *pacedConn) SetDeadline(t time.Time) error {
	c.readDeadline.Store(nanos(t))
	c.writeDeadline.Store(nanos(t))
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *pacedConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.Store(nanos(t))
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *pacedConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(nanos(t))
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *pacedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
