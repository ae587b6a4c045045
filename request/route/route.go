// Package route chooses a target for one attempt of a request.
package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"quetzalknot/version/config"
)

// None is returned when no candidate has room.
const None = -1

// Candidate is what a policy knows about one target at the moment of the choice.
type Candidate struct {
	Target *config.Target
	// Free is how many more requests of this class may be sent to the target now.
	Free int
	// InFlight is how many requests this host has in flight there.
	InFlight int
	// Latency is this host's moving average of short work; 0 means unknown.
	Latency time.Duration
	// ReportedLoad is the target's own report as a share of its slots, aged; negative means unknown.
	ReportedLoad float64
	// Weight is 0 for a target that is set aside, up to 1 for a healthy, warm one.
	Weight float64
}

// Policy chooses among candidates. Implementations keep no reference to the slice.
type Policy interface {
	// Pick returns the index of the chosen candidate, or None when none has room.
	Pick(candidates []Candidate, rnd *rand.Rand) int
}

// RoundRobin takes the candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Policy.
func (p *RoundRobin) Pick(candidates []Candidate, _ *rand.Rand) int {
	n := len(candidates)
	if n == 0 {
		return None
	}
	start := int(p.next.Add(1) % uint64(n))
	for i := range n {
		at := (start + i) % n
		if usable(&candidates[at]) {
			return at
		}
	}
	return None
}

// TwoChoices draws two candidates and takes the one with fewer requests in flight.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(candidates []Candidate, rnd *rand.Rand) int {
	first := draw(candidates, rnd)
	if first == None {
		return None
	}
	second := draw(candidates, rnd)
	if candidates[second].InFlight < candidates[first].InFlight {
		return second
	}
	return first
}

// draw returns a random usable candidate, or None.
func draw(candidates []Candidate, rnd *rand.Rand) int {
	n := len(candidates)
	if n == 0 {
		return None
	}
	start := rnd.IntN(n)
	for i := range n {
		at := (start + i) % n
		if usable(&candidates[at]) {
			return at
		}
	}
	return None
}

func usable(c *Candidate) bool { return c.Free > 0 && c.Weight > 0 }

// New returns the policy of a name in a service's ticket, and whether the name is known.
func New(name string) (Policy, bool) {
	switch name {
	case "", config.DefaultPolicy:
		return TwoChoices{}, true
	case "round-robin":
		return &RoundRobin{}, true
	default:
		return nil, false
	}
}
