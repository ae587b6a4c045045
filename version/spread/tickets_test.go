package spread

import (
	"context"
	"reflect"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"quetzalknot/platform"
	"quetzalknot/version/state"
)

// Two hosts with arbitrary tickets converge by exchanging digests and deltas, whatever
// the size limit of a delta.
func TestTicketsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewTickets(state.New(), func() {}), NewTickets(state.New(), func() {})
		for _, topic := range []*Tickets{a, b} {
			for _, n := range rapid.SliceOfN(rapid.Uint64Range(1, 40), 0, 20).Draw(t, "tickets") {
				topic.Add(testTicket(n))
			}
		}
		limit := rapid.IntRange(0, 2000).Draw(t, "limit")
		for range 50 {
			deliverDelta(t, a, b, limit)
			deliverDelta(t, b, a, limit)
		}
		if a.Sum() != b.Sum() || !reflect.DeepEqual(a.state.Numbers(), b.state.Numbers()) {
			t.Fatalf("%v and %v", a.state.Numbers(), b.state.Numbers())
		}
	})
}

func deliverDelta(t *rapid.T, from, to *Tickets, limit int) {
	if delta := from.Delta(to.Digest(), limit); delta != nil {
		if _, err := to.Merge(delta); err != nil {
			t.Fatal(err)
		}
	}
}

// With many tickets in force the digests stay within the size limit, and successive
// digests cover all tickets.
func TestDigestIsBounded(t *testing.T) {
	const tickets = 20_000
	a, b := NewTickets(state.New(), func() {}), NewTickets(state.New(), func() {})
	for n := uint64(1); n <= tickets; n++ {
		a.state.Merge(testTicket(n * 1_000_003))
	}
	for n := uint64(1); n < tickets; n++ {
		b.state.Merge(testTicket(n * 1_000_003))
	}
	for range 1000 {
		digest := b.Digest()
		if len(digest) > MaxDigestBytes {
			t.Fatalf("digest of %d bytes", len(digest))
		}
		if delta := a.Delta(digest, MaxDeltaBytes); delta != nil {
			if _, err := b.Merge(delta); err != nil {
				t.Fatal(err)
			}
			break
		}
	}
	if a.Sum() != b.Sum() {
		t.Fatal("the missing ticket was never found")
	}
}

func FuzzMerge(f *testing.F) {
	delta, err := EncodeRecords(testTicket(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(delta, []byte{1, 0, 1})
	f.Add([]byte{0x81, 0xa0}, []byte{0, 0})
	f.Fuzz(func(t *testing.T, delta, digest []byte) {
		topic := NewTickets(state.New(), func() {})
		changed, err := topic.Merge(delta)
		if err != nil && (changed || topic.Sum() != 0) {
			t.Fatal("a rejected delta changed the state")
		}
		topic.Delta(digest, 100)
	})
}

// A starting host reads the snapshot and only the tickets accepted after it.
func TestStartFromSnapshotReadsFewRows(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		first := c.start(t.Context(), 0)
		for n := uint64(1); n <= 1000; n++ {
			c.acceptDirectly(t, n)
		}
		eventually(t, time.Minute, "the first host has all tickets", func() bool { return first.state.Newest() == 1000 })
		eventually(t, 3*snapshotInterval, "a snapshot is written", func() bool {
			keys, _ := c.platform.Objects.List(t.Context(), "state/")
			return len(keys) > 0
		})
		first.stop()
		c.hosts = nil
		c.acceptDirectly(t, 1001)
		counted := &countedRows{Table: c.table.Table}
		c.table.mu.Lock()
		c.table.Table = counted
		c.table.mu.Unlock()
		late := c.start(t.Context(), 1)
		defer c.stopAll()
		eventually(t, 10*time.Second, "the late host has all tickets", func() bool { return late.state.Newest() == 1001 && len(late.state.Numbers()) == 1001 })
		if rows := counted.rows.Load(); rows > 10 {
			t.Fatalf("%d rows were read", rows)
		}
	})
}

// countedRows counts the rows that Changes returns.
type countedRows struct {
	platform.Table
	rows atomic.Int64
}

