package soak

import (
	"testing"
	"time"
)

// TestStoppedCallersHaveEnded: the callers and the checks of the state in force must have ended
// before the violations are read and the hosts are killed, and must end at once.
func TestStoppedCallersHaveEnded(t *testing.T) {
	in := newInjector(newFakeCluster(t, new(fakeHost)))
	in.checker = newChecker(in.cluster)
	stop := in.startCallers(t.Context(), Options{Seed: 1, Callers: 3})
	time.Sleep(3 * versionPause)
	start := time.Now()
	stop()
	if took := time.Since(start); took > requestTimeout {
		t.Errorf("the callers ended after %v", took)
	}
	sent := in.checker.sent.Load()
	time.Sleep(3 * versionPause)
	if now := in.checker.sent.Load(); now != sent || sent == 0 {
		t.Errorf("%d requests were sent before the end, %d after it", sent, now-sent)
	}
}
