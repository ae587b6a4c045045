package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quetzalknot/platform"
	"quetzalknot/process/membership"
)

func TestTicketReachesAllHosts(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 30)
		defer c.stopAll()
		c.waitConverged(t)
		c.acceptDirectly(t, 1)
		eventually(t, 5*time.Second, "all hosts have a ticket written directly to the table service", func() bool { return c.allHaveTicket(1) })
		c.hosts[3].submit(c.acceptDirectly(t, 2))
		eventually(t, 5*time.Second, "all hosts have a ticket pushed by a host", func() bool { return c.allHaveTicket(2) })
	})
}

func TestTicketReachesAllHostsDuringOutageAndLoss(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 30)
		defer c.stopAll()
		c.waitConverged(t)
		r := c.acceptDirectly(t, 1)
		c.table.setDown(true)
		c.net.setBroken(func(string, string) bool { return rand.IntN(100) < 30 })
		defer c.traceTicket(t, 1)()
		c.hosts[7].submit(r)
		eventually(t, 5*time.Second, "all hosts have the ticket with the store unavailable and 30% of messages lost", func() bool { return c.allHaveTicket(1) })
	})
}

func TestHostsAreNotUpToDateDuringOutage(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 7)
		defer c.stopAll()
		c.waitConverged(t)
		c.table.setDown(true)
		eventually(t, MaxStateAge+2*time.Second, "no host is up to date", func() bool {
			for _, h := range c.hosts {
				if h.engine.UpToDate() {
					return false
				}
			}
			return true
		})
		c.table.setDown(false)
		eventually(t, 30*time.Second, "all hosts are up to date again", func() bool {
			for _, h := range c.hosts {
				if !h.engine.UpToDate() {
					return false
				}
			}
			return true
		})
	})
}

// TestStartDuringOutage: a host that starts during a store outage synchronises its state from
// hosts in two failure domains. As long as it reaches those of one, its state must not count
// as complete, and it must count as up to date no longer than that of the others does.
func TestStartDuringOutage(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 6) // each in its own failure domain
		defer c.stopAll()
		c.waitConverged(t)
		c.acceptDirectly(t, 5)
		eventually(t, 5*time.Second, "all hosts have ticket 5", func() bool { return c.allHaveTicket(5) })
		c.table.setDown(true)
		outage := time.Now()
		c.net.setBroken(func(from, to string) bool { return from == "h6" && to != "h1" || to == "h6" && from != "h1" })
		late := c.start(t.Context(), 6, "h1", "h2")
		eventually(t, 5*time.Second, "the late host has the tickets of one host", func() bool { return late.state.Newest() == 5 })
		for range 40 {
			if late.engine.Complete() {
				t.Fatalf("complete with the state of one failure domain, %v after the outage began", time.Since(outage))
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.net.setBroken(func(string, string) bool { return false })
		eventually(t, 15*time.Second, "the late host has the state", func() bool { return late.engine.Complete() && late.state.Newest() == 5 })
		for time.Since(outage) < MaxStateAge+5*time.Second {
			if age, ok := late.engine.StateAge(); ok && age < time.Since(outage)-time.Second {
				t.Fatalf("the state is said to be %v old, %v after the outage began", age, time.Since(outage))
			}
			if age, _ := late.engine.StateAge(); late.engine.UpToDate() && age >= MaxStateAge {
				t.Fatalf("up to date with a state of age %v", age)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if late.engine.UpToDate() {
			t.Errorf("up to date %v after the outage began", time.Since(outage))
		}
	})
}

func TestAllStartDuringOutageAreNotComplete(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.table.setDown(true)
		for i := range 7 {
			c.start(t.Context(), i, "h0", "h1")
		}
		defer c.stopAll()
		time.Sleep(time.Minute)
		for _, h := range c.hosts {
			if h.engine.Complete() || h.engine.UpToDate() {
				t.Fatalf("%s reports a complete or up-to-date state without a source for it", h.name)
			}
		}
		c.table.setDown(false)
		eventually(t, 30*time.Second, "all hosts have a complete state", func() bool {
			for _, h := range c.hosts {
				if !h.engine.Complete() {
					return false
				}
			}
			return true
		})
	})
}

func (c *cluster) statusSeenBy(h *host, name string) membership.Status {
	e, ok := h.members.Entry(name)
	if !ok {
		return membership.Dead
	}
	return e.Status
}

func TestDeadHostIsDetected(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 12)
		defer c.stopAll()
		c.waitConverged(t)
		c.hosts[4].stop()
		took := eventually(t, 20*time.Second, "all others consider h4 dead", func() bool {
			for i, h := range c.hosts {
				if i != 4 && c.statusSeenBy(h, "h4") != membership.Dead {
					return false
				}
			}
			return true
		})
		if took < membership.SuspicionTime {
			t.Fatalf("dead after %v, before the suspicion time", took)
		}
		c.hosts = append(c.hosts[:4], c.hosts[5:]...)
	})
}

