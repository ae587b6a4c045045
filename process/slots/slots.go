// Package slots counts the requests that this host has in flight at each target, and
// limits them.
package slots

import "sync"

// Target identifies a target.
type Target struct {
	Service string
	Name    string
}

// Lane separates long requests from short ones, so that long requests cannot take all
// slots of a target.
type Lane uint8

// The lanes.
const (
	Short Lane = iota
	Long
)

// Request describes the slot that a request needs.
type Request struct {
	Target Target
	Lane   Lane
	// Slots is how many requests the target runs at once.
	Slots int
	// LongSlots is how many of the slots long requests may take.
	LongSlots int
}

// Usage is the use of one target's slots by this host.
type Usage struct {
	// Free is how many more requests of the lane this host may send now.
	Free int
	// InFlight is how many requests this host has in flight at the target.
	InFlight int
}

// Limiter limits the requests that this host has in flight at each target. Implementations
// are safe for concurrent use and never block.
type Limiter interface {
	// Free returns how many more requests of the lane this host may send now.
	Free(r Request) int
	// InFlight returns how many requests this host has in flight at the target.
	InFlight(t Target) int
	// FillUsage sets usages[i] to the free slots and requests in flight for requests[i].
	// All requests name targets of one service; both slices have the same length.
	FillUsage(requests []Request, usages []Usage)
	// Acquire takes one slot. It returns false when none is free. The caller calls release
	// once, when the target is known to have ended the request.
	Acquire(r Request) (release func(), ok bool)
	// Changed returns a channel that is closed once a slot at a target of the service may
	// have become free after the call.
	Changed(service string) <-chan struct{}
}

// LocalLimiter limits the requests in flight by counting only this host's own requests.
type LocalLimiter struct {
	mu            sync.Mutex
	usageByTarget map[Target]*usage
	// changedChannels holds, by service, the channels that are closed when a slot becomes
	// free.
	changedChannels map[string]chan struct{}
}

// usage counts this host's requests in flight at one target.
type usage struct {
	total int
	long  int
}

// NewLocalLimiter returns a limiter without requests in flight.
func NewLocalLimiter() *LocalLimiter {
	return &LocalLimiter{usageByTarget: make(map[Target]*usage), changedChannels: make(map[string]chan struct{})}
}

// Free returns how many more requests of the lane this host may send now.
func (l *LocalLimiter) Free(r Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.free(r)
}

// free returns the free slots of a target. The lock must be held.
func (l *LocalLimiter) free(r Request) int { return l.targetUsage(&r).Free }

// targetUsage returns the free slots and the requests in flight of a target. The lock must
// be held.
func (l *LocalLimiter) targetUsage(r *Request) Usage {
	u := l.usageByTarget[r.Target]
	if u == nil {
		u = &usage{}
	}
	free := r.Slots - u.total
	if r.Lane == Long {
		free = min(free, r.LongSlots-u.long)
	}
	return Usage{Free: free, InFlight: u.total}
}

// FillUsage sets usages[i] to the free slots and requests in flight for requests[i].
func (l *LocalLimiter) FillUsage(requests []Request, usages []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range requests {
		usages[i] = l.targetUsage(&requests[i])
	}
}

// InFlight returns how many requests this host has in flight at the target.
func (l *LocalLimiter) InFlight(t Target) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.usageByTarget[t]; u != nil {
		return u.total
	}
	return 0
}

// Acquire takes one slot; it returns false when none is free.
func (l *LocalLimiter) Acquire(r Request) (func(), bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free(r) <= 0 {
		return nil, false
	}
	u := l.usageByTarget[r.Target]
	if u == nil {
		u = &usage{}
		l.usageByTarget[r.Target] = u
	}
	u.add(r.Lane, 1)
	var once sync.Once
	return func() { once.Do(func() { l.release(r) }) }, true
}

func (u *usage) add(lane Lane, n int) {
	u.total += n
	if lane == Long {
		u.long += n
	}
}

// release returns a slot and signals the waiters of the service.
func (l *LocalLimiter) release(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usageByTarget[r.Target]
	u.add(r.Lane, -1)
	if u.total == 0 {
		delete(l.usageByTarget, r.Target)
	}
	if changed := l.changedChannels[r.Target.Service]; changed != nil {
		close(changed)
		delete(l.changedChannels, r.Target.Service)
	}
}

// Changed returns a channel that is closed once a slot at a target of the service becomes
// free.
func (l *LocalLimiter) Changed(service string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.changedChannels[service]
	if changed == nil {
		changed = make(chan struct{})
		l.changedChannels[service] = changed
	}
	return changed
}
