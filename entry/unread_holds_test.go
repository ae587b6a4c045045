package entry

import (
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
)

// TestHeldEvacuationNotEndedWhileStoreUnread guards against the end of an evacuation that a restored
// store lacks, when the store could not be read since and the operator writes it again meanwhile.
func TestHeldEvacuationNotEndedWhileStoreUnread(t *testing.T) {
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	older := c.store.Snapshot()
	c.store.Evacuate("no-gler")
	c.eventually("the evacuation is in force", func() bool { return h.fleet.Evacuated("no-gler") })
	c.store.Restore(older)
	c.eventually("the restore is seen", func() bool { return h.mirror.Position(adapter.OperatorTable).Era == 2 })
	c.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	c.store.Evacuate("no-gler") // the operator writes it again
	time.Sleep(2 * missingReportHold)
	if !h.fleet.Evacuated("no-gler") {
		t.Error("the evacuation ended although the store could not be read since the restore")
	}
	c.endpoints[0].SetFaults(standin.StoreFaults{})
	c.eventually("the host is up to date", h.upToDate)
	time.Sleep(missingReportHold)
	if !h.fleet.Evacuated("no-gler") {
		t.Error("the evacuation ended after it was written again")
	}
}

// TestHeldTargetNotDroppedWhileStoreUnread guards against the loss of a live target whose report is
// missing, when the store could not be read since and the target writes it again meanwhile.
func TestHeldTargetNotDroppedWhileStoreUnread(t *testing.T) {
	c := newCluster(t, 2, 1)
	h := c.hosts[0]
	c.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	c.eventually("the store is unavailable", func() bool { return !h.storeStatus.ok() })
	c.store.RemoveTarget("i-1")
	c.endpoints[0].SetFaults(standin.StoreFaults{})
	c.eventually("the target is held", func() bool { return h.fleet.Count("missing", time.Now()) == 1 })
	c.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	c.store.PutTarget("i-1", c.targets[1].Report("bokun", "no-gler", "ready", 2))
	time.Sleep(2 * missingReportHold)
	if h.fleet.Size() != 2 {
		t.Error("a live target was dropped although the store could not be read since")
	}
	c.endpoints[0].SetFaults(standin.StoreFaults{})
	c.eventually("the target has its report", func() bool { return h.fleet.Count("ready", time.Now()) == 2 })
}

// TestHeldTargetNotDroppedWithoutChangesOfPartner guards against the loss of a live target whose report is
// missing, at a host that can read neither the store nor the changes of the partners that do.
func TestHeldTargetNotDroppedWithoutChangesOfPartner(t *testing.T) {
	c := newCluster(t, 2, 1)
	h := c.hosts[0]
	c.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	c.eventually("the store is unavailable", func() bool { return !h.storeStatus.ok() })
	c.store.RemoveTarget("i-1")
	c.endpoints[0].SetFaults(standin.StoreFaults{})
	c.eventually("the target is held", func() bool { return h.fleet.Count("missing", time.Now()) == 1 })
	c.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	const ahead = 1 << 40
	c.pretendReaders(h, ahead, time.Millisecond)
	c.store.PutTarget("i-1", c.targets[1].Report("bokun", "no-gler", "ready", 2))
	time.Sleep(2 * missingReportHold)
	if h.fleet.Size() != 2 {
		t.Error("a live target was dropped although its new report could not be read")
	}
}
