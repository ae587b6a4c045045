// Package latency keeps quantiles of the run times that this host observed, by
// service and class.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalknot/request"
)

const (
	// windowLength is the age at which observations begin to be forgotten.
	windowLength = 30 * time.Second
	// minSamples is how many observations a quantile needs.
	minSamples = 50
	// maxMicros is the longest run time that is told apart, in microseconds.
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 2
	// expectedQuantile is the share of requests that run at most the expected time.
	expectedQuantile = 0.5
)

type key struct {
	service string
	class   string
}

// series holds two windows, so that a quantile always rests on at least one
// window's worth of observations.
type series struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	started  time.Time
}

// Tracker collects run times. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	series map[key]*series
}

// NewTracker returns a Tracker without observations.
func NewTracker() *Tracker { return &Tracker{series: make(map[key]*series)} }

// Observe adds the run time of one attempt that was answered.
func (t *Tracker) Observe(info *request.Info, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{service: info.Service.Name, class: info.Class.Name}
	s := t.series[k]
	if s == nil {
		s = &series{current: newHistogram(), previous: newHistogram(), started: now}
		t.series[k] = s
	}
	if now.Sub(s.started) >= windowLength {
		s.previous, s.current = s.current, s.previous
		s.current.Reset()
		s.started = now
	}
	_ = s.current.RecordValue(min(max(d.Microseconds(), 1), maxMicros)) // always in range
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, significantDigits)
}

// Quantile returns the run time that a share q of the recent requests of a class
// did not exceed. It returns false while too few were observed.
func (t *Tracker) Quantile(info *request.Info, q float64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.series[key{service: info.Service.Name, class: info.Class.Name}]
	if s == nil {
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

// Expected returns the usual run time of a request: the smaller of what the class
// declares and the observed median, or 0 when nothing is known. A wrong
// declaration thus never refuses a request that observation says can be run.
func (t *Tracker) Expected(info *request.Info) time.Duration {
	declared := time.Duration(info.Class.ExpectedMS) * time.Millisecond
	observed, ok := t.Quantile(info, expectedQuantile)
	if !ok || declared > 0 && declared < observed {
		return declared
	}
	return observed
}