func (c *countedRows) Changes(ctx context.Context, prefix string, after int64, limit int) (platform.Changes, error) {
	changes, err := c.Table.Changes(ctx, prefix, after, limit)
	c.rows.Add(int64(len(changes.Rows)))
	return changes, err
}

// A row that cannot be decoded is reported by the poller that read it and does not
// block later tickets.
func TestUnreadableRowIsReported(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 4)
		defer c.stopAll()
		c.waitConverged(t)
		const key = "ticket/00000000000000000003"
		if _, err := c.table.Commit(t.Context(), nil, []platform.Write{{Key: key, Value: []byte("{")}}); err != nil {
			t.Fatal(err)
		}
		c.acceptDirectly(t, 4)
		eventually(t, 5*time.Second, "all hosts have the next ticket", func() bool { return c.allHaveTicket(4) })
		reporting := 0
		for _, h := range c.hosts {
			if reflect.DeepEqual(h.tickets.Unreadable(), []string{key}) {
				reporting++
			}
		}
		if reporting == 0 {
			t.Error("no host reports the row")
		}
	})
}

// A second process on the same host permanently revokes the first one's lease.
func TestOneProcessPerHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 4)
		defer c.stopAll()
		c.waitConverged(t)
		first := c.hosts[1]
		time.Sleep(time.Millisecond)
		second := c.start(t.Context(), 1)
		eventually(t, 10*time.Second, "the lease of the first process is revoked", func() bool { return first.members.Lease().Revoked() })
		eventually(t, 10*time.Second, "the second process has a valid lease", func() bool { return second.members.Lease().Valid(time.Now()) })
		for _, i := range []int{0, 2, 3} {
			eventually(t, 10*time.Second, "the others know the second process", func() bool {
				e, _ := c.hosts[i].members.Entry("h1")
				return e.Member.Incarnation == second.members.Self().Incarnation
			})
		}
	})
}

// After a long outage of the table service the hosts' combined request rate stays
// within the limit stated in docs/operations/outages.md.
func TestNoThunderingHerdAfterOutage(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 40)
		defer c.stopAll()
		c.waitConverged(t)
		c.table.setDown(true)
		time.Sleep(8 * time.Minute)
		c.table.setDown(false)
		worst := 0
		for range 60 {
			before := c.storeCalls()
			time.Sleep(time.Second)
			worst = max(worst, c.storeCalls()-before)
		}
		t.Logf("at most %d store operations in a second for 40 hosts", worst)
		if worst > 40 {
			t.Fatalf("%d store operations in one second", worst)
		}
	})
}

func (c *cluster) storeCalls() int {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.table.calls
}

// The largest ticket number per object wins when a peer has an older state.
func TestStalePeerDoesNotRevertState(t *testing.T) {
	current, stale := NewTickets(state.New(), func() {}), NewTickets(state.New(), func() {})
	r1, r2 := testTicket(1), testTicket(2)
	r2.Objects[0].Key = r1.Objects[0].Key
	stale.Add(r1)
	current.Add(r2)
	if delta := stale.Delta(current.Digest(), MaxDeltaBytes); delta != nil {
		if changed, err := current.Merge(delta); changed || err != nil {
			t.Fatalf("changed %v, %v", changed, err)
		}
	}
	if got := current.state.Ticket(r1.Objects[0].Key); got != 2 {
		t.Fatalf("ticket %d is in force, want 2", got)
	}
}

// Regression: no snapshot was written when the host that ranked first for it did not poll the
// table service, as is likely with many hosts.
func TestSnapshotIsWrittenWithManyHosts(t *testing.T) {
	run(t, func(t *testing.T) {
		c := newCluster()
		c.startAll(t.Context(), 30)
		defer c.stopAll()
		c.waitConverged(t)
		c.acceptDirectly(t, 1)
		eventually(t, 3*snapshotInterval, "a snapshot is written", func() bool {
			keys, _ := c.platform.Objects.List(t.Context(), "state/")
			return len(keys) > 0
		})
	})
}
