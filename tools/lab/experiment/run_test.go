package experiment

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/tools/lab/cluster"
)

var testFaults = []Fault{
	{Fault: cluster.Fault{Kind: cluster.FaultSlow}, AtSeconds: 1, UntilSeconds: 3},
	{Fault: cluster.Fault{Kind: cluster.FaultCrash}, AtSeconds: 2},
}

// TestFailedFaultFailsSegment: a fault that can't be started or ended must fail the segment,
// whose figures would otherwise be those of a run without it.
func TestFailedFaultFailsSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failure := errors.New("target is gone")
		for failing := range 3 {
			applied := 0
			wait := applyFaults(t.Context(), func(context.Context, cluster.Fault, bool) error {
				applied++
				if applied == failing+1 {
					return failure
				}
				return nil
			}, testFaults)
			if err := wait(); !errors.Is(err, failure) {
				t.Errorf("step %d fails: %v", failing, err)
			}
		}
	})
}

// TestFaultsAreAppliedAtTheirTimes checks order and times of the steps, and that a cancelled
// segment ends without an error.
func TestFaultsAreAppliedAtTheirTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var applied []string
		record := func(_ context.Context, f cluster.Fault, on bool) error {
			applied = append(applied, fmt.Sprint(f.Kind, " ", on, " ", time.Since(start)))
			return nil
		}
		if err := applyFaults(t.Context(), record, testFaults)(); err != nil {
			t.Error(err)
		}
		if want := []string{"slow true 1s", "crash true 2s", "slow false 3s"}; !slices.Equal(applied, want) {
			t.Errorf("steps %q, want %q", applied, want)
		}
		ctx, cancel := context.WithCancel(t.Context())
		wait := applyFaults(ctx, func(ctx context.Context, _ cluster.Fault, _ bool) error {
			<-ctx.Done()
			return ctx.Err()
		}, testFaults)
		time.Sleep(1500 * time.Millisecond)
		cancel()
		if err := wait(); err != nil {
			t.Errorf("a cancelled segment: %v", err)
		}
	})
}
