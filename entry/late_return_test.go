package entry

import (
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// awayWithRemoval makes the store refuse all calls until each host knows it, and removes a target's report
// meanwhile.
func (c *cluster) awayWithRemoval(id string) {
	c.t.Helper()
	for _, e := range c.endpoints {
		e.SetFaults(standin.StoreFaults{Refuse: 503})
	}
	for _, h := range c.hosts {
		c.eventually("the store is unavailable", func() bool { return !h.storeStatus.ok() })
	}
	c.store.RemoveTarget(id)
}

// TestHoldNotProlongedByOwnLateAnswer guards against requests to a target that had left, at a host
// whose own calls succeed long after a partner has read the targets' reports again.
func TestHoldNotProlongedByOwnLateAnswer(t *testing.T) {
	c := newCluster(t, 2, 2)
	late := c.hosts[1]
	c.awayWithRemoval("i-1")
	c.endpoints[0].SetFaults(standin.StoreFaults{})
	returned := time.Now()
	c.eventually("the target is held", func() bool { return late.fleet.Count("missing", time.Now()) == 1 })
	c.endpoints[1].SetFaults(standin.StoreFaults{})
	c.eventually("the late host reads the store", func() bool {
		unread, _ := late.outage.heldReports(time.Now())
		return !unread
	})
	c.eventually("the target is dropped", func() bool { return late.fleet.Size() == 1 })
	if took := time.Since(returned); took > changeBound {
		t.Errorf("a target that had left got requests until %v after the store's return; at most %v are allowed", took, changeBound)
	}
}

// TestRemovalAfterOwnLateAnswerIsNotHeld guards against a hold that counts from this host's own late
// notice of the store's return, when a partner has read the reports for longer than the hold.
func TestRemovalAfterOwnLateAnswerIsNotHeld(t *testing.T) {
	c := newCluster(t, 2, 2)
	late := c.hosts[1]
	c.awayWithRemoval("i-0")
	c.endpoints[0].SetFaults(standin.StoreFaults{})
	c.eventually("a partner reads the store", c.hosts[0].storeStatus.ok)
	time.Sleep(missingReportHold)
	c.endpoints[1].SetFaults(standin.StoreFaults{})
	c.eventually("the late host reads the store", late.storeStatus.ok)
	noticed := time.Now()
	c.eventually("all reports must be back", func() bool { return !late.reportsMayBeMissing(time.Now()) })
	if took := time.Since(noticed); took > missingReportHold/2 {
		t.Errorf("reports count as missing for %v after the late host's notice, which came after the end of the hold", took)
	}
}
