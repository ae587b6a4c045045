package health

import (
	"math"
	"time"
)

const (
	// latencySampleWeight is the weight of a new sample in the moving averages of run
	// times.
	latencySampleWeight = 0.2
	// peakTimeConstant is the time constant of the decay of a latency peak.
	peakTimeConstant = 2 * time.Second
	// failureSampleWeight is the weight of a new outcome in the failure rate.
	failureSampleWeight = 0.2
	// shedLimitFactor is the factor on the concurrency limit after a shed response.
	shedLimitFactor = 0.7
	// minLowerInterval is the least time between two reductions of the limit.
	minLowerInterval = 100 * time.Millisecond
	// minRaiseInterval is the least time between two increases of the limit.
	minRaiseInterval = 100 * time.Millisecond
	// loadReportTTL is the age from which a load report is ignored.
	loadReportTTL = 5 * time.Second
)

// Phase says whether a target gets regular requests.
type Phase uint8

// The phases.
const (
	// Normal targets get requests according to their weight.
	Normal Phase = iota
	// Ejected targets get only probes.
	Ejected
)

// movingAverage is an exponentially weighted moving average of seconds.
type movingAverage struct {
	value   float64
	samples int
}

func (a *movingAverage) add(v, weight float64) {
	a.samples++
	if a.samples == 1 {
		a.value = v
		return
	}
	a.value += max(weight, 1/float64(a.samples)) * (v - a.value)
}

// targetState is the health of one target. The current time is a parameter of its methods.
type targetState struct {
	domain string
	slots  int

	shortRunTime movingAverage
	longRunTime  movingAverage
	peak         float64
	peakAt       time.Time
	failureRate  float64

	inFlight      int
	shortInFlight int
	// waitingSince is the later of the last end of a short request and the start of the
	// first one in flight.
	waitingSince time.Time

	// limit is the concurrency limit: how many requests this host may have in flight at
	// the target.
	limit          float64
	limitChangedAt time.Time

	phase            Phase
	weight           float64
	probe            probeSchedule
	reportsUnhealthy bool
	load             float64
	loadAt           time.Time
	phaseChanged     bool
}

func newTargetState(domain string, slots int, now time.Time) *targetState {
	return &targetState{domain: domain, slots: slots, weight: 1, limit: 1, limitChangedAt: now, load: -1}
}

func (r *targetState) begin(now time.Time, long bool) {
	r.inFlight++
	if long {
		return
	}
	if r.shortInFlight == 0 {
		r.waitingSince = now
	}
	r.shortInFlight++
}

func (r *targetState) end(now time.Time, long bool) {
	r.inFlight = max(0, r.inFlight-1)
	if long {
		return
	}
	r.shortInFlight = max(0, r.shortInFlight-1)
	r.waitingSince = now
}

func (r *targetState) observe(now time.Time, long bool, o Outcome) {
	r.end(now, long)
	if o.Cancelled {
		return
	}
	if o.Shed {
		r.lowerLimit(now)
		return
	}
	failed := 0.0
	if o.Failed {
		failed = 1
	}
	r.failureRate += failureSampleWeight * (failed - r.failureRate)
	if o.Failed || o.RunTime <= 0 {
		return
	}
	r.addRunTime(now, long, o.RunTime.Seconds())
	r.raiseLimit(now)
}

func (r *targetState) addRunTime(now time.Time, long bool, seconds float64) {
	if long {
		r.longRunTime.add(seconds, latencySampleWeight)
		return
	}
	r.shortRunTime.add(seconds, latencySampleWeight)
	r.peak = max(seconds, r.decayedPeak(now))
	r.peakAt = now
}

// decayedPeak returns the latency peak, decayed towards the moving average.
func (r *targetState) decayedPeak(now time.Time) float64 {
	if r.peak <= r.shortRunTime.value {
		return r.shortRunTime.value
	}
	age := now.Sub(r.peakAt).Seconds() / peakTimeConstant.Seconds()
	return r.shortRunTime.value + (r.peak-r.shortRunTime.value)*math.Exp(-age)
}

// lowerLimit lowers the concurrency limit after a shed response.
func (r *targetState) lowerLimit(now time.Time) {
	if now.Sub(r.limitChangedAt) < minLowerInterval {
		return
	}
	base := min(r.limit, float64(r.inFlight+1))
	r.limit = max(1, base*shedLimitFactor)
	r.limitChangedAt = now
}

// raiseLimit raises the concurrency limit by one after a response, if minRaiseInterval
// has passed.
func (r *targetState) raiseLimit(now time.Time) {
	if r.limit >= float64(r.slots) || now.Sub(r.limitChangedAt) < minRaiseInterval {
		return
	}
	r.limit = min(float64(r.slots), r.limit+1)
	r.limitChangedAt = now
}

// resetLimit restarts the concurrency limit at 1 for a target that was ejected.
func (r *targetState) resetLimit(now time.Time) {
	r.limit = 1
	r.limitChangedAt = now
}

// decayedLoad returns the reported load, which decreases with the report's age; negative
// means unknown.
func (r *targetState) decayedLoad(now time.Time) float64 {
	age := now.Sub(r.loadAt)
	if r.load < 0 || age >= loadReportTTL {
		return -1
	}
	return r.load * (1 - float64(age)/float64(loadReportTTL))
}
