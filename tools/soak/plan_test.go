package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// TestPlanIsDeterministic checks that two plans of the same seed are equal, so that a
// failed run can be repeated, and that 50 seeds contain every type of fault.
func TestPlanIsDeterministic(t *testing.T) {
	seen := make(map[Kind]bool)
	for seed := range uint64(50) {
		a, b := Plan(seed, 20*time.Second), Plan(seed, 20*time.Second)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("two plans of seed %d differ", seed)
		}
		if len(a) < seriesCount {
			t.Errorf("the plan of seed %d has only %d faults", seed, len(a))
		}
		for _, f := range a {
			seen[f.Kind] = true
		}
	}
	for _, kind := range append(slices.Clone(kinds), noticeKinds...) {
		if !seen[kind] {
			t.Errorf("50 seeds do not contain the fault %s", kind)
		}
	}
}

// TestPlanOverlapsFaults checks that 50 seeds contain the same fault twice within a burst, and
// two restores of the store that overlap.
func TestPlanOverlapsFaults(t *testing.T) {
	const length = 20 * time.Second
	repeated, restoresOverlap := 0, 0
	for seed := range uint64(50) {
		plan := Plan(seed, length)
		for i, a := range plan {
			if a.At+a.Duration > length {
				t.Errorf("seed %d: fault %+v lasts longer than the plan", seed, a)
			}
			for _, b := range plan[i+1:] {
				if a.Kind == b.Kind && a.Victim == b.Victim && b.At-a.At < burstRange {
					repeated++
				}
				if a.Kind == StoreRestored && b.Kind == StoreRestored && b.At < a.At+a.Duration {
					restoresOverlap++
				}
			}
		}
	}
	if repeated == 0 || restoresOverlap == 0 {
		t.Errorf("%d faults are repeated within %v, and %d restores overlap", repeated, burstRange, restoresOverlap)
	}
}

// TestPipelinedCallers checks that the choice of the callers that send requests ahead is that
// of the seed, and that each seed has some of both kinds among 20 callers.
func TestPipelinedCallers(t *testing.T) {
	for seed := range uint64(50) {
		ahead := 0
		for i := range 20 {
			first := isPipelined(seed, i/4, i%4)
			if again := isPipelined(seed, i/4, i%4); again != first {
				t.Errorf("two choices of seed %d differ", seed)
			}
			if first {
				ahead++
			}
		}
		if ahead == 0 || ahead == 20 {
			t.Errorf("seed %d: %d of 20 callers send ahead", seed, ahead)
		}
	}
}
