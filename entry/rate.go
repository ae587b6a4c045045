package entry

import (
	"math"
	"sync"
	"time"
)

const (
	// rateSampleInterval is the shortest time over which a rate is measured.
	rateSampleInterval = time.Second
	// peakHalfLife is the time in which a past peak decays to one half.
	peakHalfLife = 10 * time.Second
)

// peakRate tracks the peak rate of requests with exponential decay.
type peakRate struct {
	mu        sync.Mutex
	peak      float64
	total     int64
	sampledAt time.Time
}

// update adds a sample: total is the number of requests received since the start.
func (r *peakRate) update(total int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := now.Sub(r.sampledAt)
	if elapsed < rateSampleInterval {
		return
	}
	if !r.sampledAt.IsZero() {
		decay := math.Exp2(-elapsed.Seconds() / peakHalfLife.Seconds())
		r.peak = max(decay*r.peak, float64(total-r.total)/elapsed.Seconds())
	}
	r.total, r.sampledAt = total, now
}

// perSecond returns the decayed peak rate in requests a second.
func (r *peakRate) perSecond() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peak
}
