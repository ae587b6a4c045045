// Package targetd is a stand-in for a target: an HTTP server with a number of slots,
// run times, a delay for new connections, load and health reports, and a record of
// the requests that it ran. Faults can be injected.
package targetd

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
)

// Options configure one target.
type Options struct {
	Name string
	// Addr is the IP address and port; port 0 picks one.
	Addr string
	// Slots is the number of requests that run at the same time; further ones are shed.
	Slots int
	// Connections is the largest number of open connections. 0 means 400.
	Connections int
	// ConnectDelay is the delay before the first read of a new connection.
	ConnectDelay time.Duration
	// RunTime is the run time of requests without HeaderRun.
	RunTime time.Duration
	// ColdStartTime is the time after a start in which run times are longer. They are multiplied
	// by ColdStartFactor at first, and by a factor that falls to 1 over this time.
	ColdStartTime   time.Duration
	ColdStartFactor float64
}

const defaultConnections = 400

// Server is one target.
type Server struct {
	opts     Options
	router   *mux.Router
	faults   faultHolder
	recorder recorder

	mu        sync.Mutex
	addr      string
	http      *http.Server
	startedAt time.Time
}

// Start returns a target that listens and serves.
func Start(opts Options) (*Server, error) {
	if opts.Connections == 0 {
		opts.Connections = defaultConnections
	}
	s := &Server{opts: opts, router: mux.NewRouter(), addr: opts.Addr}
	s.recorder.runs = make(map[string]int)
	s.recorder.keyRuns = make(map[string]int)
	s.router.HandleFunc("/health", s.handleHealth)
	s.router.HandleFunc("/load", s.handleLoad)
	s.router.HandleFunc("/stand-in/record", s.handleRecord)
	s.router.HandleFunc("/stand-in/faults", s.handleFaults).Methods(http.MethodPost)
	s.router.PathPrefix("/").HandlerFunc(s.handleRequest)
	return s, s.Restart()
}

// Name returns the target's name.
func (s *Server) Name() string { return s.opts.Name }

// Addr returns the address that the target listens on. It stays the same after a restart.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Restart starts to listen, at first or after a crash. The cold start begins again.
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
	s.recorder.nextGeneration()
	s.http = &http.Server{Handler: s.router}
	listener := &delayedListener{Listener: l, delay: s.opts.ConnectDelay, slots: make(chan struct{}, s.opts.Connections)}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.http)
	return nil
}

// Crash closes the listener and all connections immediately.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return
	}
	s.recorder.addCrash() // before callers can notice that their connections are closed
	_ = s.http.Close()
	s.http = nil
}

// Close stops the target.
func (s *Server) Close() { s.Crash() }

// delayedListener delays the first read of each connection and limits the number of open
// connections.
type delayedListener struct {
	net.Listener
	delay time.Duration
	slots chan struct{}
}

// Accept implements net.Listener. It closes connections above the limit.
func (l *delayedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &delayedConn{Conn: conn, delay: l.delay, slots: l.slots}, nil
		default:
			_ = conn.Close()
		}
	}
}

// delayedConn holds one of the listener's slots until it is closed.
type delayedConn struct {
	net.Conn
	delay     time.Duration
	slots     chan struct{}
	firstRead sync.Once
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *delayedConn) Read(p []byte) (int, error) {
	c.firstRead.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *delayedConn) Close() error {
	c.closeOnce.Do(func() { <-c.slots })
	return c.Conn.Close()
}
