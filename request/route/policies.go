package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// RoundRobin selects the candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Policy.
func (p *RoundRobin) Pick(candidates []Candidate, rnd *rand.Rand) int {
	n := len(candidates)
	if n == 0 {
		return None
	}
	return firstUsable(candidates, int(p.next.Add(1)%uint64(n)), rnd)
}

// Random selects every candidate with equal probability.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(candidates []Candidate, rnd *rand.Rand) int { return randomUsable(candidates, rnd) }

// TwoChoices draws two candidates and selects the one with fewer requests in flight.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(candidates []Candidate, rnd *rand.Rand) int {
	first, second := twoUsable(candidates, rnd)
	if first == None || second == None {
		return first
	}
	if candidates[second].InFlight < candidates[first].InFlight {
		return second
	}
	return first
}

// TwoChoicesLatency draws two candidates and selects the one with the shorter expected
// wait, estimated from requests in flight, observed latency and reported load.
type TwoChoicesLatency struct{}

// Pick implements Policy.
func (TwoChoicesLatency) Pick(candidates []Candidate, rnd *rand.Rand) int {
	first, second := twoUsable(candidates, rnd)
	if first == None || second == None {
		return first
	}
	a, b := &candidates[first], &candidates[second]
	known := a.Latency > 0 && b.Latency > 0
	if cost(b, known) < cost(a, known) {
		return second
	}
	return first
}

// cost returns a value proportional to the expected wait. Latency counts only when it is
// known for both candidates.
func cost(c *Candidate, latencyKnown bool) float64 {
	v := float64(c.InFlight + 1)
	if latencyKnown {
		v *= float64(c.Latency)
	}
	if c.ReportedLoad > 0 {
		v *= 1 + c.ReportedLoad
	}
	return v / c.Weight
}

// twoUsable returns two different random usable candidates, with None for a missing one.
func twoUsable(candidates []Candidate, rnd *rand.Rand) (first, second int) {
	first = randomUsable(candidates, rnd)
	if first == None || len(candidates) == 1 {
		return first, None
	}
	second = firstUsable(candidates, rnd.IntN(len(candidates)), rnd)
	if second == first {
		second = firstUsable(candidates, (first+1)%len(candidates), rnd)
	}
	if second == first {
		return first, None
	}
	return first, second
}

// randomUsable returns a random usable candidate, or None.
func randomUsable(candidates []Candidate, rnd *rand.Rand) int {
	if len(candidates) == 0 {
		return None
	}
	return firstUsable(candidates, rnd.IntN(len(candidates)), rnd)
}

// firstUsable returns the first usable candidate at or after start, wrapping around. It
// skips a candidate with probability 1 - Weight; if all are skipped, it returns the one
// with the highest weight.
func firstUsable(candidates []Candidate, start int, rnd *rand.Rand) int {
	fallback := None
	n := len(candidates)
	for i := range n {
		index := start + i
		if index >= n {
			index -= n
		}
		c := &candidates[index]
		if c.Free <= 0 || c.Weight <= 0 {
			continue
		}
		if c.Weight >= 1 || rnd.Float64() < c.Weight {
			return index
		}
		if fallback == None || c.Weight > candidates[fallback].Weight {
			fallback = index
		}
	}
	return fallback
}
