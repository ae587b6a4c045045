// Package peer carries calls between the hosts of the system over net/rpc with
// CBOR messages.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 2 * time.Second
)

// Server serves calls of other hosts.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server without services.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
}

// Register adds a service whose exported methods have the net/rpc form.
func (s *Server) Register(name string, service any) error {
	return s.rpc.RegisterName(name, service)
}

// Listen starts to serve on addr, an IP address and port.
func (s *Server) Listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	s.listener = l
	go s.accept()
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.track(conn, true)
		go func() {
			s.rpc.ServeCodec(newCodec(conn))
			s.track(conn, false)
		}()
	}
}

func (s *Server) track(conn net.Conn, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if add {
		s.conns[conn] = struct{}{}
		return
	}
	delete(s.conns, conn)
}

// Close stops listening and closes every connection.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return err
}

// Caller makes calls to other hosts. The one method is an interface so that
// tests can put a fake network in its place.
type Caller interface {
	// Call calls method, in the form Service.Method, at addr. It returns when the
	// reply is there, the context ends, or the connection fails. An error does not
	// say whether the other host ran the call.
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Dial opens a connection; it has the form of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Clients is a Caller that keeps one connection to each address. It is safe for
// concurrent use.
type Clients struct {
	dial Dial

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// NewClients returns a Caller without connections. A nil dial means net.Dialer.
func NewClients(dial Dial) *Clients {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Clients{dial: dial, conns: make(map[string]*rpc.Client)}
}

// Call implements Caller.
func (c *Clients) Call(ctx context.Context, addr, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	client, err := c.client(ctx, addr)
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case done := <-call.Done:
		var remote rpc.ServerError
		if done.Error != nil && !errors.As(done.Error, &remote) {
			c.drop(addr, client)
		}
		return done.Error
	}
}

func (c *Clients) client(ctx context.Context, addr string) (*rpc.Client, error) {
	c.mu.Lock()
	client := c.conns[addr]
	c.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	client = rpc.NewClientWithCodec(newCodec(conn))
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[addr]; other != nil {
		_ = client.Close()
		return other, nil
	}
	c.conns[addr] = client
	return client, nil
}

func (c *Clients) drop(addr string, client *rpc.Client) {
	c.mu.Lock()
	if c.conns[addr] == client {
		delete(c.conns, addr)
	}
	c.mu.Unlock()
	_ = client.Close()
}

// Close closes every connection.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, client := range c.conns {
		_ = client.Close()
		delete(c.conns, addr)
	}
}
