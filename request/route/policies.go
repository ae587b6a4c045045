package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// RoundRobin takes the candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Policy.
func (p *RoundRobin) Pick(candidates []Candidate, rnd *rand.Rand) int {
	n := len(candidates)
	if n == 0 {
		return None
	}
	return from(candidates, int(p.next.Add(1)%uint64(n)), rnd)
}

// Random takes any candidate with equal chance.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(candidates []Candidate, rnd *rand.Rand) int { return draw(candidates, rnd) }

// TwoChoices draws two candidates and takes the one with fewer requests in flight.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(candidates []Candidate, rnd *rand.Rand) int {
	first, second := drawTwo(candidates, rnd)
	if first == None || second == None {
		return first
	}
	if candidates[second].InFlight < candidates[first].InFlight {
		return second
	}
	return first
}

// TwoChoicesLatency draws two candidates and takes the one with the shorter
// expected wait, by requests in flight, observed latency and reported load.
type TwoChoicesLatency struct{}

// Pick implements Policy.
func (TwoChoicesLatency) Pick(candidates []Candidate, rnd *rand.Rand) int {
	first, second := drawTwo(candidates, rnd)
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

// cost is proportional to the expected wait. Latency counts only when it is
// known of both candidates.
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

// drawTwo returns two different random candidates; None stands for a missing one.
func drawTwo(candidates []Candidate, rnd *rand.Rand) (first, second int) {
	first = draw(candidates, rnd)
	if first == None || len(candidates) == 1 {
		return first, None
	}
	second = from(candidates, rnd.IntN(len(candidates)), rnd)
	if second == first {
		second = from(candidates, (first+1)%len(candidates), rnd)
	}
	if second == first {
		return first, None
	}
	return first, second
}

// draw returns a random usable candidate, or None.
func draw(candidates []Candidate, rnd *rand.Rand) int {
	if len(candidates) == 0 {
		return None
	}
	return from(candidates, rnd.IntN(len(candidates)), rnd)
}

// from returns the first usable candidate from start on, passing over those with
// a lower weight as often as the weight says.
func from(candidates []Candidate, start int, rnd *rand.Rand) int {
	passed := None
	n := len(candidates)
	for i := range n {
		at := start + i
		if at >= n {
			at -= n
		}
		c := &candidates[at]
		if c.Free <= 0 || c.Weight <= 0 {
			continue
		}
		if c.Weight >= 1 || rnd.Float64() < c.Weight {
			return at
		}
		if passed == None || c.Weight > candidates[passed].Weight {
			passed = at
		}
	}
	return passed
}
