// Package route chooses a target for one attempt of a request.
//
// route.go declares what a policy sees, policies.go the policies, plan.go what
// stays the same between requests, router.go the choice itself.
package route

import (
	"math/rand/v2"
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
	// Latency is this host's decayed peak of short run times; 0 means unknown.
	Latency time.Duration
	// ReportedLoad is the target's own report as a share of its slots, aged; negative means unknown.
	ReportedLoad float64
	// Weight is 0 for a target that is set aside, up to 1 for a healthy, warm one.
	Weight float64
	// Probe is true when a target that is set aside may get one request.
	Probe bool

	// at is the target's index in the plan.
	at int
}

// Policy chooses among candidates. Implementations keep no reference to the slice.
type Policy interface {
	// Pick returns the index of the chosen candidate, or None when none has room.
	Pick(candidates []Candidate, rnd *rand.Rand) int
}

// New returns the policy of a name in a service's ticket, and whether the name is known.
func New(name string) (Policy, bool) {
	switch name {
	case "":
		return New(config.DefaultPolicy)
	case config.PolicyRoundRobin:
		return &RoundRobin{}, true
	case config.PolicyRandom:
		return Random{}, true
	case config.PolicyTwoChoices:
		return TwoChoices{}, true
	case config.PolicyTwoChoicesLatency:
		return TwoChoicesLatency{}, true
	default:
		return nil, false
	}
}
