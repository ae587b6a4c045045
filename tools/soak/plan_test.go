package soak

import (
	"reflect"
	"testing"
	"time"
)

// TestSeedGivesTheSameFaults draws a plan twice.
func TestSeedGivesTheSameFaults(t *testing.T) {
	seen := make(map[Kind]bool)
	for seed := range uint64(50) {
		a, b := Plan(seed, 20*time.Second), Plan(seed, 20*time.Second)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("seed %d gives two plans", seed)
		}
		if len(a) < seriesCount {
			t.Errorf("seed %d gives %d faults", seed, len(a))
		}
		for _, f := range a {
			seen[f.Kind] = true
		}
	}
	if len(seen) != len(kinds) {
		t.Errorf("50 seeds draw %d of %d kinds", len(seen), len(kinds))
	}
}
