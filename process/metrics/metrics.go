// Package metrics holds the figures of one process as expvar variables.
//
// A Set belongs to one node, not to the program, so that several nodes can run
// in one process. docs/METRICS.md lists every figure.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"sort"
	"sync"
)

// Set is a group of named figures. It is safe for concurrent use.
type Set struct {
	mu   sync.Mutex
	vars map[string]expvar.Var
}

// NewSet returns a set without figures.
func NewSet() *Set { return &Set{vars: make(map[string]expvar.Var)} }

// Counter returns the counter of a name, made at its first use.
func (s *Set) Counter(name string) *expvar.Int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.vars[name].(*expvar.Int); ok {
		return v
	}
	v := new(expvar.Int)
	s.vars[name] = v
	return v
}

// Gauge publishes the value that read returns at the moment of the question.
func (s *Set) Gauge(name string, read func() int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vars[name] = expvar.Func(func() any { return read() })
}

// Names returns the names of all figures in order.
func (s *Set) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.vars))
	for name := range s.vars {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ServeHTTP writes the figures, followed by those of the whole program, as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprint(w, "{") // the reader may be gone
	separator := "\n"
	for _, name := range s.Names() {
		s.mu.Lock()
		v := s.vars[name]
		s.mu.Unlock()
		_, _ = fmt.Fprintf(w, "%s%q: %s", separator, name, v)
		separator = ",\n"
	}
	expvar.Do(func(kv expvar.KeyValue) {
		_, _ = fmt.Fprintf(w, "%s%q: %s", separator, kv.Key, kv.Value)
		separator = ",\n"
	})
	_, _ = fmt.Fprint(w, "\n}\n")
}
