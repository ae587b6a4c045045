package entry

import (
	"math"
	"sync"
	"time"
)

const (
	// rateSpan is the time over which requests are counted.
	rateSpan = time.Second
	// rateHalfLife is how fast a peak is forgotten.
	rateHalfLife = 10 * time.Second
)

// rate holds how many requests a second came at the last peak.
type rate struct {
	mu    sync.Mutex
	held  float64
	taken int64
	at    time.Time
}

// note takes in how many requests have come until now.
func (r *rate) note(taken int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	span := now.Sub(r.at)
	if span < rateSpan {
		return
	}
	if !r.at.IsZero() {
		decay := math.Exp2(-span.Seconds() / rateHalfLife.Seconds())
		r.held = max(decay*r.held, float64(taken-r.taken)/span.Seconds())
	}
	r.taken, r.at = taken, now
}

// perSecond returns how many requests a second came lately.
func (r *rate) perSecond() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}
