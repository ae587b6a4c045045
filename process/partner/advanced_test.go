package partner

import (
	"testing"
	"testing/synctest"
	"time"

	"quetzalknot/process/mirror"
)

// TestAdvancedNumberCostsNoPull: a partner that is ahead by the number alone must bring this host's position
// forward without a call; one that has a further record must be asked for it. Nothing may be taken for
// granted of a partner of another era, or of one whose last change is not known.
func TestAdvancedNumberCostsNoPull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 2)
		from, to := groups[0], groups[1]
		pulls := to.opts.Metrics.Counter("partners.pulls")
		change := func(d mirror.Delta) {
			d.Table = table
			from.opts.Mirror.Apply(d)
			time.Sleep(2*heartbeatInterval + pullDelay)
		}
		change(mirror.Delta{Era: 1, Whole: true, UpTo: 7, Records: []mirror.Record{{Key: "i-1", Revision: 7}}})
		before := pulls.Value()
		for upTo := uint64(8); upTo < 20; upTo++ {
			change(mirror.Delta{Era: 1, UpTo: upTo})
		}
		if got := pulls.Value() - before; got != 0 || to.opts.Mirror.Revision(table) != 19 {
			t.Errorf("%d pulls without records, revision %d", got, to.opts.Mirror.Revision(table))
		}
		change(mirror.Delta{Era: 1, UpTo: 30, Records: []mirror.Record{{Key: "i-1", Revision: 25, Removed: true}}})
		if _, ok := to.opts.Mirror.Get(table, "i-1"); ok || to.opts.Mirror.Revision(table) != 30 {
			t.Errorf("the removal is missing at revision %d", to.opts.Mirror.Revision(table))
		}
		change(mirror.Delta{Era: 2, Whole: true, UpTo: 40, Records: []mirror.Record{{Key: "i-2", Revision: 1}}})
		if _, ok := to.opts.Mirror.Get(table, "i-2"); !ok || to.opts.Mirror.Position(table).Era != 2 {
			t.Errorf("the restored table is missing at %+v", to.opts.Mirror.Position(table))
		}
		own := mirror.Position{Era: 2, Revision: 40}
		for name, h := range map[string]Heartbeat{
			"no last change": {Positions: map[string]uint64{table: 50}, Eras: map[string]uint64{table: 2}},
			"other era":      {Positions: map[string]uint64{table: 50}, Eras: map[string]uint64{table: 3}, Changed: map[string]uint64{table: 2}},
			"later change":   {Positions: map[string]uint64{table: 50}, Eras: map[string]uint64{table: 2}, Changed: map[string]uint64{table: 41}},
		} {
			if h.onlyAdvanced(table, own) {
				t.Errorf("%s: nothing is said to have changed", name)
			}
		}
	})
}
