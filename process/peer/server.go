// Package peer carries typed calls between entry hosts: net/rpc with a CBOR codec
// over TLS, with a hello that agrees on the protocol version, a deadline on every
// call, and bounds on message size, calls in flight and connections.
package peer

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// maxConnections bounds the connections that a server accepts.
	maxConnections = 1024
	// serverInFlight bounds the calls that run at once for one connection.
	serverInFlight = 32
)

// Server answers calls of other hosts.
type Server struct {
	rpc      *rpc.Server
	identity *Identity
	hello    hello
	// Traffic counts the server's messages and bytes.
	Traffic Traffic

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	conns    map[net.Conn]struct{}
	serving  sync.WaitGroup
}

// NewServer returns a server without services. With a nil identity its
// connections are in the clear.
func NewServer(identity *Identity) *Server {
	return &Server{rpc: rpc.NewServer(), identity: identity, hello: ownHello(), conns: make(map[net.Conn]struct{})}
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
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	s.serving.Go(func() { s.accept(l) })
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

func (s *Server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			_ = conn.Close()
			continue
		}
		s.serving.Go(func() {
			defer s.remove(conn)
			s.serve(conn)
		})
	}
}

// add tracks a connection, unless there are too many or the server is closed.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

func (s *Server) serve(raw net.Conn) {
	var conn net.Conn = &countedConn{Conn: raw, traffic: &s.Traffic}
	if s.identity != nil {
		conn = tls.Server(conn, s.identity.serverConfig())
	}
	if _, err := greet(conn, s.hello); err != nil {
		return
	}
	s.rpc.ServeCodec(newCodec(conn, &s.Traffic, serverInFlight))
}

// Close stops listening, closes every connection and waits until none is served.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	var err error
	if s.listener != nil {
		err = s.listener.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
	return err
}
