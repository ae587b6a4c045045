package spread

import (
	"testing"
	"time"
)

// Regression: hosts continued to read after a revision that the restored table had not reached,
// so that tickets accepted after the restore were not read.
func TestTicketAcceptedAfterRestoreReachesAllHosts(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 7)
		defer c.stopAll()
		c.waitConverged(t)
		older := c.memoryTable().Copy()
		for n := uint64(1); n <= 5; n++ {
			c.acceptDirectly(t, n)
		}
		eventually(t, 5*time.Second, "all hosts have ticket 5", func() bool { return c.allHaveTicket(5) })
		time.Sleep(5 * time.Second) // every poller has read up to ticket 5
		c.memoryTable().Restore(older)
		c.acceptDirectly(t, 6)
		eventually(t, 5*time.Second, "all hosts have ticket 6", func() bool { return c.allHaveTicket(6) })
		for _, h := range c.hosts {
			if len(h.state.Numbers()) != 6 {
				t.Errorf("%s has tickets %v", h.name, h.state.Numbers())
			}
		}
	})
}

// Regression: a host that started with a snapshot of the state from before a restore read
// nothing before the snapshot's revision.
func TestStartFromSnapshotOfEarlierEra(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		first := c.start(t.Context(), 0)
		older := c.memoryTable().Copy()
		for n := uint64(1); n <= 10; n++ {
			c.acceptDirectly(t, n)
		}
		eventually(t, 3*snapshotInterval, "a snapshot is written", func() bool {
			keys, _ := c.platform.Objects.List(t.Context(), "state/")
			return len(keys) > 0
		})
		first.stop()
		c.hosts = nil
		c.memoryTable().Restore(older)
		c.acceptDirectly(t, 11)
		late := c.start(t.Context(), 1)
		defer c.stopAll()
		eventually(t, 10*time.Second, "the late host has ticket 11", func() bool { return late.state.Newest() == 11 })
	})
}
