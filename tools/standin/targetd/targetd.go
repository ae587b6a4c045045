// Package targetd is a stand-in for a target: an HTTP server with slots, run
// times, a cost for each connection, load and health reports, and a record of
// what it ran. Faults make it misbehave on demand.
package targetd

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
)

// Options are the properties of one target.
type Options struct {
	Name string
	// Addr is the IP address and port; port 0 picks one.
	Addr string
	// Slots is how many requests run at once; one more is shed.
	Slots int
	// Connections is how many connections are taken at once. 0 means 400.
	Connections int
	// ConnectDelay is the time that a new connection costs.
	ConnectDelay time.Duration
	// RunTime is how long a request runs that does not say.
	RunTime time.Duration
	// ColdFor is how long after a start requests run slower; ColdFactor is how many times at first.
	ColdFor    time.Duration
	ColdFactor float64
}

const defaultConnections = 400

// Server is one running target.
type Server struct {
	opts   Options
	router *mux.Router
	faults faultHolder
	ledger ledger

	mu        sync.Mutex
	addr      string
	http      *http.Server
	startedAt time.Time
}

// Start listens and serves.
func Start(opts Options) (*Server, error) {
	if opts.Connections == 0 {
		opts.Connections = defaultConnections
	}
	s := &Server{opts: opts, router: mux.NewRouter(), addr: opts.Addr}
	s.ledger.runs = make(map[string]int)
	s.ledger.keyRuns = make(map[string]int)
	s.router.HandleFunc("/health", s.handleHealth)
	s.router.HandleFunc("/load", s.handleLoad)
	s.router.HandleFunc("/stand-in/record", s.handleRecord)
	s.router.HandleFunc("/stand-in/faults", s.handleFaults).Methods(http.MethodPost)
	s.router.PathPrefix("/").HandlerFunc(s.handleRequest)
	return s, s.Restart()
}

// Name returns the target's name.
func (s *Server) Name() string { return s.opts.Name }

// Addr returns the address that the target listens on. It outlives a crash.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Restart begins to listen, at first or after a crash. The target is cold again.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrapf(err, "target %s", s.opts.Name)
	}
	s.addr = l.Addr().String()
	s.startedAt = time.Now()
	s.ledger.restart()
	s.http = &http.Server{Handler: s.router}
	listener := &costlyListener{Listener: l, delay: s.opts.ConnectDelay, free: make(chan struct{}, s.opts.Connections)}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.http)
	return nil
}

// Crash closes the listener and every connection at once.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return
	}
	s.ledger.crashed() // before callers can see that connections end
	_ = s.http.Close()
	s.http = nil
}

// Close ends the target.
func (s *Server) Close() { s.Crash() }

// costlyListener delays the first read of each connection and bounds their number.
type costlyListener struct {
	net.Listener
	delay time.Duration
	free  chan struct{}
}

// Accept implements net.Listener.
func (l *costlyListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.free <- struct{}{}:
			return &costlyConn{Conn: conn, delay: l.delay, free: l.free}, nil
		default:
			_ = conn.Close()
		}
	}
}

type costlyConn struct {
	net.Conn
	delay     time.Duration
	free      chan struct{}
	firstRead sync.Once
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *costlyConn) Read(p []byte) (int, error) {
	c.firstRead.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *costlyConn) Close() error {
	c.closeOnce.Do(func() { <-c.free })
	return c.Conn.Close()
}
