package caller

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// refusalLimit is how many refusals are written at once; connections over it
	// are closed without one.
	refusalLimit = 64
	// refusalTime bounds one refusal.
	refusalTime = time.Second
	// refusal is the answer to a connection over the limit.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nQuetzal-Verdict: not-run\r\nRetry-After: 1\r\n" +
		"Connection: close\r\nContent-Type: text/plain\r\nContent-Length: 21\r\n\r\ntoo many connections\n"
)

// Listener accepts at most a number of connections at once. One more is answered
// 503 with the verdict not-run, and closed.
type Listener struct {
	net.Listener
	limit    int64
	open     atomic.Int64
	refusing atomic.Int64
	// OnRefuse is called for each connection over the limit. It may be nil.
	OnRefuse func(remote net.Addr)
}

// NewListener returns a listener over l with at most limit connections.
func NewListener(l net.Listener, limit int) *Listener {
	return &Listener{Listener: l, limit: int64(limit)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &counted{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.refuse(c)
	}
}

func (l *Listener) refuse(c net.Conn) {
	if l.OnRefuse != nil {
		l.OnRefuse(c.RemoteAddr())
	}
	if l.refusing.Add(1) > refusalLimit {
		l.refusing.Add(-1)
		_ = c.Close()
		return
	}
	go func() {
		defer l.refusing.Add(-1)
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(refusalTime))
		_, _ = io.WriteString(c, refusal)
		if half, ok := c.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, c) // unread bytes would reset the connection
	}()
}

// counted is a connection that counts against the limit until it is closed.
type counted struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *counted) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
