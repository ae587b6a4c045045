package entry

import (
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// TestFewHostsReadTheStore starts six hosts of a region: three go on to ask the store,
// all follow its changes, and when the three lose it the others ask it themselves.
func TestFewHostsReadTheStore(t *testing.T) {
	const hosts, readers = 6, 3
	s := newSite(t, 2, hosts)
	s.eventually("the hosts know each other", func() bool { return len(s.hosts[0].group.Alive()) == hosts })
	for version := 2; version < 4; version++ {
		s.store.PutState(standin.DesiredState(version, coldPerSecond))
		// The change ends the calls that wait for changes of both tables.
		s.store.PutTarget("i-0", s.targets[0].Report("bokun", "no-gler", "ready", version))
		s.eventually("all have the version", func() bool { return s.allHave(version) })
	}
	s.eventually("few hosts read", func() bool { return len(s.reading()) == readers })
	before := s.calls()
	time.Sleep(2 * feedPause)
	s.store.PutState(standin.DesiredState(4, coldPerSecond))
	s.eventually("all have the version", func() bool { return s.allHave(4) })
	for i, calls := range s.calls() {
		if !s.hosts[i].group.Reads() && calls > before[i] {
			t.Errorf("host %d asked the store %d times, though others read it", i, calls-before[i])
		}
	}
	for _, i := range s.reading() {
		s.doors[i].SetFaults(standin.StoreFaults{Refuse: 503})
	}
	s.eventually("the others read", func() bool { return len(s.reading()) >= hosts-readers })
	s.store.PutState(standin.DesiredState(5, coldPerSecond))
	s.eventually("all have the version", func() bool { return s.allHave(5) })
}

// reading returns the hosts whose last call to the store was answered.
func (s *site) reading() []int {
	var reading []int
	for i, h := range s.hosts {
		if h.link.ok() {
			reading = append(reading, i)
		}
	}
	return reading
}

func (s *site) calls() []int {
	calls := make([]int, len(s.doors))
	for i, d := range s.doors {
		calls[i] = d.Calls()
	}
	return calls
}

func (s *site) allHave(version int) bool {
	for _, h := range s.hosts {
		if c := h.config.Load(); c == nil || c.Version != uint64(version) {
			return false
		}
	}
	return true
}

// TestStoreIsKnownToBeBackBeforeAChange: a host that lost the store trusts its beliefs
// again soon after the store is back, though nothing changes there.
func TestStoreIsKnownToBeBackBeforeAChange(t *testing.T) {
	s := newSite(t, 1, 1)
	h := s.hosts[0]
	s.doors[0].SetFaults(standin.StoreFaults{Refuse: 503})
	s.store.PutState(standin.DesiredState(2, coldPerSecond))
	s.store.PutTarget("i-0", s.targets[0].Report("bokun", "no-gler", "ready", 2))
	s.eventually("the store is lost", func() bool { return !h.link.ok() })
	s.doors[0].SetFaults(standin.StoreFaults{})
	s.eventually("all have the version", func() bool { return s.allHave(2) })
	s.doors[0].SetFaults(standin.StoreFaults{Refuse: 503})
	s.doors[0].Drop()
	s.eventually("the store is lost again", func() bool { return !h.link.ok() })
	s.doors[0].SetFaults(standin.StoreFaults{})
	s.eventually("the store is back", h.link.ok)
}

// TestTroubleOfAPartnerIsNoTroubleOfAReader: a target whose report is removed is gone at
// once at a host that reads the store itself, whatever a partner says of its own link.
func TestTroubleOfAPartnerIsNoTroubleOfAReader(t *testing.T) {
	s := newSite(t, 2, 2)
	s.eventually("the hosts know each other", func() bool {
		return len(s.hosts[0].group.Alive()) == 2 && len(s.hosts[1].group.Alive()) == 2
	})
	s.doors[1].SetFaults(standin.StoreFaults{Refuse: 503})
	s.doors[1].Drop()
	s.eventually("the partner is in trouble", func() bool { return s.hosts[0].group.Troubled(time.Now()) })
	if s.hosts[0].reportsMissing(time.Now()) {
		t.Error("a reader doubts removals because of its partner's link")
	}
}
