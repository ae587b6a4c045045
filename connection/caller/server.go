package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/process/memory"
)

const (
	// maxPipelined is the number of requests of one connection that are served at the same
	// time.
	maxPipelined = 8
	// writeStallTimeout is how long a caller may take to receive one write.
	writeStallTimeout = 30 * time.Second
	// lingerTimeout is how long a connection that this side has closed is still read, since
	// closing it with unread bytes would reset it before the caller has its response.
	lingerTimeout = 500 * time.Millisecond
	// drainIdleTimeout is how long an idle connection stays open after Shutdown, for a
	// request that is already on its way.
	drainIdleTimeout = 50 * time.Millisecond
	// stopHeaderTimeout limits the time for reading a header once Shutdown was called. A
	// request whose header is incomplete then has not been read, so its caller may send it
	// again.
	stopHeaderTimeout = 500 * time.Millisecond
	// goneCheckInterval is the time between two checks whether a caller whose input is not
	// read has closed its connection.
	goneCheckInterval = 200 * time.Millisecond
	// maxDiscardedBody is how many bytes of a request body that the handler has not read are
	// discarded to keep the connection.
	maxDiscardedBody = 256 << 10
	// minAcceptBackoff and maxAcceptBackoff bound the pause after a failed accept.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// ErrServerClosed is returned by Serve after Shutdown or Close.
var ErrServerClosed = errors.New("server closed")

// ConnLimits are the limits on what a caller sends before the handler runs, and on the time it
// takes for that.
type ConnLimits struct {
	// HeaderBytes is the largest header in bytes.
	HeaderBytes int
	// HeaderTimeout limits the time for reading a header, from its first byte.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}

// Server serves HTTP/1 requests. It differs from http.Server in these points:
//
//   - Idempotent requests that a caller has pipelined are served concurrently, up to
//     maxPipelined for each connection. Responses are sent in the order of the requests.
//   - A request that is not idempotent, or has a body, starts when all requests before it
//     have been answered, and none behind it starts before it has been answered.
//   - A caller that closes its connection is noticed whatever it has sent ahead. The
//     contexts of its requests are cancelled.
//   - A request that is malformed or could be read in more than one way is answered after
//     those before it, and ends the connection.
//
// A handler that panics with http.ErrAbortHandler ends the connection after the responses
// before it. The fields must not be changed after Serve is called.
type Server struct {
	Handler http.Handler
	// Idempotent reports whether a request may run more than once, and so concurrently with
	// others of its connection.
	Idempotent func(*http.Request) bool
	// Limits returns the limits in force. It is called each time a connection becomes idle or
	// begins to read a header.
	Limits func() ConnLimits
	// LimitsConfirmed reports whether the limits in force are known to be the newest. While they are
	// not, a header over the limit gets status 503, after which the caller may try again. Nil means
	// that they always are.
	LimitsConfirmed func() bool
	// Memory is the account on which the connections draw. Nil means that it has no limits.
	Memory *memory.Account
	// OnReject is called for each request that is malformed. It may be nil.
	OnReject func(remote string, err error)

	draining atomic.Bool
	stopping atomic.Bool
	mu       sync.Mutex
	listener []net.Listener
	conns    map[*conn]struct{}
	workers  *workers
	refusals refusals
	running  sync.WaitGroup
}

// Serve accepts connections from l until Shutdown or Close, and returns ErrServerClosed
// then.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = append(s.listener, l)
	if s.workers == nil {
		s.workers = newWorkers()
	}
	s.mu.Unlock()
	backoff := minAcceptBackoff
	for {
		accepted, err := l.Accept()
		if err == nil {
			backoff = minAcceptBackoff
			s.start(accepted)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return ErrServerClosed
		}
		time.Sleep(backoff) // the process is out of descriptors
		backoff = min(maxAcceptBackoff, 2*backoff)
	}
}

func (s *Server) start(accepted net.Conn) {
	c, err := newConn(s, accepted)
	if err != nil {
		s.refuse(accepted)
		return
	}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.running.Go(func() {
		c.serve()
		c.holder.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// Drain makes the last response in flight of each connection close it. Nothing that a
// caller has sent behind that request is passed on. New connections are still accepted and
// get one response.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops accepting, lets the requests in flight finish and closes idle connections
// and those that have sent only a part of a header. It returns the error of ctx if that
// ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.stopping.Store(true)
	s.closeListeners()
	for _, c := range s.openConns() {
		c.updateDeadline()
	}
	ended := make(chan struct{})
	go func() {
		s.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes all connections at once. It does not wait for handlers.
func (s *Server) Close() error {
	s.closeListeners()
	for _, c := range s.openConns() {
		c.abort()
	}
	return nil
}

// headerTimeout returns the limit of the time for reading a header.
func (s *Server) headerTimeout() time.Duration {
	limit := s.Limits().HeaderTimeout
	if s.stopping.Load() {
		return min(stopHeaderTimeout, limit)
	}
	return limit
}

// longHeaderStatus returns the status for a header that is longer than a limit in bytes. It denies
// only what the limit that is confirmed does not allow.
func (s *Server) longHeaderStatus(limit int) int {
	confirmed := s.LimitsConfirmed == nil || s.LimitsConfirmed()
	if !confirmed || s.Limits().HeaderBytes > limit {
		return http.StatusServiceUnavailable
	}
	return http.StatusRequestHeaderFieldsTooLarge
}

// closeListeners stops accepting and lets goroutines without a request end.
func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listener {
		_ = l.Close()
	}
	if s.workers != nil {
		s.workers.end()
	}
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}
