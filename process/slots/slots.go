// Package slots counts the requests that this host has in flight at each target
// and bounds them.
package slots

import "sync"

// Target identifies a target.
type Target struct {
	Service string
	Name    string
}

// Room decides whether this host may send one more request to a target.
// Implementations are safe for concurrent use and never block.
type Room interface {
	// Free returns how many more requests this host may send to the target now.
	Free(t Target, slots int) int
	// InFlight returns how many requests this host has in flight at the target.
	InFlight(t Target) int
	// Acquire takes one slot. It returns false when none is free. The caller calls
	// release once, when the target is known to have ended the request.
	Acquire(t Target, slots int) (release func(), ok bool)
}

// Local is a Room that counts only this host's own requests.
type Local struct {
	mu     sync.Mutex
	counts map[Target]int
}

// NewLocal returns a Local without requests.
func NewLocal() *Local { return &Local{counts: make(map[Target]int)} }

// Free implements Room.
func (l *Local) Free(t Target, slots int) int { return slots - l.InFlight(t) }

// InFlight implements Room.
func (l *Local) InFlight(t Target) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[t]
}

// Acquire implements Room.
func (l *Local) Acquire(t Target, slots int) (func(), bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[t] >= slots {
		return nil, false
	}
	l.counts[t]++
	var once sync.Once
	return func() { once.Do(func() { l.release(t) }) }, true
}

func (l *Local) release(t Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[t]--
	if l.counts[t] == 0 {
		delete(l.counts, t)
	}
}
