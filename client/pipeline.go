package client

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"quetzalknot/httpwire"
)

// maxUnanswered bounds how often one request is sent again behind a closing response.
const maxUnanswered = 3

var (
	// errUnanswered reports a request behind a response after which either side closed the
	// connection. It is idempotent and may be sent again.
	errUnanswered = errors.New("the connection was closed before the request was answered")
	// errConnFull reports a connection that takes no further request.
	errConnFull = errors.New("the connection takes no further request")
)

// Pipelined is an http.RoundTripper that sends idempotent requests without a body, other than HEAD, on a
// connection before those ahead of them are answered. Other requests are left to the next
// RoundTripper. It is safe for concurrent use.
//
// A response is read only when the body of the one before it has been read or closed. A
// request whose context ends keeps its place; its connection gets no further requests.
type Pipelined struct {
	next  http.RoundTripper
	limit int
	dial  httpwire.DialFunc

	mu    sync.Mutex
	conns map[string][]*pipelineConn
}

// NewPipelined returns a Pipelined that has up to limit requests in flight on a connection.
// If dial is nil, it uses net.Dialer with DefaultDialTimeout.
func NewPipelined(next http.RoundTripper, limit int, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Pipelined {
	if dial == nil {
		dial = (&net.Dialer{Timeout: DefaultDialTimeout}).DialContext
	}
	return &Pipelined{next: next, limit: max(1, limit), dial: httpwire.Dialer(dial), conns: make(map[string][]*pipelineConn)}
}

// RoundTrip implements http.RoundTripper.
func (p *Pipelined) RoundTrip(r *http.Request) (*http.Response, error) {
	if !pipelines(r) {
		return p.next.RoundTrip(r)
	}
	for unanswered := 0; ; {
		resp, err := p.send(r)
		if errors.Is(err, errUnanswered) {
			unanswered++
		}
		again := errors.Is(err, errConnFull) || (errors.Is(err, errUnanswered) && unanswered < maxUnanswered)
		if !again || r.Context().Err() != nil {
			return resp, err
		}
	}
}

// pipelines reports whether a request may be sent before those ahead of it are answered. A HEAD request may not, since the
// bytes of its response are read strictly before it is known to which request they belong.
func pipelines(r *http.Request) bool {
	hasBody := r.Body != nil && r.Body != http.NoBody
	return r.URL.Scheme == "http" && idempotent(r.Method) && r.Method != http.MethodHead && !hasBody
}

// send sends a request on a connection with room, or on a new one, and waits for the response.
func (p *Pipelined) send(r *http.Request) (*http.Response, error) {
	addr := r.URL.Host
	c := p.withRoom(addr)
	if c == nil {
		conn, err := p.dial(r.Context(), "tcp", addr)
		if err != nil {
			return nil, err
		}
		c = newPipelineConn(conn, p.limit, func(c *pipelineConn) { p.remove(addr, c) })
		p.add(addr, c)
	}
	waiting, err := c.start(r)
	if err != nil {
		return nil, err
	}
	return c.await(r.Context(), waiting)
}

// withRoom returns a connection that takes a further request, or nil.
func (p *Pipelined) withRoom(addr string) *pipelineConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns[addr] {
		if c.hasRoom() {
			return c
		}
	}
	return nil
}

func (p *Pipelined) add(addr string, c *pipelineConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[addr] = append(p.conns[addr], c)
	go c.read()
}

func (p *Pipelined) remove(addr string, c *pipelineConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[addr] = slices.DeleteFunc(p.conns[addr], func(o *pipelineConn) bool { return o == c })
	if len(p.conns[addr]) == 0 {
		delete(p.conns, addr)
	}
}

// CloseIdleConnections closes the connections without requests in flight.
func (p *Pipelined) CloseIdleConnections() {
	p.mu.Lock()
	var all []*pipelineConn
	for _, conns := range p.conns {
		all = append(all, conns...)
	}
	p.mu.Unlock()
	for _, c := range all {
		c.closeIfIdle()
	}
	if next, ok := p.next.(interface{ CloseIdleConnections() }); ok {
		next.CloseIdleConnections()
	}
}
