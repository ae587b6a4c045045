package soak

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestRunWaitsForVersionChecks: a check of a new version must have ended before the violations
// are read and the hosts are killed, and must end at once when the run is cancelled.
func TestRunWaitsForVersionChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChecker(new(cluster))
		start := time.Now()
		c.expectVersion(t.Context(), 1)
		c.finish()
		if took := time.Since(start); took != inForceLimit {
			t.Errorf("the run ended %v after the new version, want %v", took, inForceLimit)
		}
		ctx, cancel := context.WithCancel(t.Context())
		c.expectVersion(ctx, 2)
		start = time.Now()
		cancel()
		c.finish()
		if took := time.Since(start); took > 0 {
			t.Errorf("a cancelled run ended after %v", took)
		}
	})
}
