package entry

import (
	"fmt"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// TestRoutesNotDeniedByHostStartedOnCopy: a host that starts on a restored store knows only the copy,
// while its partners have a newer acknowledged state in force.
func TestRoutesNotDeniedByHostStartedOnCopy(t *testing.T) {
	c := newCluster(t, 1, 1)
	older := c.store.Snapshot()
	c.store.PutState(standin.DesiredState(2, coldPerSecond))
	c.requireInForce(2)
	c.store.Restore(older)
	time.Sleep(300 * time.Millisecond)
	h := c.addHost("front-late")
	c.eventually("the host is ready", h.ready)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		confirmed := h.stateConfirmed()
		if v := h.stateVersion(); confirmed && v < 2 {
			t.Fatalf("a host takes version %d for confirmed; the others have version %d in force", v, c.hosts[0].stateVersion())
		}
	}
	c.store.PutState(standin.DesiredState(2, coldPerSecond)) // the operator writes it again
	c.eventually("the state is confirmed", func() bool { return h.stateVersion() == 2 && h.stateConfirmed() })
}

// drainBound is the time after which no request may reach a target that has left.
const drainBound = 2500 * time.Millisecond

// TestTargetThatLeftNotUsedByHostStartedOnCopy: a host that starts on a restored store knows only the copy,
// which has the report of a target that had left; its partners know that it has left.
func TestTargetThatLeftNotUsedByHostStartedOnCopy(t *testing.T) {
	for name, start := range map[string]func(*cluster) *Host{
		"after the partner has read the copy": func(c *cluster) *Host {
			c.eventually("the restore is seen", func() bool { return c.hosts[0].storeEra() == c.store.Era() })
			return c.addHost("front-late")
		},
		"before the partner has read the copy": func(c *cluster) *Host {
			c.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
			h := c.addHost("front-late")
			c.eventually("the host is ready", h.ready)
			c.eventually("the hosts know each other", func() bool { return len(h.group.Alive()) == 2 && len(c.hosts[0].group.Alive()) == 2 })
			c.endpoints[0].SetFaults(standin.StoreFaults{})
			return h
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, 1)
			older := c.store.Snapshot()
			c.store.RemoveTarget("i-1")
			c.eventually("the target is gone", func() bool { return c.hosts[0].fleet.Size() == 1 })
			c.store.Restore(older)
			h := start(c)
			c.eventually("the host is ready", h.ready)
			time.Sleep(drainBound)
			for i, h := range c.hosts {
				if h.fleet.Size() != 1 {
					t.Errorf("host %d uses a target that had left", i)
				}
			}
			c.store.PutTarget("i-1", c.targets[1].Report("bokun", "no-gler", "ready", 1)) // a live target writes again
			for i, h := range c.hosts {
				c.eventually(fmt.Sprintf("host %d has the target that wrote again", i), func() bool { return h.fleet.Size() == 2 })
			}
		})
	}
}

// TestLiveTargetNotLostByHostStartedOnCopy: a target whose report was removed and that writes the same one
// again after the restore is alive, also if the partner that tells of its leaving has not read that yet.
func TestLiveTargetNotLostByHostStartedOnCopy(t *testing.T) {
	c := newCluster(t, 2, 1)
	older := c.store.Snapshot()
	c.store.RemoveTarget("i-1")
	c.eventually("the target is gone", func() bool { return c.hosts[0].fleet.Size() == 1 })
	c.store.Restore(older)
	c.eventually("the restore is seen", func() bool { return c.hosts[0].storeEra() == c.store.Era() })
	c.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	c.store.PutTarget("i-1", c.targets[1].Report("bokun", "no-gler", "ready", 1))
	h := c.addHost("front-late")
	c.eventually("the host has read the live target's report", func() bool { return h.fleet.Size() == 2 })
	acquainted := func() bool { return len(h.group.Alive()) == 2 && len(c.hosts[0].group.Alive()) == 2 }
	for end := time.Now().Add(drainBound); time.Now().Before(end) || !acquainted(); time.Sleep(time.Millisecond) {
		if h.fleet.Size() != 2 {
			t.Fatal("a live target was dropped")
		}
	}
	c.eventually("the partner has the target", func() bool { return c.hosts[0].fleet.Size() == 2 })
}
