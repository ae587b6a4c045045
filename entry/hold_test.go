package entry

import (
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
	"quetzalknot/process/mirror"
)

// reportsMayBeMissing reports whether a target whose report is removed now would be held.
func (h *Host) reportsMayBeMissing(now time.Time) bool { return h.reportHold(now) > 0 }

// removal returns the removal of a target's report at the next revision that the host knows of.
func removal(h *Host, id string) mirror.Delta {
	position := h.mirror.Position(adapter.TargetTable)
	position.Revision++
	records := []mirror.Record{{Key: id, Revision: position.Revision, Removed: true}}
	return mirror.Delta{Table: adapter.TargetTable, Records: records, Era: position.Era, UpTo: position.Revision}
}

// TestTargetNotHeldOnceStoreIsBackForTheHold guards against requests to a target whose report is
// removed when all missing reports must have been written again after the store's return.
func TestTargetNotHeldOnceStoreIsBackForTheHold(t *testing.T) {
	c := newCluster(t, 2, 1)
	h := c.hosts[0]
	c.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	c.eventually("the store is unavailable", func() bool { return !h.storeStatus.ok() })
	c.endpoints[0].SetFaults(standin.StoreFaults{})
	c.eventually("the store is available again", h.storeStatus.ok)
	time.Sleep(missingReportHold)
	h.apply(removal(h, "i-1"))
	if h.fleet.Size() != 1 {
		t.Errorf("a target that left %v after the store's return is held", missingReportHold)
	}
}

// TestTargetHeldAfterStoreReturns checks that a live target whose report is missing when the store
// returns is kept until it must have written it again.
func TestTargetHeldAfterStoreReturns(t *testing.T) {
	c := newCluster(t, 2, 1)
	h := c.hosts[0]
	c.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	c.eventually("the store is unavailable", func() bool { return !h.storeStatus.ok() })
	c.store.RemoveTarget("i-1")
	c.endpoints[0].SetFaults(standin.StoreFaults{})
	for end := time.Now().Add(missingReportHold); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if h.fleet.Size() != 2 {
			t.Fatal("a live target was dropped before it could write its report again")
		}
	}
	c.eventually("a target that does not write again is dropped", func() bool { return h.fleet.Size() == 1 })
}

// TestTargetThatLeftInSilenceGetsNoRequests guards against a hold that counts from a late notice of
// the store's return: the report was removed while the store left calls unanswered.
func TestTargetThatLeftInSilenceGetsNoRequests(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.awaitUnansweredCalls(2, adapter.OperatorTable, adapter.TargetTable)
	c.eventually("the silence is noticed", func() bool { return !c.hosts[0].storeStatus.ok() && !c.hosts[1].storeStatus.ok() })
	time.Sleep(time.Second) // each host has called again, and waits
	c.store.RemoveTarget("i-1")
	c.silence()
	returned := time.Now()
	c.eventually("the target is dropped", func() bool { return c.hosts[0].fleet.Size() == 1 && c.hosts[1].fleet.Size() == 1 })
	if took := time.Since(returned); took > changeBound {
		t.Errorf("a target that had left got requests until %v after the store's return; at most %v are allowed", took, changeBound)
	}
}
