package client

import (
	"sort"
	"sync"
	"time"

	"quetzalknot/version/lookup"
)

// suspectFor is how long an entry host that failed stands behind the others.
const suspectFor = 5 * time.Second

// suspects remembers entry hosts that failed a moment ago.
type suspects struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newSuspects() *suspects { return &suspects{until: make(map[string]time.Time)} }

func (s *suspects) add(addr string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for known, until := range s.until {
		if now.After(until) {
			delete(s.until, known)
		}
	}
	s.until[addr] = now.Add(suspectFor)
}

func (s *suspects) clear(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, addr)
}

// order returns the entries with the suspects last, each group in its old order.
func (s *suspects) order(entries []lookup.Host, now time.Time) []lookup.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	ordered := append([]lookup.Host(nil), entries...)
	sort.SliceStable(ordered, func(i, j int) bool {
		return !now.Before(s.until[ordered[i].Addr]) && now.Before(s.until[ordered[j].Addr])
	})
	return ordered
}
