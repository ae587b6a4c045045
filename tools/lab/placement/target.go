package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quetzalknot/process/fleet"
)

// emulatedTarget simulates a target with slots, a queue and a cache of objects.
type emulatedTarget struct {
	id     string
	region string
	spec   TargetSpec
	// runFactor multiplies the run times of all requests on this target; 1 is the run time
	// of the kind.
	runFactor float64
	// slowdown is a further multiplier while the target is slow; 1 means none.
	slowdown float64
	running  int
	queue    []*attempt
	// cached holds the most recently used objects.
	cached *simplelru.LRU[uint64, bool]
}

// runFactorSpread is the largest deviation of a target's run factor from 1.
const runFactorSpread = 0.1

func newTarget(i int, region string, spec TargetSpec, r *rand.Rand) *emulatedTarget {
	cached, err := simplelru.NewLRU[uint64, bool](max(1, spec.CacheSize), nil)
	if err != nil {
		panic(err) // the size is above 0
	}
	return &emulatedTarget{
		id: fmt.Sprintf("t%03d", i), region: region, spec: spec, cached: cached, slowdown: 1,
		runFactor: 1 + runFactorSpread*(2*r.Float64()-1),
	}
}

// accept assigns a slot to an attempt (start), queues it, or sheds it (ok is false).
func (t *emulatedTarget) accept(a *attempt) (start, ok bool) {
	switch {
	case t.running < t.spec.Slots:
		t.running++
		return true, true
	case len(t.queue) < t.spec.Queue:
		t.queue = append(t.queue, a)
		return false, true
	default:
		return false, false
	}
}

// runTime returns a random run time for an attempt that starts now, and caches its
// object.
func (t *emulatedTarget) runTime(a *attempt, r *rand.Rand) time.Duration {
	run := a.request.kind.RunMS * t.runFactor * t.slowdown * math.Exp(t.spec.Noise*r.NormFloat64())
	if _, ok := t.cached.Get(a.request.object); ok {
		run *= t.spec.CachedRunFactor
	}
	t.cached.Add(a.request.object, true)
	return millis(run)
}

// finish frees the slot of a finished attempt. It returns the queued attempt that
// takes over the slot, or nil.
func (t *emulatedTarget) finish() *attempt {
	if len(t.queue) == 0 {
		t.running--
		return nil
	}
	a := t.queue[0]
	t.queue = t.queue[1:]
	return a
}

// load returns the load report that the target attaches to a response.
func (t *emulatedTarget) load() *fleet.Load {
	return &fleet.Load{Running: t.running, Waiting: len(t.queue), Slots: t.spec.Slots, RunFactor: t.runFactor * t.slowdown}
}