// A link that is broken in one direction only does not cause suspicion, since other
// hosts still reach the member.
func TestAsymmetricLinkCausesNoSuspicion(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 8)
		defer c.stopAll()
		c.waitConverged(t)
		c.net.setBroken(func(from, to string) bool { return from == "h1" && to == "h2" })
		for range 60 {
			time.Sleep(time.Second)
			for _, h := range c.hosts {
				for _, e := range h.members.All() {
					if e.Status != membership.Alive {
						t.Fatalf("%s considers %s %s", h.name, e.Member.Host, e.Status)
					}
				}
			}
		}
	})
}

// After a network partition the regions find each other again, and tickets accepted
// in one of them arrive in the other.
func TestRegionsRejoin(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 12)
		defer c.stopAll()
		c.waitConverged(t)
		// Hosts of the domains d0 and d1 are in region r0.
		inFirstRegion := func(name string) bool {
			var i int
			_, err := fmt.Sscanf(name, "h%d", &i)
			return err == nil && i%6 < 2
		}
		c.net.setBroken(func(from, to string) bool { return inFirstRegion(from) != inFirstRegion(to) })
		c.table.setDown(true)
		time.Sleep(3 * time.Minute)
		r := testTicket(3)
		c.hosts[2].submit(r)
		time.Sleep(10 * time.Second)
		if c.hosts[0].state.Newest() == 3 {
			t.Fatal("the ticket crossed the network partition")
		}
		c.net.setBroken(func(string, string) bool { return false })
		eventually(t, 40*time.Second, "every host sees all members alive and has the ticket", func() bool {
			for _, h := range c.hosts {
				if len(h.members.Live()) != 12 {
					return false
				}
			}
			return c.allHaveTicket(3)
		})
	})
}

// The lease of an isolated host has expired by the time that others consider it dead.
func TestLeaseEndsBeforeDeath(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 8)
		defer c.stopAll()
		c.waitConverged(t)
		c.net.setBroken(func(from, to string) bool { return from == "h3" || to == "h3" })
		eventually(t, 30*time.Second, "h3 is dead", func() bool {
			dead := false
			for i, h := range c.hosts {
				dead = dead || i != 3 && c.statusSeenBy(h, "h3") == membership.Dead
			}
			if dead && c.hosts[3].members.Lease().Valid(time.Now()) {
				t.Fatal("h3 is considered dead but its lease is valid")
			}
			return dead
		})
	})
}

func TestLeavingSpreadsQuickly(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 12)
		defer c.stopAll()
		c.waitConverged(t)
		c.hosts[5].engine.Leave(t.Context())
		eventually(t, 2*time.Second, "no host counts h5 as live", func() bool {
			for _, h := range c.hosts {
				if len(h.members.Live()) != 11 {
					return false
				}
			}
			return true
		})
	})
}

// Regression: a failed write of the member row or an unavailable object store kept
// hosts from reading new tickets.
func TestFailedWritesAndObjectsDoNotStopReads(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.table.readOnly = true
		c.platform.Objects = unavailableObjects{}
		c.startAll(t.Context(), 7)
		defer c.stopAll()
		eventually(t, 5*time.Second, "all hosts have a complete state", func() bool {
			for _, h := range c.hosts {
				if !h.engine.Complete() {
					return false
				}
			}
			return true
		})
		c.acceptDirectly(t, 1)
		eventually(t, 5*time.Second, "all hosts have the ticket", func() bool { return c.allHaveTicket(1) })
		time.Sleep(time.Hour)
		for _, h := range c.hosts {
			if !h.engine.UpToDate() {
				t.Fatalf("%s is not up to date", h.name)
			}
		}
	})
}

// unavailableObjects is an object store whose calls all fail.
type unavailableObjects struct{ platform.Objects }

func (unavailableObjects) Put(context.Context, string, []byte) error { return platform.ErrUnavailable }
func (unavailableObjects) Get(context.Context, string) ([]byte, error) {
	return nil, platform.ErrUnavailable
}
func (unavailableObjects) List(context.Context, string) ([]string, error) {
	return nil, platform.ErrUnavailable
}

// Only a few hosts of each failure domain poll the table service.
func TestFewHostsReadTheStore(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 40)
		defer c.stopAll()
		c.waitConverged(t)
		time.Sleep(10 * time.Second)
		c.table.mu.Lock()
		before := c.table.calls
		c.table.mu.Unlock()
		const seconds = 60
		time.Sleep(seconds * time.Second)
		c.table.mu.Lock()
		perSecond := float64(c.table.calls-before) / seconds
		c.table.mu.Unlock()
		// 6 failure domains with 2 pollers each, one ticket read per second and a few
		// member reads.
		if most := 6.0 * pollersPerDomain * 1.6; perSecond > most {
			t.Fatalf("%.1f store operations per second, at most %.1f expected", perSecond, most)
		}
	})
}
