package serve

import (
	"testing"
	"time"
)

// TestTimeLeftInStop: the time that a request may take must be bounded by its deadline and, in a stop, by the end
// of it; late in the stop by half of what is left.
func TestTimeLeftInStop(t *testing.T) {
	start := time.Unix(1000, 0)
	w := &stopWindow{start: start, end: start.Add(6 * time.Second)}
	for _, tc := range []struct {
		window             *stopWindow
		at, deadline, want time.Duration
	}{
		{nil, time.Second, 9 * time.Second, 8 * time.Second},
		{w, time.Second, 9 * time.Second, 5 * time.Second},
		{w, time.Second, 2 * time.Second, time.Second},
		{w, 3 * time.Second, 9 * time.Second, 3 * time.Second},
		{w, 4 * time.Second, 9 * time.Second, time.Second},
		{w, 4 * time.Second, 4500 * time.Millisecond, 500 * time.Millisecond},
		{w, 6 * time.Second, 9 * time.Second, 0},
	} {
		left, mustFit := tc.window.timeLeft(start.Add(tc.deadline), start.Add(tc.at))
		if left != tc.want || mustFit != (tc.window != nil) {
			t.Errorf("%v after the start, deadline at %v: %v left, must fit: %v; want %v", tc.at, tc.deadline, left, mustFit, tc.want)
		}
	}
}
