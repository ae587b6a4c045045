package budget

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets into which a sliding window is divided.
const windowBuckets = 20

// SlidingWindows bounds the extra attempts of each service in every sliding window to a
// ratio of the requests in the window plus a fixed number. It is safe for concurrent use.
type SlidingWindows struct {
	mu           sync.Mutex
	ratio        float64
	fixed        float64
	bucketLength time.Duration
	services     map[string]*window
	// OnChange is called when the extra attempts of a service become used up or
	// available again. Set it before the first call of another method. May be nil.
	OnChange func(c Change)
}

// Change reports that the extra attempts of a service are used up or available again.
type Change struct {
	Service string
	UsedUp  bool
	// Requests and Extra are the requests and the extra attempts in the window.
	Requests, Extra int
}

type window struct {
	requests, extra [windowBuckets + 1]int
	bucketIndex     int64
	usedUp          bool
}

// NewSlidingWindows returns empty windows. The extra attempts in any period of the given
// length are at most ratio times the requests in the period, plus fixed. Since both are
// counted in buckets, the period of the requests is up to one bucket longer.
func NewSlidingWindows(length time.Duration, ratio, fixed float64) *SlidingWindows {
	return &SlidingWindows{ratio: ratio, fixed: fixed, bucketLength: length / windowBuckets, services: make(map[string]*window)}
}

// SetBounds changes the bounds and keeps the counts.
func (w *SlidingWindows) SetBounds(ratio, fixed float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.fixed = ratio, fixed
}

// advance returns the window of a service after clearing the buckets that have passed
// since its last use.
func (w *SlidingWindows) advance(name string, now time.Time) *window {
	s := w.services[name]
	at := now.UnixNano() / int64(w.bucketLength)
	if s == nil {
		s = &window{bucketIndex: at}
		w.services[name] = s
	}
	for steps := 0; s.bucketIndex < at && steps <= windowBuckets; steps++ {
		s.bucketIndex++
		s.requests[s.bucketIndex%(windowBuckets+1)], s.extra[s.bucketIndex%(windowBuckets+1)] = 0, 0
	}
	s.bucketIndex = max(s.bucketIndex, at)
	return s
}

// AddRequest counts one request of a service.
func (w *SlidingWindows) AddRequest(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.advance(name, now)
	s.requests[s.bucketIndex%(windowBuckets+1)]++
}

// Take counts one extra attempt. It returns false when none is left in the window.
func (w *SlidingWindows) Take(name string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.advance(name, now)
	requests, extra := 0, 0
	for i := range s.requests {
		requests += s.requests[i]
		extra += s.extra[i]
	}
	usedUp := float64(extra+1) > w.ratio*float64(requests)+w.fixed
	if usedUp != s.usedUp && w.OnChange != nil {
		w.OnChange(Change{Service: name, UsedUp: usedUp, Requests: requests, Extra: extra})
	}
	s.usedUp = usedUp
	if usedUp {
		return false
	}
	s.extra[s.bucketIndex%(windowBuckets+1)]++
	return true
}
