package entry

import (
	"io"
	"testing"
	"time"
	"unsafe"
)

// stepClock returns a time as it is read after the clock was stepped forward by whole seconds, or back
// if they are negative: the time of day differs, the steady clock does not.
func stepClock(t *testing.T, at time.Time, seconds int64) time.Time {
	t.Helper()
	const secondsShift = 30 // position of the seconds in the first word of a time with a steady reading
	stepped := at
	*(*uint64)(unsafe.Pointer(&stepped)) += uint64(seconds) << secondsShift
	if stepped.Unix()-at.Unix() != seconds || stepped.Sub(at) != 0 {
		t.Fatalf("the stepped time is %v, of %v", stepped, at)
	}
	return stepped
}

// TestLackOfChangesMeasuredBySteadyClock: a clock that is stepped must neither keep a host that lacks its
// partners' changes from reading the store itself, nor make one that has them read it.
func TestLackOfChangesMeasuredBySteadyClock(t *testing.T) {
	settings, err := Parse([]byte(settingsText(t, "front-0", "127.0.0.1:1", false)))
	if err != nil {
		t.Fatal(err)
	}
	h, now := New(settings, "", io.Discard), time.Now()
	if !h.lacksChanges(now) {
		t.Error("a host that never had its partners' changes does not lack them")
	}
	h.recordFollowed(now)
	for _, tc := range []struct {
		after time.Duration
		step  int64
		lacks bool
	}{{lackLimit / 2, 0, false}, {lackLimit / 2, 3600, false}, {2 * lackLimit, 0, true}, {2 * lackLimit, -3600, true}} {
		if got := h.lacksChanges(stepClock(t, now.Add(tc.after), tc.step)); got != tc.lacks {
			t.Errorf("%v after the last changes, with a clock stepped by %d s: lacks changes for too long: %t", tc.after, tc.step, got)
		}
	}
}
