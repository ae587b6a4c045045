package spread

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/process/membership"
	"quetzalknot/version/store"
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

// loseTickets makes the table come back from a copy that lacks tickets 20 and 30, which all
// hosts have.
func (c *cluster) loseTickets(t *testing.T) {
	t.Helper()
	c.acceptDirectly(t, 10)
	older := c.memoryTable().Copy()
	c.acceptDirectly(t, 20)
	c.acceptDirectly(t, 30)
	eventually(t, 5*time.Second, "all hosts have ticket 30", func() bool { return c.allHaveTicket(30) })
	time.Sleep(5 * time.Second)
	c.memoryTable().Restore(older)
}

func (c *cluster) waitInTable(t *testing.T, within time.Duration, numbers ...uint64) {
	t.Helper()
	took := eventually(t, within, "the table has the tickets again", func() bool {
		for _, n := range numbers {
			if _, err := store.New(c.memoryTable()).Ticket(t.Context(), n); err != nil {
				return false
			}
		}
		return true
	})
	t.Logf("tickets %v are in the table again after %v", numbers, took)
}

// Regression: an accepted ticket that the restored table lacked was unknown to hosts that
// started later, and the table accepted a smaller ticket for its object.
func TestTicketLostWithCopyIsWrittenAgain(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 12)
		defer c.stopAll()
		c.waitConverged(t)
		c.loseTickets(t)
		c.waitInTable(t, 5*time.Second, 20, 30)
		time.Sleep(time.Minute)
		if c.table.ticketWrites != 2 {
			t.Errorf("the hosts wrote tickets %d times, want 2", c.table.ticketWrites)
		}
		smaller := testTicket(25)
		smaller.Objects[0].Key = testTicket(30).Objects[0].Key
		var conflict *store.ConflictError
		if _, err := store.New(c.table).Submit(t.Context(), smaller); !errors.As(err, &conflict) || conflict.Winner != 30 {
			t.Errorf("ticket 25: got %v, want a conflict with 30", err)
		}
		c.stopAll()
		c.hosts = nil
		late := c.start(t.Context(), 20)
		eventually(t, 10*time.Second, "a host that starts alone has the tickets", func() bool { return len(late.state.Numbers()) == 3 })
	})
}

// When the host whose turn it is to write lost tickets again stops, another one does it.
func TestLostTicketIsWrittenAgainWithoutFirstWriter(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 12)
		defer c.stopAll()
		c.waitConverged(t)
		c.loseTickets(t)
		for i, h := range c.hosts {
			if membership.Rank(rewriteTask, h.name, h.poller.pollers()) == 0 {
				h.stop()
				c.hosts = append(c.hosts[:i], c.hosts[i+1:]...)
				break
			}
		}
		c.waitInTable(t, 10*time.Second, 20, 30)
	})
}

// A ticket accepted after the restore keeps its object, though a lost ticket with a smaller
// number is written again.
func TestTicketAcceptedAfterRestoreIsKept(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 12)
		defer c.stopAll()
		c.waitConverged(t)
		c.loseTickets(t)
		larger := testTicket(40)
		key := testTicket(30).Objects[0].Key
		larger.Objects[0].Key = key
		if _, err := store.New(c.memoryTable()).Submit(t.Context(), larger); err != nil {
			t.Fatal(err)
		}
		c.waitInTable(t, 5*time.Second, 20)
		time.Sleep(time.Minute)
		row, err := c.memoryTable().Get(t.Context(), "object/"+key.String())
		if err != nil || string(row.Value) != "40" {
			t.Errorf("the object has ticket %s, %v; want 40", row.Value, err)
		}
		for _, h := range c.hosts {
			if h.state.Ticket(key) != 40 {
				t.Errorf("%s has ticket %d in force, want 40", h.name, h.state.Ticket(key))
			}
		}
	})
}

// Regression: after a restore a host's row was missing until its next renewal, up to 6 minutes
// later, so that hosts that started did not find it.
func TestMemberRowWrittenAgainAfterRestore(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		older := c.memoryTable().Copy()
		c.startAll(t.Context(), 12)
		defer c.stopAll()
		c.waitConverged(t)
		time.Sleep(10 * time.Second)
		c.memoryTable().Restore(older)
		eventually(t, rowRewriteSpread+10*time.Second, "the table has the rows of all hosts", func() bool {
			rows, _, _, err := membership.NewRows(c.memoryTable()).Changed(t.Context(), 0, 100, time.Now())
			return err == nil && len(rows) == len(c.hosts)
		})
	})
}
