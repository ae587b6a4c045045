// Package latency computes percentiles of the run times observed by this host, for each
// service and class.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalknot/request"
)

const (
	// windowLength is the minimum length of a window of observations. When a new window
	// starts, the current one becomes the previous one, and what the previous one held is
	// dropped. Only an observation starts a new window.
	windowLength = 30 * time.Second
	// maxQuietTime is how long after the last observation the windows of a class apply.
	// Requests that are refused for their expected run time are thus tried again.
	maxQuietTime = 2 * windowLength
	// minSamples is the minimum number of observations for a percentile.
	minSamples = 50
	// maxRunMicros is the longest run time that is recorded, in microseconds. Longer
	// ones are recorded as this value.
	maxRunMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 2
	// expectedQuantile is the quantile of run times that Expected returns.
	expectedQuantile = 0.5
)

type seriesKey struct {
	service string
	class   string
}

// series holds two windows, so that a percentile can be computed from the previous one
// while the current one has too few observations.
type series struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	started  time.Time
	// observedAt is when the last observation was recorded.
	observedAt time.Time
}

// expired reports whether the last observation is too old for the windows to apply.
func (s *series) expired(now time.Time) bool { return now.Sub(s.observedAt) >= maxQuietTime }

// startWindow starts a new window if it is due.
func (s *series) startWindow(now time.Time) {
	if now.Sub(s.started) < windowLength {
		return
	}
	s.previous, s.current = s.current, s.previous
	s.current.Reset()
	if s.expired(now) {
		s.previous.Reset()
	}
	s.started = now
}

// Tracker records run times. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	series map[seriesKey]*series
}

// NewTracker returns a Tracker without observations.
func NewTracker() *Tracker { return &Tracker{series: make(map[seriesKey]*series)} }

// Observe records the run time of one successful attempt.
func (t *Tracker) Observe(info *request.Info, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := seriesKey{service: info.Service.Name, class: info.Class.Name}
	s := t.series[k]
	if s == nil {
		s = &series{current: newHistogram(), previous: newHistogram(), started: now, observedAt: now}
		t.series[k] = s
	}
	s.startWindow(now)
	s.observedAt = now
	_ = s.current.RecordValue(min(max(d.Microseconds(), 1), maxRunMicros)) // cannot fail: the value is in range
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRunMicros, significantDigits)
}

// Quantile returns the run time that a share q of the recent requests of a class did
// not exceed. It returns false while there are too few observations.
func (t *Tracker) Quantile(info *request.Info, q float64, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.series[seriesKey{service: info.Service.Name, class: info.Class.Name}]
	if s == nil || s.expired(now) {
		return 0, false
	}
	h := s.current
	if h.TotalCount() < minSamples {
		h = s.previous
	}
	if h.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(h.ValueAtQuantile(q*100)) * time.Microsecond, true
}

// Expected returns the expected run time of a request: the smaller of the declared run
// time of its class and the observed median, or 0 when neither exists. A declared run
// time that is too long therefore does not get requests refused that the observed run
// times allow.
func (t *Tracker) Expected(info *request.Info, now time.Time) time.Duration {
	declared := time.Duration(info.Class.ExpectedMS) * time.Millisecond
	observed, ok := t.Quantile(info, expectedQuantile, now)
	if !ok || declared > 0 && declared < observed {
		return declared
	}
	return observed
}
