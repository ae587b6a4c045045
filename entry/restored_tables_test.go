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

// TestRestoredHoldCountsFromPartnersNotice guards against requests to a target that had left, at a host
// that learns of the restore of the store long after a partner.
func TestRestoredHoldCountsFromPartnersNotice(t *testing.T) {
	c := newCluster(t, 1, 2)
	early, late := c.hosts[0], c.hosts[1]
	c.eventually("the hosts have discovered each other", func() bool { return len(early.group.Alive()) == 2 && len(late.group.Alive()) == 2 })
	older := c.store.Snapshot()
	c.addTarget("i-late")
	c.eventually("the target is known", func() bool { return early.fleet.Size() == 2 && late.fleet.Size() == 2 })
	late.applyMu.Lock() // it applies nothing
	defer late.applyMu.Unlock()
	c.store.Restore(older)
	c.eventually("the first host sees the restore", func() bool { return early.fleet.Count("missing", time.Now()) == 1 })
	noticed := time.Now()
	const delay = 1200 * time.Millisecond // more than the time between two heartbeats
	time.Sleep(delay)
	seen := noticed.Add(delay)
	late.eraSeenAt.Store(&seen)
	left := missingReportHold - delay
	if hold := late.restoredHold(noticed.Add(delay)); hold < left-200*time.Millisecond || hold > left+200*time.Millisecond {
		t.Errorf("a target is held for %v from %v after a partner's notice of the restore, want about %v", hold, delay, left)
	}
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
