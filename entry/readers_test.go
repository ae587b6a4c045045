package entry

import (
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// TestFewHostsReadTheStore starts six hosts in one region. Three of them keep reading the
// store, and all six must follow its changes. When the store refuses the calls of the three
// readers, the others must read it themselves.
func TestFewHostsReadTheStore(t *testing.T) {
	const hosts, readers = 6, 3
	c := newCluster(t, 2, hosts)
	c.eventually("the hosts have discovered each other", func() bool { return len(c.hosts[0].group.Alive()) == hosts })
	for version := 2; version < 4; version++ {
		c.store.PutState(standin.DesiredState(version, coldPerSecond))
		// Together with the new state, this change ends the pending calls for both tables.
		c.store.PutTarget("i-0", c.targets[0].Report("bokun", "no-gler", "ready", version))
		c.eventually("all have the version", func() bool { return c.allHaveVersion(version) })
	}
	c.eventually("only three hosts read the store", func() bool { return len(c.readers()) == readers })
	before := c.storeCalls()
	time.Sleep(2 * feedPause)
	c.store.PutState(standin.DesiredState(4, coldPerSecond))
	c.eventually("all have the version", func() bool { return c.allHaveVersion(4) })
	for i, calls := range c.storeCalls() {
		if !c.hosts[i].group.IsStoreReader() && calls > before[i] {
			t.Errorf("host %d called the store %d times although other hosts read it", i, calls-before[i])
		}
	}
	for _, i := range c.readers() {
		c.endpoints[i].SetFaults(standin.StoreFaults{Refuse: 503})
	}
	c.eventually("the other hosts read the store", func() bool { return len(c.readers()) >= hosts-readers })
	c.store.PutState(standin.DesiredState(5, coldPerSecond))
	c.eventually("all have the version", func() bool { return c.allHaveVersion(5) })
}

// readers returns the indexes of the hosts whose last call to the store succeeded.
func (c *cluster) readers() []int {
	var indexes []int
	for i, h := range c.hosts {
		if h.storeStatus.ok() {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func (c *cluster) storeCalls() []int {
	calls := make([]int, len(c.endpoints))
	for i, e := range c.endpoints {
		calls[i] = e.Calls()
	}
	return calls
}

func (c *cluster) allHaveVersion(version int) bool {
	for _, h := range c.hosts {
		if c := h.config.Load(); c == nil || c.Version != uint64(version) {
			return false
		}
	}
	return true
}

// TestStoreRecoveryDetectedWithoutChange checks that a host detects the recovery of the
// store soon, although nothing changes there.
func TestStoreRecoveryDetectedWithoutChange(t *testing.T) {
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	c.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	c.store.PutState(standin.DesiredState(2, coldPerSecond))
	c.store.PutTarget("i-0", c.targets[0].Report("bokun", "no-gler", "ready", 2))
	c.eventually("the store is unavailable", func() bool { return !h.storeStatus.ok() })
	c.endpoints[0].SetFaults(standin.StoreFaults{})
	c.eventually("all have the version", func() bool { return c.allHaveVersion(2) })
	c.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	c.endpoints[0].CloseConnections()
	c.eventually("the store is unavailable again", func() bool { return !h.storeStatus.ok() })
	c.endpoints[0].SetFaults(standin.StoreFaults{})
	c.eventually("the store is available again", h.storeStatus.ok)
}

// TestReaderIgnoresStoreFailureOfPartner checks that a host which reads the store itself
// drops targets whose reports are removed at once, even though its partner's calls to the
// store fail.
func TestReaderIgnoresStoreFailureOfPartner(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.eventually("the hosts have discovered each other", func() bool {
		return len(c.hosts[0].group.Alive()) == 2 && len(c.hosts[1].group.Alive()) == 2
	})
	c.endpoints[1].SetFaults(standin.StoreFaults{Refuse: 503})
	c.endpoints[1].CloseConnections()
	c.eventually("the partner reports a store failure", func() bool { return c.hosts[0].group.StoreFailing(time.Now()) })
	if c.hosts[0].reportsMayBeMissing(time.Now()) {
		t.Error("a reader holds targets without reports because its partner's calls to the store failed")
	}
}
