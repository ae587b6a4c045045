// Package target exchanges HTTP requests with targets over pooled connections
// and says after each failure whether the request may have run.
//
// pool.go keeps idle connections, conn.go checks one before its reuse,
// exchange.go runs one request and its answer, end.go finds out when the target
// has ended a request that was given up.
package target

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// idleLimit is how many unused connections are kept to one target.
	idleLimit = 64
	// idleTime is how long a connection may be unused and still be used again.
	idleTime = 30 * time.Second
	// freshIdleTime is the same for requests that must not meet a target that
	// closes an idle connection at that moment.
	freshIdleTime = time.Second
)

// Dial opens a connection; it has the form of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool keeps connections to targets, by address. It is safe for concurrent use.
type Pool struct {
	dial Dial

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	ending sync.WaitGroup
}

// NewPool returns a pool without connections. A nil dial means net.Dialer.
func NewPool(dial Dial) *Pool {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Pool{dial: dial, idle: make(map[string][]*conn)}
}

// connection returns an idle connection that was used less than maxIdle ago, or a
// new one. A maxIdle of 0 always opens a new one.
func (p *Pool) connection(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.take(addr, maxIdle)
		if c == nil {
			return p.open(ctx, addr)
		}
		if c.quiet() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

// take removes the connection that was used last. Older ones stay for requests
// that allow a longer idle time.
func (p *Pool) take(addr string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	n := len(list)
	if n == 0 || list[n-1].idleFor() >= list[n-1].limitIdle(maxIdle) {
		return nil
	}
	c := list[n-1]
	list[n-1] = nil
	p.idle[addr] = list[:n-1]
	return c
}

// put keeps a connection for reuse, and closes those that were idle for too long.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	for len(list) > 0 && (list[0].idleFor() > list[0].limitIdle(idleTime) || len(list) >= idleLimit) {
		_ = list[0].Close()
		list = list[1:]
	}
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// Close closes the unused connections. Exchanges under way go on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, addr)
	}
}

// Probe opens and closes a connection to a target. It returns the error of the opening.
func (p *Pool) Probe(ctx context.Context, addr string) error {
	c, err := p.open(ctx, addr)
	if err != nil {
		return err
	}
	return c.Close()
}

func (p *Pool) open(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw, addr), nil
}

func (c *conn) idleFor() time.Duration { return time.Since(c.idleSince) }

// limitIdle returns the smaller of a limit and what the target allows.
func (c *conn) limitIdle(limit time.Duration) time.Duration {
	if c.keep > 0 {
		return min(limit, c.keep)
	}
	return limit
}
