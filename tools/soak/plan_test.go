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
	for _, kind := range kinds {
		if !seen[kind] {
			t.Errorf("50 seeds do not contain the fault %s", kind)
		}
	}
}
