package caller

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxRefusals is the number of connections refused with a response at the same time;
	// further ones are closed without a response.
	maxRefusals = 64
	// refusalTimeout limits the time for one refusal.
	refusalTimeout = time.Second
	// refusalRetryAfter is after how many seconds a caller that was refused with status 503 may try
	// again.
	refusalRetryAfter = "1"
	// refusal is the response to a connection over the limit.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nQuetzal-Verdict: not-run\r\nRetry-After: " + refusalRetryAfter + "\r\n" +
		"Connection: close\r\nContent-Type: text/plain\r\nContent-Length: 21\r\n\r\ntoo many connections\n"
)

// Listener limits the number of open connections. It responds to a connection over the
// limit with status 503 and the verdict not-run, and closes it.
type Listener struct {
	net.Listener
	limit    int64
	open     atomic.Int64
	refusals refusals
	// OnRefuse is called for each connection over the limit. It may be nil.
	OnRefuse func(remote net.Addr)
}

// NewListener returns a Listener that accepts at most limit connections from l.
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
			return &countedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.refuse(c)
	}
}

// refuse responds to a connection over the limit without blocking Accept.
func (l *Listener) refuse(c net.Conn) {
	if l.OnRefuse != nil {
		l.OnRefuse(c.RemoteAddr())
	}
	if !l.refusals.refuse(c, maxRefusals) {
		_ = c.Close()
	}
}

// refusals counts the refusals that are being sent.
type refusals struct{ sending atomic.Int64 }

// refuse responds to a connection with the refusal and closes it, in the background. It returns false, and leaves the
// connection alone, beyond a number of refusals at a time.
func (r *refusals) refuse(c net.Conn, most int64) bool {
	if r.sending.Add(1) > most {
		r.sending.Add(-1)
		return false
	}
	go func() {
		defer r.sending.Add(-1)
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c, refusal)
		if half, ok := c.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, c) // closing with unread bytes would reset the connection
	}()
	return true
}

// countedConn is an open connection that counts towards the limit.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
