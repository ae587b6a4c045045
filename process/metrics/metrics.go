// Package metrics holds the metrics of one host as expvar variables.
//
// A Set belongs to a host, not to the program, so that several hosts can run in one
// process. docs/METRICS.md lists all metrics.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"sort"
	"sync"
)

// Set is a registry of named metrics. It is safe for concurrent use.
type Set struct {
	mu   sync.Mutex
	vars map[string]expvar.Var
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{vars: make(map[string]expvar.Var)} }

// Counter returns the counter with a name. It creates the counter at the first use.
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

// Gauge registers a gauge whose value is obtained by calling read whenever the metrics
// are read.
func (s *Set) Gauge(name string, read func() int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vars[name] = expvar.Func(func() any { return read() })
}

// Names returns the sorted names of all metrics.
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

// ServeHTTP writes the metrics of the set, followed by the expvar variables of the whole
// program, as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprint(w, "{") // the client may have disconnected
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
