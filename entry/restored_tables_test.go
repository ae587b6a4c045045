package entry

import (
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/process/mirror"
)

// restoredTable returns a whole table of the host in the era after its own, without a key.
func (c *cluster) restoredTable(table, without string) mirror.Delta {
	delta := c.hosts[0].mirror.DeltaSince(table, mirror.Position{})
	delta.Era++
	delta.Whole = true
	kept := delta.Records[:0:0]
	for _, r := range delta.Records {
		if r.Key != without {
			kept = append(kept, r)
		}
	}
	delta.Records = kept
	return delta
}

// TestRestoredHoldCountsFromFirstTable guards against requests to a target that had left, at a host
// that saw the restore of the store in one table long before it read the targets' reports.
func TestRestoredHoldCountsFromFirstTable(t *testing.T) {
	c := newCluster(t, 2, 1)
	settings, err := Parse([]byte(settingsText(t, "front-new", c.endpoints[0].Addr(), false)))
	if err != nil {
		t.Fatal(err)
	}
	h := New(settings, "", c.logs)
	for _, table := range []string{adapter.OperatorTable, adapter.TargetTable} {
		h.apply(c.hosts[0].mirror.DeltaSince(table, mirror.Position{}))
	}
	restored := time.Now()
	h.apply(c.restoredTable(adapter.OperatorTable, ""))
	time.Sleep(time.Second)
	h.apply(c.restoredTable(adapter.TargetTable, "i-1"))
	h.fleet.RemoveExpired(restored.Add(missingReportHold - 50*time.Millisecond))
	if h.fleet.Size() != 2 {
		t.Error("a target without a report was dropped before it could write it again")
	}
	h.fleet.RemoveExpired(restored.Add(missingReportHold + 50*time.Millisecond))
	if h.fleet.Size() != 1 {
		t.Errorf("a target without a report is held for more than %v after the restore was seen", missingReportHold)
	}
}
