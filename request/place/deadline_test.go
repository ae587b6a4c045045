package place

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"quetzalknot/process/fleet"
)

// TestRequestsLikelyToMissDeadlineAreRefused: requests that targets cut off at the deadline
// take the slots of those that could be served, so that a deployment short of slots serves
// ever fewer. What is likely to end that way must be refused at once, and nothing else.
func TestRequestsLikelyToMissDeadlineAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name   string
		report *fleet.Load
		// left is the time left as a multiple of the expected time.
		left    float64
		refused bool
	}{
		{"busy, hardly enough time", &fleet.Load{Running: 6, Waiting: 6, Slots: 6, RunFactor: 1}, 1.2, true},
		{"busy, enough time", &fleet.Load{Running: 6, Waiting: 6, Slots: 6, RunFactor: 1}, 2, false},
		{"slow, hardly enough time", &fleet.Load{Running: 1, Slots: 6, RunFactor: 9}, 1.2, true},
		{"slow, enough time", &fleet.Load{Running: 1, Slots: 6, RunFactor: 9}, 2, false},
		{"idle, hardly enough time", &fleet.Load{Running: 1, Slots: 6, RunFactor: 1}, 1.05, false},
		{"idle, not enough time", &fleet.Load{Running: 1, Slots: 6, RunFactor: 1}, 0.9, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			expected := chooseAfterReport(t, tc.report, time.Hour).Expected
			left := time.Duration(tc.left * float64(expected))
			_, err := chooseAmongReported(tc.report, left)
			if refused := errors.Is(err, ErrOverloaded); refused != tc.refused || (err != nil && !refused) {
				t.Errorf("expected time %v, %v left: %v", expected, left, err)
			}
		})
	}
}

func chooseAfterReport(t *testing.T, load *fleet.Load, left time.Duration) Choice {
	t.Helper()
	choice, err := chooseAmongReported(load, left)
	if err != nil {
		t.Fatal(err)
	}
	return choice
}

// chooseAmongReported selects one of three targets that have just reported the same load.
func chooseAmongReported(load *fleet.Load, left time.Duration) (Choice, error) {
	f := newFleet(0, 3, 0)
	c := newChooser(f, 1)
	for i := range 3 {
		reportLoad(f, fmt.Sprint("t", i), load)
	}
	return c.Choose(Request{Route: searchRoute, Service: "bokun", Object: object(1), TimeLeft: left}, start)
}

// reportLoad makes a target report its load with a response that comes as expected.
func reportLoad(f *fleet.Fleet, id string, load *fleet.Load) {
	const run = 200 * time.Millisecond
	f.Lock()
	var target *fleet.Target
	for _, other := range f.Service("bokun") {
		if other.ID == id {
			target = other
		}
	}
	n := f.Begin(target, fleet.Work{RunTime: run, Expected: run}, start)
	f.Unlock()
	f.End(target, n, fleet.Outcome{Latency: run, Load: load}, start)
}
