// Package targetd is a stand-in for a target: a small HTTP server with slots,
// run times, load and health reports, and a record of what it ran.
package targetd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const (
	// HeaderRun is the run time in milliseconds that a request asks for.
	HeaderRun = "Target-Run-Ms"
	// HeaderShed marks an answer by which the target refused a request.
	HeaderShed = "Target-Shed"
	// headerRequestID is the id that the system puts on every request.
	headerRequestID = "Quetzal-Request-Id"
)

// Options are the properties of one target.
type Options struct {
	Name string
	// Slots is how many requests run at once; one more is shed.
	Slots int
	// RunTime is how long a request runs that does not say.
	RunTime time.Duration
}

// Server is one target. It is an http.Handler.
type Server struct {
	opts   Options
	router *mux.Router

	mu       sync.Mutex
	inFlight int
	peak     int
	shed     int
	runs     map[string]int
}

// New returns a target that has run nothing.
func New(opts Options) *Server {
	s := &Server{opts: opts, router: mux.NewRouter(), runs: make(map[string]int)}
	s.router.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	s.router.HandleFunc("/load", s.load)
	s.router.HandleFunc("/stand-in/record", s.record)
	s.router.PathPrefix("/").HandlerFunc(s.run)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Answer is the body of a request that ran.
type Answer struct {
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	// BodyBytes is how many bytes of request body arrived.
	BodyBytes int64 `json:"body_bytes"`
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	if !s.begin(id) {
		w.Header().Set(HeaderShed, "1")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(s.runTime(r)):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Target: s.opts.Name, RequestID: id, Path: r.URL.Path, BodyBytes: n})
}

func (s *Server) runTime(r *http.Request) time.Duration {
	if ms, err := strconv.Atoi(r.Header.Get(HeaderRun)); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return s.opts.RunTime
}

func (s *Server) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.opts.Slots {
		s.shed++
		return false
	}
	s.inFlight++
	s.peak = max(s.peak, s.inFlight)
	s.runs[id]++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// Record is what the target ran.
type Record struct {
	// Runs counts the runs by request id.
	Runs     map[string]int `json:"runs"`
	InFlight int            `json:"in_flight"`
	// Peak is the largest number of requests that ran at once.
	Peak int `json:"peak"`
	// Shed counts refused requests.
	Shed int `json:"shed"`
}

// Record returns a copy of what the target ran so far.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return Record{Runs: runs, InFlight: s.inFlight, Peak: s.peak, Shed: s.shed}
}

func (s *Server) record(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Record())
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"in_flight":%d,"slots":%d}`+"\n", s.inFlight, s.opts.Slots)
}
