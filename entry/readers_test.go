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
	s := newCluster(t, 2, hosts)
	s.eventually("the hosts know each other", func() bool { return len(s.hosts[0].group.Alive()) == hosts })
	for version := 2; version < 4; version++ {
		s.store.PutState(standin.DesiredState(version, coldPerSecond))
		// Together with the new state, this change ends the pending calls for both tables.
		s.store.PutTarget("i-0", s.targets[0].Report("bokun", "no-gler", "ready", version))
		s.eventually("all have the version", func() bool { return s.allHaveVersion(version) })
	}
	s.eventually("few hosts read", func() bool { return len(s.readers()) == readers })
	before := s.storeCalls()
	time.Sleep(2 * feedPause)
	s.store.PutState(standin.DesiredState(4, coldPerSecond))
	s.eventually("all have the version", func() bool { return s.allHaveVersion(4) })
	for i, calls := range s.storeCalls() {
		if !s.hosts[i].group.Reads() && calls > before[i] {
			t.Errorf("host %d called the store %d times although other hosts read it", i, calls-before[i])
		}
	}
	for _, i := range s.readers() {
		s.endpoints[i].SetFaults(standin.StoreFaults{Refuse: 503})
	}
	s.eventually("the others read", func() bool { return len(s.readers()) >= hosts-readers })
	s.store.PutState(standin.DesiredState(5, coldPerSecond))
	s.eventually("all have the version", func() bool { return s.allHaveVersion(5) })
}

// readers returns the indexes of the hosts whose last call to the store succeeded.
func (s *cluster) readers() []int {
	var indexes []int
	for i, h := range s.hosts {
		if h.storeStatus.ok() {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func (s *cluster) storeCalls() []int {
	calls := make([]int, len(s.endpoints))
	for i, e := range s.endpoints {
		calls[i] = e.Calls()
	}
	return calls
}

func (s *cluster) allHaveVersion(version int) bool {
	for _, h := range s.hosts {
		if c := h.config.Load(); c == nil || c.Version != uint64(version) {
			return false
		}
	}
	return true
}

// TestStoreIsKnownToBeBackBeforeAChange checks that a host detects the recovery of the
// store soon, although nothing changes there.
func TestStoreIsKnownToBeBackBeforeAChange(t *testing.T) {
	s := newCluster(t, 1, 1)
	h := s.hosts[0]
	s.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	s.store.PutState(standin.DesiredState(2, coldPerSecond))
	s.store.PutTarget("i-0", s.targets[0].Report("bokun", "no-gler", "ready", 2))
	s.eventually("the store is unavailable", func() bool { return !h.storeStatus.ok() })
	s.endpoints[0].SetFaults(standin.StoreFaults{})
	s.eventually("all have the version", func() bool { return s.allHaveVersion(2) })
	s.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	s.endpoints[0].Drop()
	s.eventually("the store is unavailable again", func() bool { return !h.storeStatus.ok() })
	s.endpoints[0].SetFaults(standin.StoreFaults{})
	s.eventually("the store is available again", h.storeStatus.ok)
}

// TestTroubleOfAPartnerIsNoTroubleOfAReader checks that a host which reads the store itself
// trusts removed target reports although the store fails its partner.
func TestTroubleOfAPartnerIsNoTroubleOfAReader(t *testing.T) {
	s := newCluster(t, 2, 2)
	s.eventually("the hosts know each other", func() bool {
		return len(s.hosts[0].group.Alive()) == 2 && len(s.hosts[1].group.Alive()) == 2
	})
	s.endpoints[1].SetFaults(standin.StoreFaults{Refuse: 503})
	s.endpoints[1].Drop()
	s.eventually("the partner reports a store failure", func() bool { return s.hosts[0].group.Troubled(time.Now()) })
	if s.hosts[0].reportsMayBeMissing(time.Now()) {
		t.Error("a reader distrusts removals because the store failed its partner")
	}
}
