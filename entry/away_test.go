package entry

import (
	"io"
	"testing"
	"time"

	"quetzalknot/platform/adapter"
)

// TestOutageMeasuredBySteadyClock: the begin of an outage must be known by the steady clock, so that a
// clock that is stepped changes nothing about which answers of partners came after it.
func TestOutageMeasuredBySteadyClock(t *testing.T) {
	settings, err := Parse([]byte(settingsText(t, "front-0", "127.0.0.1:1", false)))
	if err != nil {
		t.Fatal(err)
	}
	h := New(settings, "", io.Discard)
	before := time.Now()
	h.recordOutcome(adapter.TargetTable, before, io.ErrUnexpectedEOF)
	after := time.Now()
	for _, step := range []int64{0, 3600, -3600} {
		begins, ends := stepClock(t, before, step), stepClock(t, after, step)
		if since := h.awayBegan(); since.Before(begins) || since.After(ends) {
			t.Errorf("with a clock stepped by %d s: the outage began at %v, not from %v to %v", step, since, begins, ends)
		}
	}
}
