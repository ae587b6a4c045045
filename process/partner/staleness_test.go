package partner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"quetzalknot/process/mirror"
)

// TestStalenessGrowsFromLastAnswer: what partners say of themselves must not make a host's tables newer than the store's
// last answer to any of them, whoever passes it on and whether or not the partners still read the store.
func TestStalenessGrowsFromLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		reader, follower, far := n.add("reader", "r", 1), n.add("follower", "r", 1), n.add("far", "r", 1)
		answeredAt := time.Now()
		reader.opts.StoreStatus = func() StoreStatus {
			age := max(1, time.Since(answeredAt))
			return StoreStatus{Reachable: age < 5*time.Second, Age: age, SinceConfirmed: age}
		}
		if _, ok := far.Staleness(time.Now()); ok {
			t.Error("tables that nobody confirmed are confirmed")
		}
		for range 8 {
			time.Sleep(time.Second)
			beat := reader.heartbeat()
			follower.receive(&beat)
			passedOn := follower.heartbeat()
			far.receive(&passedOn)
			for _, g := range []*Group{follower, far} {
				staleness, ok := g.Staleness(time.Now())
				if since := time.Since(answeredAt); !ok || staleness < since || staleness > since+2*heartbeatDelay {
					t.Errorf("%s: staleness %v (known: %t), the store answered %v ago", g.opts.Self.Name, staleness, ok, since)
				}
			}
		}
	})
}

// TestStalenessThroughShortHeartbeats: a host that does not read the store must pass on in short heartbeats how stale its
// tables are.
func TestStalenessThroughShortHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		follower, far := n.add("follower", "r", 1), n.add("far", "r", 1)
		follower.opts.StoreStatus = func() StoreStatus { return StoreStatus{SinceConfirmed: time.Second} }
		brief := follower.brief()
		far.receive(far.expand(&brief, follower.opts.Self))
		if staleness, ok := far.Staleness(time.Now()); !ok || staleness != time.Second+heartbeatDelay {
			t.Errorf("staleness %v (known: %t) by a short heartbeat, want %v", staleness, ok, time.Second+heartbeatDelay)
		}
	})
}

// TestStalenessOfMissingChanges: a partner's statement must count for a host only once it has all changes that the partner
// had.
func TestStalenessOfMissingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: map[string]bool{"last>reader": true}}
		last, reader := n.add("last", "r", 1), n.add("reader", "r", 1)
		last.receive(&Heartbeat{From: reader.opts.Self, Fresh: true, Age: time.Millisecond, Positions: map[string]uint64{table: 0}})
		time.Sleep(time.Second)
		last.receive(&Heartbeat{From: reader.opts.Self, Fresh: true, Age: time.Millisecond, Positions: map[string]uint64{table: 9}})
		if staleness, _ := last.Staleness(time.Now()); staleness < time.Second {
			t.Errorf("staleness %v while changes of %v ago are missing", staleness, time.Second)
		}
		last.opts.Mirror.Apply(mirror.Delta{Table: table, UpTo: 9})
		if staleness, _ := last.Staleness(time.Now()); staleness > time.Second/2 {
			t.Errorf("staleness %v after the changes have arrived", staleness)
		}
		time.Sleep(2 * callTimeout) // the pulls end
	})
}

// TestStalenessWithoutStatement: the age in a heartbeat of an earlier release that does not read the store means nothing.
func TestStalenessWithoutStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		last, other := n.add("last", "r", 1), n.add("other", "r", 1)
		last.receive(&Heartbeat{From: other.opts.Self, Age: minStatedAge, Positions: map[string]uint64{table: 0}})
		if staleness, ok := last.Staleness(time.Now()); ok {
			t.Errorf("the tables count as confirmed %v ago", staleness)
		}
	})
}

// TestEarlyHeartbeatsLeaveNoGap: heartbeats between two intervals must not make the next regular ones so late that a
// partner which reads the store counts as lost.
func TestEarlyHeartbeatsLeaveNoGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		groups := []*Group{n.add("h00", "r", 1), n.add("h01", "r", 1), n.add("h02", "r", 1)}
		for _, g := range groups {
			g.opts.StoreStatus = func() StoreStatus { return StoreStatus{Reachable: true, Age: minStatedAge} }
			for _, other := range groups {
				g.AddMembers([]Member{other.opts.Self})
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		for _, g := range groups {
			go g.Run(ctx)
		}
		time.Sleep(2 * heartbeatInterval)
		const step = 10 * time.Millisecond
		for i := range 1500 {
			if i%405 == 35 {
				groups[0].AskReaders(t.Context())
			}
			if !groups[0].HasStoreReader(time.Now()) || !groups[1].HasStoreReader(time.Now()) {
				t.Fatalf("a partner that reads the store counts as lost %v after the start", time.Duration(i)*step)
			}
			time.Sleep(step)
		}
	})
}
