// Package peer implements RPC between entry hosts: net/rpc with a CBOR codec over TLS.
// A hello at the start of each connection negotiates the protocol version. Every call
// has a deadline; message size, calls in flight and connections are bounded.
package peer

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxConnections bounds the connections that a server accepts, unless LimitConnections was called.
	maxConnections = 1024
	// serverInFlight bounds the calls that run concurrently for one connection.
	serverInFlight = 32
	// acceptBackoff is the pause after a failed accept.
	acceptBackoff = 20 * time.Millisecond
)

// Server serves RPC calls of other hosts.
type Server struct {
	rpc      *rpc.Server
	identity *Identity
	hello    hello
	// limit is the number of connections that are accepted.
	limit int
	// Traffic counts the messages and bytes of the server.
	Traffic Traffic

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	conns    map[net.Conn]struct{}
	serving  sync.WaitGroup
}

// NewServer returns a server without services. With a nil identity its connections are
// not encrypted.
func NewServer(identity *Identity) *Server {
	return &Server{rpc: rpc.NewServer(), identity: identity, hello: ownHello(), limit: maxConnections, conns: make(map[net.Conn]struct{})}
}

// Register adds a service under a name. Its methods must meet the rules of net/rpc.
func (s *Server) Register(name string, service any) error {
	return s.rpc.RegisterName(name, service)
}

// LimitConnections lowers the number of connections that are accepted. It is called before Listen.
func (s *Server) LimitConnections(limit int64) { s.limit = int(min(int64(s.limit), limit)) }

// Listen starts to serve on addr, an IP address and port.
func (s *Server) Listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
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
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the process is out of descriptors
			time.Sleep(acceptBackoff)
			continue
		}
		if !s.track(conn) {
			_ = conn.Close()
			continue
		}
		s.serving.Go(func() {
			defer s.untrack(conn)
			s.serve(conn)
		})
	}
}

// track registers an open connection. It returns false if there are too many or the
// server is closed.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.limit {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

func (s *Server) serve(raw net.Conn) {
	var conn net.Conn = &countingConn{Conn: raw, traffic: &s.Traffic}
	if s.identity != nil {
		conn = tls.Server(conn, s.identity.serverConfig())
	}
	if _, err := exchangeHellos(conn, s.hello); err != nil {
		return
	}
	s.rpc.ServeCodec(newCodec(conn, &s.Traffic, serverInFlight))
}

// Close stops listening, closes all connections and waits for their goroutines.
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
