// Package soak is a fault-injection test: it runs quetzald processes against stand-ins
// for the store and for targets, injects faults from outside, and checks the guarantees
// to callers while it runs.
//
// plan.go generates the faults of a seed, proxy.go is a loopback proxy that delays, resets
// or drops traffic, cluster.go starts and stops the processes, operator.go writes the desired
// states and the targets' reports, and copies.go keeps copies of the store. faults.go injects
// the faults, with a file each for those of hosts, targets and the store. checker.go sends
// requests and checks the responses and the targets' runs, versions.go checks the desired state
// in force, and notices.go checks what targets say in their
// responses, disturbances.go says since when a host is undisturbed. run.go runs the complete
// test.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a type of fault.
type Kind string

// The types of faults. StoreLink faults affect the connections between one host and the store,
// TargetLink faults those between all hosts and one target.
const (
	KillHost           Kind = "kill-host"
	PauseHost          Kind = "pause-host"
	StopHost           Kind = "stop-host"
	ReloadHost         Kind = "reload-host"
	StoreError         Kind = "store-refuse"
	StoreSlow          Kind = "store-slow"
	StoreLoseResponses Kind = "store-lose"
	StoreCompact       Kind = "store-forget"
	StoreLinkDelay     Kind = "link-delay"
	StoreLinkReset     Kind = "link-reset"
	StoreLinkOneWay    Kind = "link-one-way"
	StoreLinkSilent    Kind = "link-silent"
	TargetMisbehaves   Kind = "target-breaks"
	TargetSlow         Kind = "target-slow"
	TargetDrains       Kind = "target-leaves"
	NewState           Kind = "new-state"
	PowerLoss          Kind = "power-loss"
	TargetLinkDelay    Kind = "way-delay"
	TargetLinkReset    Kind = "way-reset"
	TargetLinkOneWay   Kind = "way-one-way"
	TargetLinkSilent   Kind = "way-silent"
	// StoreRestored takes the store away for a moment; it comes back from an older copy.
	StoreRestored Kind = "store-restored"
	// StoreSilent makes the store leave calls unanswered, whose connections stay open.
	StoreSilent Kind = "store-silent"
	// TargetGone removes a target's report.
	TargetGone Kind = "target-gone"
	// TargetSaysLeaving makes a target say in its responses that it is leaving, while its report does not, and
	// start again then. TargetLimits makes it name a limit, and TargetPauses turn requests away for a time.
	TargetSaysLeaving Kind = "target-says-leaving"
	TargetLimits      Kind = "target-limits"
	TargetPauses      Kind = "target-pauses"
)

// kinds lists the types of faults. Its order decides which faults a seed generates.
var kinds = []Kind{
	KillHost, PauseHost, StopHost, ReloadHost, StoreError, StoreSlow, StoreLoseResponses, StoreCompact,
	StoreLinkDelay, StoreLinkReset, StoreLinkOneWay, StoreLinkSilent, TargetMisbehaves, TargetSlow, TargetDrains, NewState,
	PowerLoss, TargetLinkDelay, TargetLinkReset, TargetLinkOneWay, TargetLinkSilent,
	StoreRestored, StoreRestored, StoreSilent, TargetGone,
}

// noticeKinds lists the faults that targets tell of in their responses. They have series of their own, so that
// the other faults of a seed do not depend on them.
var noticeKinds = []Kind{TargetSaysLeaving, TargetLimits, TargetLimits, TargetPauses}

// Fault is one fault of a plan.
type Fault struct {
	// At is the time from the start of the plan to the start of the fault.
	At       time.Duration
	Duration time.Duration
	Kind     Kind
	// Victim selects the host or the target; it is taken modulo their number.
	Victim int
	// Variant selects one of the forms that the type of fault has.
	Variant int
}

const (
	// seriesCount is the number of series of faults that run concurrently.
	seriesCount = 3
	// A fault lasts for minDuration and up to faultRange more, but not beyond the plan; the time
	// between two faults of a series is minDuration and up to pauseRange more.
	faultRange  = 4 * time.Second
	pauseRange  = 2 * time.Second
	minDuration = 300 * time.Millisecond
	// One fault in burstOdds is followed by up to maxBurst more, each up to burstRange after the
	// one before it.
	burstOdds  = 3
	maxBurst   = 3
	burstRange = 1500 * time.Millisecond
	// noticeSeriesCount is the number of series of noticeKinds, each with targets of its own. Such a fault
	// lasts for minNotice and up to noticeRange more.
	noticeSeriesCount = 2
	minNotice         = 3 * time.Second
	noticeRange       = 12 * time.Second
)

// Plan returns the faults of a seed in order of time. It is deterministic: the same seed
// and length always give the same faults.
func Plan(seed uint64, length time.Duration) []Fault {
	var plan []Fault
	for series := range uint64(seriesCount) {
		plan = append(plan, planSeries(rand.New(rand.NewPCG(seed, series)), length)...)
	}
	for series := range uint64(noticeSeriesCount) {
		plan = append(plan, planNotices(rand.New(rand.NewPCG(seed, seriesCount+series)), int(series), length)...)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// planSeries returns the faults of a series, of which those of a burst overlap.
func planSeries(r *rand.Rand, length time.Duration) []Fault {
	var plan []Fault
	at := time.Duration(0)
	for {
		at += minDuration + rangeOf(r, pauseRange)
		f := Fault{
			At: at, Duration: minDuration + rangeOf(r, faultRange),
			Kind: kinds[r.IntN(len(kinds))], Victim: r.IntN(1 << 20), Variant: r.IntN(1 << 20),
		}
		if at+minDuration > length {
			return plan
		}
		f.Duration = min(f.Duration, length-at)
		at += f.Duration
		plan = append(plan, f)
		if r.IntN(burstOdds) == 0 {
			plan = append(plan, planBurst(r, f, length)...)
		}
	}
}

// planNotices returns the faults of a series of noticeKinds, one after the other.
func planNotices(r *rand.Rand, series int, length time.Duration) []Fault {
	var plan []Fault
	for at := rangeOf(r, pauseRange); at+minNotice <= length; at += rangeOf(r, pauseRange) {
		f := Fault{
			At: at, Duration: min(minNotice+rangeOf(r, noticeRange), length-at), Kind: noticeKinds[r.IntN(len(noticeKinds))],
			Victim: noticeSeriesCount*r.IntN(1<<20) + series, Variant: r.IntN(1 << 20),
		}
		plan = append(plan, f)
		at += f.Duration
	}
	return plan
}

// planBurst returns the faults that follow soon after a first one: the same fault again, or
// another one of the same victim.
func planBurst(r *rand.Rand, first Fault, length time.Duration) []Fault {
	var burst []Fault
	f := first
	for range 1 + r.IntN(maxBurst) {
		f.At += rangeOf(r, burstRange)
		f.Variant = r.IntN(1 << 20)
		if r.IntN(2) == 0 {
			f.Kind = kinds[r.IntN(len(kinds))]
		}
		if f.At+minDuration <= length {
			f.Duration = min(f.Duration, length-f.At)
			burst = append(burst, f)
		}
	}
	return burst
}

func rangeOf(r *rand.Rand, d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
