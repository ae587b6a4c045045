package entry

import (
	"testing"
	"time"
)

// TestRateHoldsPeaks counts a second with many requests, and quiet ones after it.
func TestRateHoldsPeaks(t *testing.T) {
	r := new(rate)
	now := time.Unix(1000, 0)
	r.note(0, now)
	r.note(300, now.Add(time.Second))
	if got := r.perSecond(); got != 300 {
		t.Errorf("%v requests a second, want 300", got)
	}
	for i := range 10 {
		r.note(300, now.Add(time.Duration(i+2)*time.Second))
	}
	if got := r.perSecond(); got < 140 || got > 160 {
		t.Errorf("%v a second after %v, want half of the peak", got, rateHalfLife)
	}
}
