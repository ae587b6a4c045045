package partner

import (
	"testing"
	"testing/synctest"
	"time"

	"quetzalknot/process/mirror"
)

// TestStoreReadersAreBounded: minServingHosts hosts of a region must read the store; in a
// smaller region all must.
func TestStoreReadersAreBounded(t *testing.T) {
	for hosts, want := range map[int]int{2: 2, 3: 3, 9: minServingHosts} {
		synctest.Test(t, func(t *testing.T) {
			_, groups := newNetwork(t, hosts)
			time.Sleep(2 * heartbeatInterval)
			reads := 0
			for _, g := range groups {
				if g.IsStoreReader() {
					reads++
				}
			}
			if reads != want {
				t.Errorf("%d of %d hosts read the store, want %d", reads, hosts, want)
			}
		})
	}
}

// TestNotifiedHostsPullAtOnce: a change that one host reads must reach the other hosts without
// waiting for the next heartbeat interval.
func TestNotifiedHostsPullAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 9)
		time.Sleep(2*heartbeatInterval + heartbeatInterval/2)
		reader := groups[0]
		reader.opts.Mirror.Apply(mirror.Delta{Table: table, Records: []mirror.Record{{Key: "i-1", Revision: 9}}, UpTo: 9})
		reader.NotifyNonReaders(t.Context())
		synctest.Wait()
		for _, g := range groups {
			if !g.IsStoreReader() && g.opts.Mirror.Revision(table) != 9 {
				t.Errorf("%s does not have the change", g.opts.Self.Name)
			}
		}
	})
}

// TestStoreReaderReportsExpire: hosts must read the store themselves once their
// partners' reports of reading it have expired or all readers report failures.
func TestStoreReaderReportsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 9)
		last := groups[8]
		from := groups[0].opts.Self
		last.receive(&Heartbeat{From: from, Fresh: true})
		if !last.HasStoreReader(time.Now()) || last.StoreFailing(time.Now()) {
			t.Error("the report of a store reader is not used")
		}
		last.receive(&Heartbeat{From: groups[1].opts.Self, Troubled: true})
		if last.StoreFailing(time.Now()) {
			t.Error("the store counts as failing although one reader has no failures")
		}
		time.Sleep(readerTimeout)
		last.receive(&Heartbeat{From: from, Fresh: true, Troubled: true})
		if !last.StoreFailing(time.Now()) {
			t.Error("the store does not count as failing although all readers report failures")
		}
		time.Sleep(readerTimeout)
		if last.HasStoreReader(time.Now()) {
			t.Errorf("a reader that sent nothing for %v still counts", readerTimeout)
		}
	})
}

// TestReportHoldOfReaderCounts: a host that does not read the store must hold targets for as long as
// a reader says, in place of the full time from its own notice.
func TestReportHoldOfReaderCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		last, reader, failing := n.add("h00", "r", 1), n.add("h01", "r", 1), n.add("h02", "r", 1)
		if _, ok := last.ReportHold(time.Now()); ok {
			t.Error("a hold is known without a reader")
		}
		last.receive(&Heartbeat{From: reader.opts.Self, Fresh: true, Troubled: true, Age: minStatedAge, ReportHold: time.Second})
		last.receive(&Heartbeat{From: failing.opts.Self, Troubled: true})
		time.Sleep(400 * time.Millisecond)
		if hold, ok := last.ReportHold(time.Now()); !ok || hold != 600*time.Millisecond {
			t.Errorf("the hold is %v (known: %t), want the rest of the reader's", hold, ok)
		}
		time.Sleep(readerTimeout)
		if _, ok := last.ReportHold(time.Now()); ok {
			t.Error("the report of a reader that sent nothing since counts")
		}
	})
}

// TestReaderDoesNotVouchForMissingChanges: a host that cannot pull the changes that a store reader
// reports must not count as following the store.
func TestReaderDoesNotVouchForMissingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, groups := newNetwork(t, 9)
		synctest.Wait() // the first heartbeats, which say that no host reads the store, have arrived
		last, reader := groups[8], groups[0]
		last.receive(&Heartbeat{From: reader.opts.Self, Fresh: true, Age: time.Millisecond, Positions: map[string]uint64{table: 0}})
		if !last.FollowsStore(time.Now()) {
			t.Error("a host that has all changes of a reader does not follow the store")
		}
		n.mu.Lock()
		n.cutLinks[last.opts.Self.Name+">"+reader.opts.Self.Name] = true
		n.mu.Unlock()
		last.receive(&Heartbeat{From: reader.opts.Self, Fresh: true, Age: time.Millisecond, Positions: map[string]uint64{table: 9}})
		if last.FollowsStore(time.Now()) {
			t.Error("a host that lacks the changes of a reader follows the store")
		}
		last.opts.Mirror.Apply(mirror.Delta{Table: table, UpTo: 9})
		if !last.FollowsStore(time.Now()) {
			t.Error("a host does not follow the store once it has the changes")
		}
		time.Sleep(2 * callTimeout) // the pulls end
	})
}
