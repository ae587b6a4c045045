package entry

import (
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// requireInForce fails the test unless all hosts have a version of the desired state within
// changeBound.
func (c *cluster) requireInForce(version int) {
	c.t.Helper()
	acknowledged := time.Now()
	c.eventually("all have the version", func() bool { return c.allHaveVersion(version) })
	if took := time.Since(acknowledged); took > changeBound {
		c.t.Errorf("version %d was in force after %v; at most %v are allowed", version, took, changeBound)
	}
}

// writeReports makes a target write its report a number of times.
func (c *cluster) writeReports(n int) {
	for range n {
		c.sequence++
		c.store.PutTarget("i-0", c.targets[0].Report("bokun", "no-gler", "ready", c.sequence))
	}
}

// TestStateInForceAfterStoreRestored guards against a store that comes back from an older copy
// and gives out again the numbers that the hosts know.
func TestStateInForceAfterStoreRestored(t *testing.T) {
	c := newCluster(t, 2, 3)
	older := c.store.Snapshot()
	c.writeReports(3)
	c.store.PutState(standin.DesiredState(2, coldPerSecond))
	c.requireInForce(2)
	c.store.Restore(older)
	time.Sleep(changeBound)
	if !c.allHaveVersion(2) {
		t.Error("a host went back to the state of the copy")
	}
	c.store.PutState(standin.DesiredState(2, coldPerSecond)) // the operator writes it again
	c.store.PutState(standin.DesiredState(3, coldPerSecond))
	c.requireInForce(3)
}

// TestOldNumberNotContinuedAfterRestore guards against a call for changes after a number that the
// restored store has given out again meanwhile.
func TestOldNumberNotContinuedAfterRestore(t *testing.T) {
	c := newCluster(t, 2, 1)
	older := c.store.Snapshot()
	c.writeReports(3)
	c.store.PutState(standin.DesiredState(2, coldPerSecond))
	c.requireInForce(2)
	c.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	c.store.Restore(older)
	c.store.PutState(standin.DesiredState(3, coldPerSecond))
	c.writeReports(6)
	c.endpoints[0].SetFaults(standin.StoreFaults{})
	c.requireInForce(3)
}

// TestHostRowWrittenAgainAfterRestore guards against a host whose row was lost with the changes
// after the copy.
func TestHostRowWrittenAgainAfterRestore(t *testing.T) {
	c := newCluster(t, 1, 1)
	older := c.store.Snapshot()
	c.addHost("front-late")
	c.eventually("the host has its row", func() bool { return c.store.HasHost("front-late") })
	c.store.Restore(older)
	c.eventually("the row is back", func() bool { return c.store.HasHost("front-late") })
}

// TestEvacuationLostWithCopyIsHeld guards against the end of an evacuation that the operator has
// not ended: the copy lacks it until the operator writes it again.
func TestEvacuationLostWithCopyIsHeld(t *testing.T) {
	c := newCluster(t, 1, 1)
	older := c.store.Snapshot()
	c.store.Evacuate("no-gler")
	c.eventually("the evacuation is in force", func() bool { return c.hosts[0].fleet.Evacuated("no-gler") })
	c.store.Restore(older)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if !c.hosts[0].fleet.Evacuated("no-gler") {
			t.Fatal("the evacuation ended although the operator has not ended it")
		}
	}
	c.store.Evacuate("no-gler")
	time.Sleep(2 * missingReportHold)
	if !c.hosts[0].fleet.Evacuated("no-gler") {
		t.Error("the evacuation ended after it was written again")
	}
	c.store.Remove("op", "evacuate/no-gler")
	c.eventually("the evacuation has ended", func() bool { return !c.hosts[0].fleet.Evacuated("no-gler") })
}

// TestGoneTargetDoesNotReturnWithCopy guards against requests to a target that had left and whose
// old report is in the copy.
func TestGoneTargetDoesNotReturnWithCopy(t *testing.T) {
	c := newCluster(t, 2, 1)
	older := c.store.Snapshot()
	c.store.PutTarget("i-1", c.targets[1].Report("bokun", "no-gler", "draining", 2))
	c.store.RemoveTarget("i-1")
	c.eventually("the target is gone", func() bool { return c.hosts[0].fleet.Size() == 1 })
	c.store.Restore(older)
	for end := time.Now().Add(changeBound); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c.hosts[0].fleet.Size() != 1 {
			t.Fatal("a target that had left is back with the report of the copy")
		}
	}
	c.store.PutTarget("i-1", c.targets[1].Report("bokun", "no-gler", "ready", 3))
	c.eventually("the target is back with a newer report", func() bool { return c.hosts[0].fleet.Size() == 2 })
}

// TestTargetMissingInCopyIsHeld guards against the loss of targets that joined after the copy,
// which write their reports again.
func TestTargetMissingInCopyIsHeld(t *testing.T) {
	c := newCluster(t, 1, 1)
	older := c.store.Snapshot()
	c.addTarget("i-late")
	c.eventually("the target is known", func() bool { return c.hosts[0].fleet.Size() == 2 })
	c.store.Restore(older)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c.hosts[0].fleet.Size() != 2 {
			t.Fatal("a live target was dropped because the copy lacks its report")
		}
	}
	c.eventually("a target that does not write again is dropped", func() bool { return c.hosts[0].fleet.Size() == 1 })
}
