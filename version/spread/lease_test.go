package spread

import (
	"testing"
	"time"

	"quetzalknot/process/membership"
)

// TestIsolatedHostKeepsNoLeaseByTheTableService: a host that the others consider dead must not
// hold a lease because it still reads the table service: the others have taken its rights over.
func TestIsolatedHostKeepsNoLeaseByTheTableService(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 8)
		defer c.stopAll()
		c.waitConverged(t)
		c.net.setBroken(func(from, to string) bool { return from == "h3" || to == "h3" })
		cut := time.Now()
		eventually(t, 30*time.Second, "h3 is dead", func() bool {
			return c.statusSeenBy(c.hosts[0], "h3") == membership.Dead
		})
		for time.Since(cut) < 10*time.Minute {
			if c.hosts[3].members.Lease().Valid(time.Now()) && c.statusSeenBy(c.hosts[0], "h3") == membership.Dead {
				t.Fatalf("%v after the cut h3 holds a lease although the others consider it dead", time.Since(cut))
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestLastHostRenewsLeaseOnceRowsHaveExpired: a host that is alone at its start, or whose
// only other member has been gone for longer than its row lasts, renews its lease alone.
func TestLastHostRenewsLeaseOnceRowsHaveExpired(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 1)
		defer func() { c.hosts[0].stop() }()
		valid := func() bool { return c.hosts[0].members.Lease().Valid(time.Now()) }
		eventually(t, 5*time.Second, "the only host has a lease", valid)
		c.start(t.Context(), 1)
		c.waitConverged(t)
		c.hosts[1].stop()
		eventually(t, time.Minute, "h1 is dead", func() bool { return c.statusSeenBy(c.hosts[0], "h1") == membership.Dead })
		eventually(t, membership.LeaseTerm, "the lease has ended", func() bool { return !valid() })
		eventually(t, membership.RowLeaseTerm, "the last host has a lease", valid)
	})
}

// TestLastHostRenewsLeaseAfterOthersLeft: the last host must not be without its lease for the term of
// the rows of hosts that have left in order, nor take it while a host that leaves still runs.
func TestLastHostRenewsLeaseAfterOthersLeft(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 2)
		defer func() { c.hosts[0].stop() }()
		c.waitConverged(t)
		valid := func() bool { return c.hosts[0].members.Lease().Valid(time.Now()) }
		eventually(t, time.Minute, "h0 has a lease", valid)
		c.hosts[1].members.SetLeaving()
		time.Sleep(5 * time.Second)
		c.net.setBroken(func(string, string) bool { return true })
		eventually(t, time.Minute, "h1 is dead to h0", func() bool { return c.statusSeenBy(c.hosts[0], "h1") == membership.Dead })
		for cut := time.Now(); time.Since(cut) < 10*time.Minute; time.Sleep(100 * time.Millisecond) {
			if valid() {
				t.Fatalf("%v after the cut h0 holds a lease although h1, which leaves, still runs", time.Since(cut))
			}
		}
		c.hosts[1].stop()
		eventually(t, 2*time.Minute, "the last host has a lease", valid)
	})
}
