// Package target exchanges HTTP requests with targets over pooled connections and reports
// after each failure whether the request may have run.
//
// pool.go holds the idle connections, conn.go implements a connection and the check
// before its reuse, exchange.go sends one request and reads its response, end.go ends an
// exchange and determines when the target has ended a cancelled request.
package target

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// dialTimeout limits the time for opening a connection.
	dialTimeout = time.Second
	// maxIdleConns is the number of idle connections kept per target.
	maxIdleConns = 64
	// maxIdleTime is how long a connection may be idle before its reuse.
	maxIdleTime = 30 * time.Second
	// shortIdleTime replaces maxIdleTime for requests that must not fail because the target
	// closes an idle connection while they are sent.
	shortIdleTime = time.Second
	// sweepInterval is the time between two checks of all idle connections.
	sweepInterval = 5 * time.Second
)

// DialFunc opens a connection. It has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool holds idle connections to targets by address. It is safe for concurrent use.
type Pool struct {
	dial DialFunc

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	// sweptAt is when sweep last looked at all idle connections.
	sweptAt time.Time
	// cancelling counts the cancelled exchanges whose end at the target is awaited.
	cancelling sync.WaitGroup
}

// NewPool returns an empty pool. When dial is nil, net.Dialer is used.
func NewPool(dial DialFunc) *Pool {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Pool{dial: dial, idle: make(map[string][]*conn)}
}

// get returns an idle connection that was used less than maxIdle ago, or a new one. With a
// maxIdle of 0 it always opens a new one.
func (p *Pool) get(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.takeIdle(addr, maxIdle)
		if c == nil {
			return p.open(ctx, addr)
		}
		if c.reusable() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

// takeIdle removes and returns the most recently used connection, or returns nil when it
// was idle for too long. Older ones stay in the pool for requests that allow a longer
// idle time.
func (p *Pool) takeIdle(addr string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	n := len(list)
	if n == 0 || list[n-1].idleFor() >= list[n-1].capIdle(maxIdle) {
		return nil
	}
	c := list[n-1]
	list[n-1] = nil
	p.idle[addr] = list[:n-1]
	return c
}

// putIdle keeps a connection for reuse, and closes those that have been idle for too long
// and the oldest one when there are too many.
func (p *Pool) putIdle(c *conn) {
	now := time.Now()
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	list := p.idle[c.addr]
	for len(list) > 0 && (list[0].expired() || len(list) >= maxIdleConns) {
		_ = list[0].Close()
		list = list[1:]
	}
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// sweep closes the connections to all targets that have been idle for too long, at most once in sweepInterval, since
// those to a target that has left are never asked for again. The lock must be held.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for addr, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *conn) bool {
			expired := c.expired()
			if expired {
				_ = c.Close()
			}
			return expired
		})
		if p.idle[addr] = list; len(list) == 0 {
			delete(p.idle, addr)
		}
	}
}

// Close closes the idle connections. Exchanges in flight continue.
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

// Probe opens a connection to a target and closes it. It returns the error of the dial.
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

// expired reports whether an idle connection has been idle for too long.
func (c *conn) expired() bool { return c.idleFor() > c.capIdle(maxIdleTime) }

// capIdle returns the smaller of a limit and the idle timeout of the target.
func (c *conn) capIdle(limit time.Duration) time.Duration {
	if c.idleTimeout > 0 {
		return min(limit, c.idleTimeout)
	}
	return limit
}

// CloseIdle closes idle connections, since their descriptors are needed: those that have been idle for shortIdleTime or,
// if there are none, all.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closeIdleFor(shortIdleTime) == 0 {
		p.closeIdleFor(0)
	}
}

// closeIdleFor closes the connections that have been idle for a time and returns their number. The lock must be held.
func (p *Pool) closeIdleFor(idle time.Duration) int {
	closed := 0
	for addr, list := range p.idle {
		p.idle[addr] = slices.DeleteFunc(list, func(c *conn) bool {
			if c.idleFor() < idle {
				return false
			}
			_ = c.Close()
			closed++
			return true
		})
		if len(p.idle[addr]) == 0 {
			delete(p.idle, addr)
		}
	}
	return closed
}
