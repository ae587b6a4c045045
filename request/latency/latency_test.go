package latency

import (
	"testing"
	"time"

	"quetzalknot/request"
	"quetzalknot/version/config"
)

var start = time.Unix(1000, 0)

func observe(t *Tracker, info *request.Info, n int, runTime time.Duration, now time.Time) {
	for range n {
		t.Observe(info, runTime, now)
	}
}

func newInfo(expectedMS int) *request.Info {
	return &request.Info{Service: &config.Service{Name: "bokun"}, Class: config.Class{Name: "short", ExpectedMS: expectedMS}}
}

// TestPercentilesOfQuietClassExpire: after a time without observations the old ones must not
// apply, neither alone nor when a new window starts with few observations. A class whose
// requests are refused since they took too long would otherwise stay refused for good.
func TestPercentilesOfQuietClassExpire(t *testing.T) {
	tracker, info := NewTracker(), newInfo(0)
	observe(tracker, info, 2*minSamples, time.Minute, start)
	if _, ok := tracker.Quantile(info, 0.5, start.Add(maxQuietTime-time.Second)); !ok {
		t.Error("no percentile before the quiet time has passed")
	}
	later := start.Add(maxQuietTime)
	if d, ok := tracker.Quantile(info, 0.5, later); ok {
		t.Errorf("median %v from %v ago", d, maxQuietTime)
	}
	if d := tracker.Expected(info, later); d != 0 {
		t.Errorf("expected run time %v from %v ago", d, maxQuietTime)
	}
	observe(tracker, info, minSamples-1, time.Second, later)
	if d, ok := tracker.Quantile(info, 0.5, later); ok {
		t.Errorf("median %v from before the quiet time, with %d new observations", d, minSamples-1)
	}
	observe(tracker, info, 1, time.Second, later)
	if d, _ := tracker.Quantile(info, 0.5, later); d < 900*time.Millisecond || d > 1100*time.Millisecond {
		t.Errorf("median %v, want about 1 s", d)
	}
}

// TestPercentilesUsePreviousWindow: while the current window has few observations, the
// previous one applies, and one before that does not.
func TestPercentilesUsePreviousWindow(t *testing.T) {
	tracker, info := NewTracker(), newInfo(0)
	observe(tracker, info, minSamples, time.Second, start)
	observe(tracker, info, 1, 5*time.Second, start.Add(windowLength))
	if d, ok := tracker.Quantile(info, 0.5, start.Add(windowLength)); !ok || d > 1100*time.Millisecond {
		t.Errorf("median %v, %v, want that of the previous window", d, ok)
	}
	observe(tracker, info, 1, 5*time.Second, start.Add(2*windowLength))
	if d, ok := tracker.Quantile(info, 0.5, start.Add(2*windowLength)); ok {
		t.Errorf("median %v from two windows ago", d)
	}
}

// TestExpectedIsSmallerOfDeclaredAndObserved checks all four combinations.
func TestExpectedIsSmallerOfDeclaredAndObserved(t *testing.T) {
	for _, tc := range []struct {
		declaredMS int
		observed   time.Duration
		want       time.Duration
	}{
		{0, 0, 0}, {300, 0, 300 * time.Millisecond},
		{300, time.Second, 300 * time.Millisecond}, {0, time.Second, time.Second}, {5000, time.Second, time.Second},
	} {
		tracker, info := NewTracker(), newInfo(tc.declaredMS)
		if tc.observed > 0 {
			observe(tracker, info, minSamples, tc.observed, start)
		}
		if d := tracker.Expected(info, start); d < tc.want*95/100 || d > tc.want*105/100 {
			t.Errorf("declared %d ms, observed %v: %v, want %v", tc.declaredMS, tc.observed, d, tc.want)
		}
	}
}
