package entry

import (
	"context"
	"net"
	"sync"
	"time"
)

// narrowLink is the bandwidth of a narrow link in bytes a second: an eighth of 10 Mbit/s. The states of the tests are an eighth of those
// that such a link has to carry, so that decoding them at all hosts at once takes no part of the time.
const narrowLink = 1_250_000 / 8

// testLink is the inbound direction of the link of a host, which all its connections to the store and to partners share.
type testLink struct {
	mu sync.Mutex
	// bytesPerSecond is the bandwidth; 0 means unlimited.
	bytesPerSecond float64
	// freeAt is when all bytes that have arrived will have passed.
	freeAt time.Time
}

// attachLink makes a host use a link of its own for the connections that it opens.
func (c *cluster) attachLink(h *Host) {
	link := new(testLink)
	if c.startNarrow {
		link.bytesPerSecond = narrowLink
	}
	if c.links == nil {
		c.links = make(map[*Host]*testLink)
	}
	c.links[h] = link
	open := h.open
	h.open = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := open(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &linkedConn{Conn: conn, link: link}, nil
	}
}

// narrow limits the link of a host to a bandwidth in bytes a second.
func (c *cluster) narrow(h *Host, bytesPerSecond float64) {
	link := c.links[h]
	link.mu.Lock()
	defer link.mu.Unlock()
	link.bytesPerSecond = bytesPerSecond
}

// pass waits until a number of bytes has passed the link.
func (l *testLink) pass(bytes int) {
	l.mu.Lock()
	if l.bytesPerSecond == 0 {
		l.mu.Unlock()
		return
	}
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// linkedConn is a connection whose inbound bytes pass a link.
type linkedConn struct {
	net.Conn
	link *testLink
}

// Read implements net.Conn.
func (c *linkedConn) Read(p []byte) (int, error) {
	const packetBytes = 4 << 10 // connections share the link by turns
	n, err := c.Conn.Read(p[:min(len(p), packetBytes)])
	c.link.pass(n)
	return n, err
}
