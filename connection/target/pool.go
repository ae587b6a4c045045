// Package target exchanges HTTP requests with targets over pooled connections
// and says after each failure whether the request may have run.
package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"quetzalknot/verdict"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// idleLimit is how many unused connections are kept to one target.
	idleLimit = 64
)

// Dial opens a connection; it has the form of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool keeps connections to targets, by address. It is safe for concurrent use.
type Pool struct {
	dial Dial

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns a pool without connections. A nil dial means net.Dialer.
func NewPool(dial Dial) *Pool {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Pool{dial: dial, idle: make(map[string][]*conn)}
}

// conn is one connection to a target; it carries one exchange at a time.
type conn struct {
	net.Conn
	addr    string
	in      *bufio.Reader
	written countingWriter
}

// countingWriter counts the bytes that were handed to the connection.
type countingWriter struct {
	w io.Writer
	n int64
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return n, err
}

// Exchange sends one request and returns the answer's header. The body ends the
// exchange when it is read to its end or closed; a connection whose answer was
// not read whole is closed. Every error is a verdict.Error.
func (p *Pool) Exchange(ctx context.Context, addr string, r *http.Request) (*http.Response, error) {
	c, err := p.connection(ctx, addr)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, "dial", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, err := c.roundTrip(r)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, pool: p, conn: c, stop: stop, reusable: !resp.Close}
	return resp, nil
}

func (p *Pool) connection(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	list := p.idle[addr]
	if n := len(list); n > 0 {
		c := list[n-1]
		p.idle[addr] = list[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	raw, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, addr: addr, in: bufio.NewReader(raw)}
	c.written.w = raw
	return c, nil
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= idleLimit {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Close closes the unused connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, addr)
	}
}

func (c *conn) roundTrip(r *http.Request) (*http.Response, error) {
	before := c.written.n
	if err := r.Write(&c.written); err != nil {
		v := verdict.MayHaveRun
		if c.written.n == before {
			v = verdict.NotRun
		}
		return nil, verdict.Wrap(v, "write request", err)
	}
	resp, err := http.ReadResponse(c.in, r)
	if err != nil {
		return nil, verdict.Wrap(verdict.MayHaveRun, "read answer header", err)
	}
	return resp, nil
}

// body returns its connection to the pool after the last byte.
type body struct {
	io.ReadCloser
	pool     *Pool
	conn     *conn
	stop     func() bool
	reusable bool
	whole    bool
	closed   bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.ReadCloser.Close()
	if b.stop() && b.whole && b.reusable {
		b.pool.put(b.conn)
		return err
	}
	_ = b.conn.Close()
	return err
}
