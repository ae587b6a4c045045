// Package route selects a target for one attempt of a request.
//
// route.go declares the policy interface, policies.go implements the policies, plan.go
// caches the data that is the same for all requests of a class, router.go selects the
// target and takes a slot.
package route

import (
	"math/rand/v2"
	"time"

	"quetzalknot/version/config"
)

// None is returned when no candidate has a free slot.
const None = -1

// Candidate holds the values of one target that a policy may use.
type Candidate struct {
	Target *config.Target
	// Free is the number of additional requests of the class that the target may get now.
	Free int
	// InFlight is the number of requests that this host has in flight at the target.
	InFlight int
	// Latency is the decaying peak of the run times that this host observed for short
	// requests; 0 means unknown.
	Latency time.Duration
	// ReportedLoad is the load that the target reported, as a share of its slots, reduced
	// with the age of the report; negative means unknown.
	ReportedLoad float64
	// Weight is 0 for an ejected target and up to 1 for a healthy one past its cold start.
	Weight float64
	// Probe is true when an ejected target may get a single request.
	Probe bool

	// index is the position of the target in the class plan.
	index int
}

// Policy selects one of the candidates. Implementations must not keep the slice.
type Policy interface {
	// Pick returns the index of the selected candidate, or None when none has a free slot.
	Pick(candidates []Candidate, rnd *rand.Rand) int
}

// NewPolicy returns the policy of the given name, as written in a service's ticket, and
// whether the name is known.
func NewPolicy(name string) (Policy, bool) {
	switch name {
	case "":
		return NewPolicy(config.DefaultPolicy)
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
