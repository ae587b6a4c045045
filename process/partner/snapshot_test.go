package partner

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"quetzalknot/process/mirror"
)

// TestSnapshotBringsTablesAndMembers: a host without tables must take them and the members
// over from a partner in one call, and get none from a partner that lacks them itself.
func TestSnapshotBringsTablesAndMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, groups := newNetwork(t, 3)
		late := n.add("late", "r", 1)
		if late.pullSnapshot(groups[0].opts.Self) == nil {
			t.Error("a host without tables gave a snapshot")
		}
		groups[0].opts.Mirror.Apply(mirror.Delta{Table: table, Records: []mirror.Record{{Key: "i-1", Revision: 7, Value: []byte("ready")}}, UpTo: 7, Whole: true})
		late.ExchangeHeartbeats(t.Context(), []Member{groups[0].opts.Self})
		synctest.Wait()
		if got, ok := late.opts.Mirror.Get(table, "i-1"); !ok || string(got.Value) != "ready" || late.opts.Mirror.Revision(table) != 7 {
			t.Errorf("record %+v, revision %d", got, late.opts.Mirror.Revision(table))
		}
		if late.KnownCount() != 4 || !late.HasMembers() {
			t.Errorf("%d hosts are known", late.KnownCount())
		}
		if calls := late.opts.Metrics.Counter("partners.pulls").Value(); calls != 0 {
			t.Errorf("%d pulls besides the snapshot", calls)
		}
	})
}

// TestSnapshotIsCompact: a snapshot of 3,000 targets must take less than 40 bytes for each.
func TestSnapshotIsCompact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const targets = 3000
		_, groups := newNetwork(t, 1)
		d := mirror.Delta{Table: table, UpTo: targets, Whole: true}
		for i := range targets {
			value := fmt.Sprintf(`{"name":"bokun","addr":"10.%d.%d.%d:8564","domain":"sv-hofn","release":"v1","slots":6,"status":"ready","delay":"0ms","count":%d,"started":17649%08d}`, i%9, i/250, i%250, i%37, i*7919)
			d.Records = append(d.Records, mirror.Record{Key: fmt.Sprintf("i-%010x", uint64(i)*2654435761), Revision: uint64(i + 1), Value: []byte(value)})
		}
		groups[0].opts.Mirror.Apply(d)
		packed, err := groups[0].packedSnapshot()
		if err != nil || len(packed) > 40*targets {
			t.Errorf("%d bytes for %d targets, %v", len(packed), targets, err)
		}
	})
}

// TestDamagedSnapshotIsRejected: what is no snapshot must be rejected, and one without end
// must not be decompressed beyond the limit.
func TestDamagedSnapshotIsRejected(t *testing.T) {
	packed, err := pack(Snapshot{Members: []Member{{Name: "h"}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, damaged := range [][]byte{packed[:len(packed)/2], []byte("no snapshot"), deflate(t, bytes.Repeat([]byte{0x9f}, maxSnapshotBytes+1))} {
		if s, err := unpack[Snapshot](damaged); err == nil {
			t.Errorf("%d bytes were decoded as %+v", len(damaged), s)
		}
	}
}

func deflate(t *testing.T, data []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// TestChangesCrossRegionsOnlyWithoutNearReader: while a host of the own region reports that
// it reads the store, changes must not be pulled from another region. When it falls silent,
// they must.
func TestChangesCrossRegionsOnlyWithoutNearReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, groups := newNetwork(t, 2)
		far := n.add("far", "other", 1)
		g := groups[1]
		known := mirror.Delta{Table: table, Records: []mirror.Record{{Key: "i-1", Revision: 1}}, UpTo: 1, Whole: true}
		for _, each := range []*Group{groups[0], g, far} {
			each.opts.Mirror.Apply(known)
		}
		far.opts.Mirror.Apply(mirror.Delta{Table: table, Records: []mirror.Record{{Key: "i-2", Revision: 2}}, UpTo: 2})
		time.Sleep(farPullDelay)
		newer := &Heartbeat{From: far.opts.Self, Positions: map[string]uint64{table: 2}}
		g.receive(&Heartbeat{From: groups[0].opts.Self, Fresh: true, Positions: map[string]uint64{table: 1}})
		g.receive(newer)
		synctest.Wait()
		if got := g.opts.Mirror.Revision(table); got != 1 {
			t.Errorf("revision %d was pulled from another region", got)
		}
		time.Sleep(readerTimeout)
		g.receive(newer)
		synctest.Wait()
		if got := g.opts.Mirror.Revision(table); got != 2 {
			t.Errorf("revision %d without a reader in the region, want 2", got)
		}
	})
}
