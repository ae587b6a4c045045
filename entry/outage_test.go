package entry

import (
	"testing"
	"time"

	"quetzalknot/platform/adapter"
)

// TestHoldNotProlongedByCallLostInEndedOutage guards against an outage that lasts on, or begins
// again, since calls that were sent in it fail only after it.
func TestHoldNotProlongedByCallLostInEndedOutage(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	o := newOutage()
	o.recordAnswer(adapter.TargetTable, at(0), at(1))
	o.recordFailure(adapter.TargetTable, at(0.5), true)
	if !o.recordAnswer(adapter.TargetTable, at(2), at(2)) {
		t.Error("the store has not returned with the answer to a later call")
	}
	o.recordFailure(adapter.TargetTable, at(1.9), true)
	if away, _ := o.isAway(); away {
		t.Error("the store is away since a call failed that was sent before one that was answered")
	}
	if got := o.reportHold(at(3)); got != missingReportHold-time.Second {
		t.Errorf("reports may be missing for %v more one second after the return", got)
	}
	if got := o.reportHold(at(5)); got != 0 {
		t.Errorf("reports may be missing for %v more three seconds after the return", got)
	}
}

// TestOutageNotEndedByAnswerToEarlierCall guards against a store that counts as back since it
// answers a call that it received before it became silent.
func TestOutageNotEndedByAnswerToEarlierCall(t *testing.T) {
	start := time.Now()
	o := newOutage()
	o.recordFailure(adapter.TargetTable, start.Add(time.Second), true)
	if o.recordAnswer(adapter.TargetTable, start, start.Add(3*time.Second)) {
		t.Error("the store has returned with the answer to a call from before the outage")
	}
	if got := o.reportHold(start.Add(time.Hour)); got != missingReportHold {
		t.Errorf("reports may be missing for %v while the store is away, want %v", got, missingReportHold)
	}
}

// TestOutageOfOneTableEndsWithItsAnswer guards against an outage that lasts until the next call for
// the targets' reports, though only a call for another table failed and that table is read again.
func TestOutageOfOneTableEndsWithItsAnswer(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	o := newOutage()
	o.recordAnswer(adapter.TargetTable, at(0), at(1))
	o.recordFailure(adapter.OperatorTable, at(2), false)
	o.recordAnswer(adapter.OperatorTable, at(3), at(3))
	if got := o.reportHold(at(4)); got != missingReportHold-time.Second {
		t.Errorf("reports may be missing for %v more one second after the return", got)
	}
}
