package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEveryWindowKeepsItsBound counts requests and takes extra attempts at random
// times, and checks each sliding window that ends at an extra attempt. Other windows need
// no check: one that ends between two extra attempts contains no more of them.
func TestEveryWindowKeepsItsBound(t *testing.T) {
	const length, ratio, fixed = 10 * time.Second, 0.2, 3.0
	rapid.Check(t, func(t *rapid.T) {
		w := NewSlidingWindows(length, ratio, fixed)
		now := time.Unix(1000, 0)
		var requests, extra []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "earn") {
				w.AddRequest("bokun", now)
				requests = append(requests, now)
				continue
			}
			if !w.Take("bokun", now) {
				continue
			}
			extra = append(extra, now)
			// The buckets cover up to one bucket more than the window.
			in := countAfter(extra, now.Add(-length))
			allowed := ratio*float64(countAfter(requests, now.Add(-length-length/windowBuckets))) + fixed
			if float64(in) > allowed+1e-9 {
				t.Fatalf("%d extra attempts in a window that allows %v", in, allowed)
			}
		}
	})
}

func countAfter(times []time.Time, after time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) {
			n++
		}
	}
	return n
}

// TestOnChangeReportsExhaustionAndRecovery checks that OnChange is called when a budget is
// used up, and again when the window has passed.
func TestOnChangeReportsExhaustionAndRecovery(t *testing.T) {
	w := NewSlidingWindows(10*time.Second, 0, 2)
	var changes []bool
	w.OnChange = func(c Change) { changes = append(changes, c.UsedUp) }
	now := time.Unix(1000, 0)
	for range 5 {
		w.Take("bokun", now)
	}
	w.Take("bokun", now.Add(11*time.Second))
	if len(changes) != 2 || !changes[0] || changes[1] {
		t.Errorf("changes = %v, want used up and then available", changes)
	}
}
