package soak

import (
	"reflect"
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
	if len(seen) != len(kinds) {
		t.Errorf("50 seeds contain %d of %d types of faults", len(seen), len(kinds))
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
