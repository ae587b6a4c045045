package client

import (
	"sort"
	"sync"
	"time"

	"quetzalknot/version/lookup"
)

// suspectDuration is how long an entry host is tried last after a failure.
const suspectDuration = 5 * time.Second

// suspects is the set of entry hosts that failed recently.
type suspects struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newSuspects() *suspects { return &suspects{until: make(map[string]time.Time)} }

func (s *suspects) add(addr string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for host, until := range s.until {
		if now.After(until) {
			delete(s.until, host)
		}
	}
	s.until[addr] = now.Add(suspectDuration)
}

func (s *suspects) clear(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, addr)
}

// order returns the entries with the suspects last, otherwise in their original order.
func (s *suspects) order(entries []lookup.Host, now time.Time) []lookup.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	ordered := append([]lookup.Host(nil), entries...)
	sort.SliceStable(ordered, func(i, j int) bool {
		return !now.Before(s.until[ordered[i].Addr]) && now.Before(s.until[ordered[j].Addr])
	})
	return ordered
}
