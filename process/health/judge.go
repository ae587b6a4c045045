package health

import (
	"math"
	"slices"
	"time"
)

const (
	// minSamples is how many run times are needed before a target is compared.
	minSamples = 3
	// slowRatio is the latency, in medians of the service, from which a target gets less.
	slowRatio = 2.0
	// outlierRatio is the latency, in medians of the service, from which a target is set aside.
	outlierRatio = 3.5
	// minExcess is the least difference to the median that counts, in seconds.
	minExcess = 0.002
	// failureLimit is the failure rate from which a target is set aside.
	failureLimit = 0.5
	// maxSetAsideShare bounds the targets of a failure domain that are set aside at once.
	maxSetAsideShare = 0.34
	// floorWeight is the weight of an outlier that may not be set aside.
	floorWeight = 0.1
	// sickWeight bounds the weight of a target that reports itself unhealthy.
	sickWeight = 0.25
	// weightStep is the factor by which a weight returns with each judgement.
	weightStep = 1.5
)

// judge compares the targets of one service and sets their weights and phases.
func judge(now time.Time, records []*record) {
	median := medianLatency(records)
	domains := make(map[string]*quota)
	for _, r := range records {
		q := domains[r.domain]
		if q == nil {
			q = &quota{}
			domains[r.domain] = q
		}
		q.targets++
		if r.phase == SetAside {
			q.aside++
		}
	}
	for _, r := range records {
		r.judge(now, median, domains[r.domain])
	}
}

// quota counts the targets of one failure domain.
type quota struct{ targets, aside int }

func (q *quota) open() bool {
	return q.aside < int(maxSetAsideShare*float64(q.targets)+0.5)
}

func (r *record) judge(now time.Time, median float64, q *quota) {
	badness := r.badness(now, median)
	if r.phase == SetAside {
		if r.short.samples > 0 && badness < slowRatio {
			q.aside--
			r.phase = Normal
			r.weight = floorWeight
			r.changed = true
			r.cool(now)
		}
		return
	}
	if badness >= outlierRatio && q.open() {
		q.aside++
		r.phase = SetAside
		r.weight = 0
		r.changed = true
		r.probe.reset(now)
		return
	}
	r.weight = approach(r.weight, r.goal(badness))
}

// goal returns the weight that fits a latency ratio.
func (r *record) goal(badness float64) float64 {
	goal := 1.0
	if badness >= slowRatio {
		goal = max(floorWeight, 1/badness)
	}
	if badness >= outlierRatio {
		goal = floorWeight
	}
	if r.sick {
		goal = min(goal, sickWeight)
	}
	return goal
}

// approach lowers a weight at once and raises it step by step.
func approach(weight, goal float64) float64 {
	if goal <= weight {
		return goal
	}
	return min(goal, max(weight, floorWeight)*weightStep)
}

// badness is the latency in medians of the service, or infinite for a target that fails.
func (r *record) badness(now time.Time, median float64) float64 {
	if r.failures >= failureLimit {
		return math.Inf(1)
	}
	latency := 0.0
	if r.short.samples >= minSamples || r.phase == SetAside {
		latency = r.short.value
	}
	if median > 0 && r.shortWork > 0 {
		latency = max(latency, now.Sub(r.quietSince).Seconds()/2)
	}
	if median <= 0 || latency-median < minExcess {
		return 1
	}
	return latency / median
}

// medianLatency returns the lower median, so that slow targets do not set the scale.
func medianLatency(records []*record) float64 {
	values := make([]float64, 0, len(records))
	for _, r := range records {
		if r.short.samples >= minSamples && r.phase == Normal {
			values = append(values, r.short.value)
		}
	}
	if len(values) < 2 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
