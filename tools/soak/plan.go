// Package soak runs the real programs as processes against stand-ins of the platform
// and of targets, brings about faults from outside, and checks the promises while it runs.
//
// plan.go draws the faults of a seed, proxy.go is the loopback proxy that harms
// connections, site.go starts and ends the processes, faults.go brings the faults about,
// callers.go sends requests and checks what callers and targets see, run.go ties them.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	KillHost     Kind = "kill-host"
	PauseHost    Kind = "pause-host"
	StopHost     Kind = "stop-host"
	ReloadHost   Kind = "reload-host"
	StoreRefuse  Kind = "store-refuse"
	StoreSlow    Kind = "store-slow"
	StoreLose    Kind = "store-lose"
	StoreForget  Kind = "store-forget"
	LinkDelay    Kind = "link-delay"
	LinkReset    Kind = "link-reset"
	LinkOneWay   Kind = "link-one-way"
	LinkSilent   Kind = "link-silent"
	TargetBreaks Kind = "target-breaks"
	TargetSlow   Kind = "target-slow"
	TargetLeaves Kind = "target-leaves"
	NewState     Kind = "new-state"
	PowerLoss    Kind = "power-loss"
	WayDelay     Kind = "way-delay"
	WayReset     Kind = "way-reset"
	WayOneWay    Kind = "way-one-way"
	WaySilent    Kind = "way-silent"
)

// kinds is in the order in which a seed draws from it.
var kinds = []Kind{
	KillHost, PauseHost, StopHost, ReloadHost, StoreRefuse, StoreSlow, StoreLose, StoreForget,
	LinkDelay, LinkReset, LinkOneWay, LinkSilent, TargetBreaks, TargetSlow, TargetLeaves, NewState,
	PowerLoss, WayDelay, WayReset, WayOneWay, WaySilent,
}

// Fault is one fault of a plan.
type Fault struct {
	At     time.Duration
	For    time.Duration
	Kind   Kind
	Victim int
	// Variant picks one of the ways of the kind.
	Variant int
}

const (
	// seriesCount is how many series of faults overlap.
	seriesCount = 3
	// longestFault bounds how long a fault lasts, and longestPause the time between two
	// faults of a series.
	longestFault = 4 * time.Second
	longestPause = 2 * time.Second
	shortest     = 300 * time.Millisecond
)

// Plan returns the faults of a seed in order of time. The same seed and length always
// give the same faults.
func Plan(seed uint64, length time.Duration) []Fault {
	var plan []Fault
	for series := range uint64(seriesCount) {
		r := rand.New(rand.NewPCG(seed, series))
		at := time.Duration(0)
		for {
			at += shortest + time.Duration(r.Int64N(int64(longestPause)))
			f := Fault{
				At: at, For: shortest + time.Duration(r.Int64N(int64(longestFault))),
				Kind: kinds[r.IntN(len(kinds))], Victim: r.IntN(1 << 20), Variant: r.IntN(1 << 20),
			}
			at += f.For
			if at > length {
				break
			}
			plan = append(plan, f)
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}
