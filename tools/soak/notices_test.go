package soak

import (
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// TestNoticeChecker checks which requests violate what a target has said, each step some time after the host
// passed that on or was refused.
func TestNoticeChecker(t *testing.T) {
	target, err := standin.NewTarget("target-0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	const second = time.Second
	for _, test := range []struct {
		name     string
		kind     Kind
		limit    string
		arrivals []time.Duration
		want     string
	}{
		{"leaving, in time", TargetSaysLeaving, "0", []time.Duration{2900 * time.Millisecond}, ""},
		{"leaving, late", TargetSaysLeaving, "0", []time.Duration{3100 * time.Millisecond}, "target-says-leaving"},
		{"two in a pause", TargetPauses, "0", []time.Duration{2 * second, 2 * second}, ""},
		{"three in a pause", TargetPauses, "0", []time.Duration{2 * second, 2 * second, 2 * second}, "target-pauses"},
		{"three after a pause", TargetPauses, "0", []time.Duration{3 * second, 3 * second, 3 * second}, ""},
		{"five at limit 0", TargetLimits, "0", []time.Duration{5 * second, 5 * second, 5 * second, 5 * second, 5 * second}, ""},
		{"six at limit 0", TargetLimits, "0", []time.Duration{5 * second, 5 * second, 5 * second, 5 * second, 5 * second, 6 * second}, "target-limits"},
		{"six at limit 0 in two windows", TargetLimits, "0", []time.Duration{5 * second, 5 * second, 5 * second, 5 * second, 5 * second, 9 * second}, ""},
		{"six at limit 0 at once", TargetLimits, "0", []time.Duration{3 * second, 3 * second, 3 * second, 3 * second, 3 * second, 3 * second}, ""},
		{"six at limit 1", TargetLimits, "1", []time.Duration{5 * second, 5 * second, 5 * second, 5 * second, 5 * second, 6 * second}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFakeCluster(t, new(fakeHost))
			c.targets = []*standin.Target{target}
			checker := newChecker(c)
			checker.notices.begin("target-0", 0, test.kind, test.limit)
			told := time.Now()
			checker.notices.passedOn("0-0-1", standin.Response{Target: "target-0", Leaving: true, HasLimit: true})
			checker.notices.refused("target-0", "0-0-1", told)
			for _, after := range test.arrivals {
				checker.notices.arrived("target-0", "0-0-2", told.Add(after+50*time.Millisecond))
			}
			expectViolation(t, checker, test.want)
		})
	}
}
