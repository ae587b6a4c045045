// Package slots counts the requests that this host has in flight at each target
// and bounds them.
package slots

import "sync"

// Target identifies a target.
type Target struct {
	Service string
	Name    string
}

// Lane separates long work from the rest, so that long work cannot hold all slots.
type Lane uint8

// The lanes.
const (
	Short Lane = iota
	Long
)

// Ask describes one slot that a request wants.
type Ask struct {
	Target Target
	Lane   Lane
	// Slots is how many requests the target runs at once.
	Slots int
	// LongSlots is how many of them long work may hold.
	LongSlots int
}

// Spot is what a Room knows about one target.
type Spot struct {
	// Free is how many more requests of the lane this host may send now.
	Free int
	// InFlight is how many requests this host has in flight there.
	InFlight int
}

// Room decides whether this host may send one more request to a target.
// Implementations are safe for concurrent use and never block.
type Room interface {
	// Free returns how many more requests of the lane this host may send now.
	Free(a Ask) int
	// InFlight returns how many requests this host has in flight at the target.
	InFlight(t Target) int
	// Survey fills spots with what Free and InFlight return for each ask. All asks
	// name targets of one service; both slices have the same length.
	Survey(asks []Ask, spots []Spot)
	// Acquire takes one slot. It returns false when none is free. The caller calls
	// release once, when the target is known to have ended the request.
	Acquire(a Ask) (release func(), ok bool)
	// Changed returns a channel that is closed when room at a target of the service
	// may have appeared since the call.
	Changed(service string) <-chan struct{}
}

// Local is a Room that counts only this host's own requests.
type Local struct {
	mu     sync.Mutex
	counts map[Target]*usage
	wakers map[string]chan struct{}
}

// usage is what this host has in flight at one target.
type usage struct {
	total int
	long  int
}

// NewLocal returns a Local without requests.
func NewLocal() *Local {
	return &Local{counts: make(map[Target]*usage), wakers: make(map[string]chan struct{})}
}

// Free implements Room.
func (l *Local) Free(a Ask) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.free(a)
}

func (l *Local) free(a Ask) int { return l.spot(&a).Free }

func (l *Local) spot(a *Ask) Spot {
	u := l.counts[a.Target]
	if u == nil {
		u = &usage{}
	}
	free := a.Slots - u.total
	if a.Lane == Long {
		free = min(free, a.LongSlots-u.long)
	}
	return Spot{Free: free, InFlight: u.total}
}

// Survey implements Room.
func (l *Local) Survey(asks []Ask, spots []Spot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range asks {
		spots[i] = l.spot(&asks[i])
	}
}

// InFlight implements Room.
func (l *Local) InFlight(t Target) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.counts[t]; u != nil {
		return u.total
	}
	return 0
}

// Acquire implements Room.
func (l *Local) Acquire(a Ask) (func(), bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free(a) <= 0 {
		return nil, false
	}
	u := l.counts[a.Target]
	if u == nil {
		u = &usage{}
		l.counts[a.Target] = u
	}
	u.add(a.Lane, 1)
	var once sync.Once
	return func() { once.Do(func() { l.release(a) }) }, true
}

func (u *usage) add(lane Lane, n int) {
	u.total += n
	if lane == Long {
		u.long += n
	}
}

func (l *Local) release(a Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.counts[a.Target]
	u.add(a.Lane, -1)
	if u.total == 0 {
		delete(l.counts, a.Target)
	}
	if waker := l.wakers[a.Target.Service]; waker != nil {
		close(waker)
		delete(l.wakers, a.Target.Service)
	}
}

// Changed implements Room.
func (l *Local) Changed(service string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	waker := l.wakers[service]
	if waker == nil {
		waker = make(chan struct{})
		l.wakers[service] = waker
	}
	return waker
}
