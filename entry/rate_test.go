package entry

import (
	"testing"
	"time"
)

// TestPeakRateDecays checks that the rate of a busy second decays with peakHalfLife during
// the idle seconds after it.
func TestPeakRateDecays(t *testing.T) {
	r := new(peakRate)
	now := time.Unix(1000, 0)
	r.update(0, now)
	r.update(300, now.Add(time.Second))
	if got := r.perSecond(); got != 300 {
		t.Errorf("%v requests a second, want 300", got)
	}
	for i := range 10 {
		r.update(300, now.Add(time.Duration(i+2)*time.Second))
	}
	if got := r.perSecond(); got < 140 || got > 160 {
		t.Errorf("%v a second after %v, want half of the peak", got, peakHalfLife)
	}
}
