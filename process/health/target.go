package health

import (
	"math"
	"time"
)

const (
	// latencyGain is the share of a new sample in the moving average.
	latencyGain = 0.2
	// peakDecay is the time constant after which a peak of latency is forgotten.
	peakDecay = 2 * time.Second
	// failureGain is the share of a new outcome in the failure rate.
	failureGain = 0.2
	// shedShrink is the factor on the concurrency limit after a shed answer.
	shedShrink = 0.7
	// shedPause is the least time between two reductions of the limit.
	shedPause = 100 * time.Millisecond
	// coldStep is the least time between two slots that open at a cold target.
	coldStep = 100 * time.Millisecond
	// reportLife is the age at which a load report counts for nothing.
	reportLife = 5 * time.Second
)

// Phase is how far a target is trusted with work.
type Phase uint8

// The phases.
const (
	// Normal targets take work by their weight.
	Normal Phase = iota
	// SetAside targets take no work but probes.
	SetAside
)

// average is an exponentially weighted moving average of seconds.
type average struct {
	value   float64
	samples int
}

func (a *average) add(v, gain float64) {
	a.samples++
	if a.samples == 1 {
		a.value = v
		return
	}
	a.value += max(gain, 1/float64(a.samples)) * (v - a.value)
}

// record is the state of one target. The clock is passed in.
type record struct {
	domain string
	slots  int

	short    average
	long     average
	peak     float64
	peakAt   time.Time
	failures float64

	inFlight  int
	shortWork int
	// quietSince is when the short requests in flight last made progress.
	quietSince time.Time

	// limit is how many requests this host may have in flight there.
	limit     float64
	limitedAt time.Time

	phase   Phase
	weight  float64
	probe   probe
	sick    bool
	load    float64
	loadAt  time.Time
	changed bool
}

func newRecord(domain string, slots int, now time.Time) *record {
	return &record{domain: domain, slots: slots, weight: 1, limit: 1, limitedAt: now, load: -1}
}

func (r *record) started(now time.Time, long bool) {
	r.inFlight++
	if long {
		return
	}
	if r.shortWork == 0 {
		r.quietSince = now
	}
	r.shortWork++
}

func (r *record) ended(now time.Time, long bool) {
	r.inFlight = max(0, r.inFlight-1)
	if long {
		return
	}
	r.shortWork = max(0, r.shortWork-1)
	r.quietSince = now
}

func (r *record) observe(now time.Time, long bool, o Outcome) {
	r.ended(now, long)
	if o.Cancelled {
		return
	}
	if o.Shed {
		r.shrink(now)
		return
	}
	failed := 0.0
	if o.Failed {
		failed = 1
	}
	r.failures += failureGain * (failed - r.failures)
	if o.Failed || o.RunTime <= 0 {
		return
	}
	r.addRunTime(now, long, o.RunTime.Seconds())
	r.grow(now)
}

func (r *record) addRunTime(now time.Time, long bool, seconds float64) {
	if long {
		r.long.add(seconds, latencyGain)
		return
	}
	r.short.add(seconds, latencyGain)
	r.peak = max(seconds, r.peakNow(now))
	r.peakAt = now
}

// peakNow returns the peak of latency, decayed towards the average.
func (r *record) peakNow(now time.Time) float64 {
	if r.peak <= r.short.value {
		return r.short.value
	}
	age := now.Sub(r.peakAt).Seconds() / peakDecay.Seconds()
	return r.short.value + (r.peak-r.short.value)*math.Exp(-age)
}

// shrink lowers the concurrency limit after a shed answer.
func (r *record) shrink(now time.Time) {
	if now.Sub(r.limitedAt) < shedPause {
		return
	}
	base := min(r.limit, float64(r.inFlight+1))
	r.limit = max(1, base*shedShrink)
	r.limitedAt = now
}

// grow opens one more slot when the target answers and coldStep has passed.
func (r *record) grow(now time.Time) {
	if r.limit >= float64(r.slots) || now.Sub(r.limitedAt) < coldStep {
		return
	}
	r.limit = min(float64(r.slots), r.limit+1)
	r.limitedAt = now
}

// cool returns a target that was away to a cold start.
func (r *record) cool(now time.Time) {
	r.limit = 1
	r.limitedAt = now
}

// loadNow returns the reported load, which fades with its age; negative means unknown.
func (r *record) loadNow(now time.Time) float64 {
	age := now.Sub(r.loadAt)
	if r.load < 0 || age >= reportLife {
		return -1
	}
	return r.load * (1 - float64(age)/float64(reportLife))
}
