package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quetzalknot/process/fleet"
)

// emulated is a target.
type emulated struct {
	id     string
	region string
	spec   Target
	// speed is how long work takes on it, as a multiple of the usual.
	speed float64
	// slow is the same for the present disturbance; 1 means none.
	slow    float64
	running int
	queue   []*attempt
	warm    *simplelru.LRU[uint64, bool]
}

// speedSpread is how much the targets differ in speed.
const speedSpread = 0.1

func newTarget(i int, region string, spec Target, r *rand.Rand) *emulated {
	warm, err := simplelru.NewLRU[uint64, bool](max(1, spec.Objects), nil)
	if err != nil {
		panic(err) // the size is above 0
	}
	return &emulated{
		id: fmt.Sprintf("t%03d", i), region: region, spec: spec, warm: warm, slow: 1,
		speed: 1 + speedSpread*(2*r.Float64()-1),
	}
}

// take starts a request, lets it wait, or returns false to shed it.
func (t *emulated) take(a *attempt) (start, ok bool) {
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

// runTime draws how long a request runs that starts now, and warms its object.
func (t *emulated) runTime(a *attempt, r *rand.Rand) time.Duration {
	run := a.request.kind.RunMS * t.speed * t.slow * math.Exp(t.spec.Noise*r.NormFloat64())
	if _, ok := t.warm.Get(a.request.object); ok {
		run *= t.spec.Warm
	}
	t.warm.Add(a.request.object, true)
	return millis(run)
}

// next ends a request and returns the one that gets its slot, or nil.
func (t *emulated) next() *attempt {
	if len(t.queue) == 0 {
		t.running--
		return nil
	}
	a := t.queue[0]
	t.queue = t.queue[1:]
	return a
}

// load is what the target reports with an answer.
func (t *emulated) load() *fleet.Load {
	return &fleet.Load{Running: t.running, Waiting: len(t.queue), Slots: t.spec.Slots, Pace: t.speed * t.slow}
}
