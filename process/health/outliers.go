package health

import (
	"math"
	"slices"
	"time"
)

const (
	// minSamples is how many run times a target needs before it is compared.
	minSamples = 3
	// slowRatio is the multiple of the median latency from which a target's weight is
	// lowered.
	slowRatio = 2.0
	// ejectionRatio is the multiple of the median latency from which a target is ejected.
	ejectionRatio = 3.5
	// minExcessSeconds is the least difference to the median that counts as slow.
	minExcessSeconds = 0.002
	// ejectionFailureRate is the failure rate from which a target is ejected.
	ejectionFailureRate = 0.5
	// maxEjectedShare bounds the share of a failure domain's targets that are ejected at
	// once.
	maxEjectedShare = 0.34
	// minWeight is the weight of an outlier that the quota keeps from being ejected, and
	// of a target that has just been restored.
	minWeight = 0.1
	// unhealthyWeight bounds the weight of a target that reports itself unhealthy.
	unhealthyWeight = 0.25
	// weightGrowth is the factor by which a weight may grow with each evaluation.
	weightGrowth = 1.5
)

// evaluateGroup detects outliers among the targets of one service, and sets the targets'
// weights and phases.
func evaluateGroup(now time.Time, states []*targetState) {
	median := medianLatency(states)
	domains := make(map[string]*domainQuota)
	for _, r := range states {
		q := domains[r.domain]
		if q == nil {
			q = &domainQuota{}
			domains[r.domain] = q
		}
		q.targets++
		if r.phase == Ejected {
			q.ejected++
		}
	}
	for _, r := range states {
		r.evaluate(now, median, domains[r.domain])
	}
}

// domainQuota limits ejections in one failure domain.
type domainQuota struct{ targets, ejected int }

// allowsEjection reports whether one more target of the failure domain may be ejected.
func (q *domainQuota) allowsEjection() bool {
	return q.ejected < int(maxEjectedShare*float64(q.targets)+0.5)
}

// evaluate ejects the target, restores it after a good probe, or adjusts its weight.
func (r *targetState) evaluate(now time.Time, median float64, q *domainQuota) {
	ratio := r.medianRatio(now, median)
	if r.phase == Ejected {
		if r.shortRunTime.samples > 0 && ratio < slowRatio {
			q.ejected--
			r.phase = Normal
			r.weight = minWeight
			r.phaseChanged = true
			r.resetLimit(now)
		}
		return
	}
	if ratio >= ejectionRatio && q.allowsEjection() {
		q.ejected++
		r.phase = Ejected
		r.weight = 0
		r.phaseChanged = true
		r.probe.reset(now)
		return
	}
	r.weight = stepTowards(r.weight, r.targetWeight(ratio))
}

// targetWeight returns the weight for a ratio of latency to the median.
func (r *targetState) targetWeight(ratio float64) float64 {
	weight := 1.0
	if ratio >= slowRatio {
		weight = max(minWeight, 1/ratio)
	}
	if ratio >= ejectionRatio {
		weight = minWeight
	}
	if r.reportsUnhealthy {
		weight = min(weight, unhealthyWeight)
	}
	return weight
}

// stepTowards lowers a weight at once and raises it by at most weightGrowth.
func stepTowards(weight, target float64) float64 {
	if target <= weight {
		return target
	}
	return min(target, max(weight, minWeight)*weightGrowth)
}

// medianRatio returns the target's latency as a multiple of the service's median, or
// infinity if its failure rate is too high. While short requests are in flight, the latency
// is at least half of the time since waitingSince, so that a stalled target is detected
// before it responds.
func (r *targetState) medianRatio(now time.Time, median float64) float64 {
	if r.failureRate >= ejectionFailureRate {
		return math.Inf(1)
	}
	latency := 0.0
	if r.shortRunTime.samples >= minSamples || r.phase == Ejected {
		latency = r.shortRunTime.value
	}
	if median > 0 && r.shortInFlight > 0 {
		latency = max(latency, now.Sub(r.waitingSince).Seconds()/2)
	}
	if median <= 0 || latency-median < minExcessSeconds {
		return 1
	}
	return latency / median
}

// medianLatency returns the lower median, so that slow targets do not raise it; 0 with
// fewer than two targets that can be compared.
func medianLatency(states []*targetState) float64 {
	values := make([]float64, 0, len(states))
	for _, r := range states {
		if r.shortRunTime.samples >= minSamples && r.phase == Normal {
			values = append(values, r.shortRunTime.value)
		}
	}
	if len(values) < 2 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
