package budget

import (
	"sync"
	"time"
)

// buckets is how many parts a window is counted in.
const buckets = 20

// Windows bounds extra attempts in every sliding window, by service: a share of the
// requests of the window plus a fixed number. It is safe for concurrent use.
type Windows struct {
	mu       sync.Mutex
	ratio    float64
	fixed    float64
	bucket   time.Duration
	services map[string]*window
	// OnChange is told when the extra attempts of a service are used up, and when there
	// are some again. It is set before the first call. May be nil.
	OnChange func(c Change)
}

// Change is a service whose extra attempts were used up or are there again.
type Change struct {
	Service string
	UsedUp  bool
	// Requests and Extra are the counts of the window.
	Requests, Extra int
}

type window struct {
	requests, extra [buckets + 1]int
	at              int64
	usedUp          bool
}

// NewWindows returns budgets without counts. Extra attempts in a span of length are at
// most ratio times the requests in it plus fixed.
func NewWindows(length time.Duration, ratio, fixed float64) *Windows {
	return &Windows{ratio: ratio, fixed: fixed, bucket: length / buckets, services: make(map[string]*window)}
}

// SetBounds changes the bounds; counts are kept.
func (w *Windows) SetBounds(ratio, fixed float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.fixed = ratio, fixed
}

func (w *Windows) service(name string, now time.Time) *window {
	s := w.services[name]
	at := now.UnixNano() / int64(w.bucket)
	if s == nil {
		s = &window{at: at}
		w.services[name] = s
	}
	for steps := 0; s.at < at && steps <= buckets; steps++ {
		s.at++
		s.requests[s.at%(buckets+1)], s.extra[s.at%(buckets+1)] = 0, 0
	}
	s.at = max(s.at, at)
	return s
}

// Earn notes one request for a service.
func (w *Windows) Earn(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(name, now)
	s.requests[s.at%(buckets+1)]++
}

// Take spends one extra attempt. It returns false when none is left in the window.
func (w *Windows) Take(name string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(name, now)
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
	s.extra[s.at%(buckets+1)]++
	return true
}
