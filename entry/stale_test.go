package entry

import (
	"fmt"
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/process/mirror"
	"quetzalknot/process/partner"
)

// TestStaleReportIsOneReport: only the very report that is stale must be ignored, not a later one of the
// target, nor one of another era with the same number.
func TestStaleReportIsOneReport(t *testing.T) {
	for _, tc := range []struct {
		at    mirror.Position
		stale bool
	}{
		{mirror.Position{Era: 2, Revision: 7}, true},
		{mirror.Position{Era: 2, Revision: 6}, false},
		{mirror.Position{Era: 2, Revision: 8}, false},
		{mirror.Position{Era: 3, Revision: 7}, false},
		{mirror.Position{Era: 1, Revision: 7}, false},
	} {
		s := newStaleReports()
		s.add("i-1", mirror.Position{Era: 2, Revision: 7})
		if got := s.contains("i-1", tc.at); got != tc.stale {
			t.Errorf("report at %v is stale: %t", tc.at, got)
		}
		if s.contains("i-2", tc.at) {
			t.Errorf("the report of another target at %v is stale", tc.at)
		}
	}
}

// TestReplacedStaleReportsAreForgotten: reports that were replaced, or are of an earlier era, must not be
// told to partners.
func TestReplacedStaleReportsAreForgotten(t *testing.T) {
	s := newStaleReports()
	s.add("i-1", mirror.Position{Era: 2, Revision: 7})
	s.add("i-2", mirror.Position{Era: 2, Revision: 7})
	s.replace("i-1", mirror.Position{Era: 2, Revision: 8})
	if got := s.all(); len(got) != 1 || got[0].Key != "i-2" {
		t.Errorf("after a later report: %v", got)
	}
	s.enterEra(3)
	if got := s.all(); len(got) != 0 {
		t.Errorf("in a later era: %v", got)
	}
}

// TestStaleReportsAreBounded: stale reports must not grow without bound.
func TestStaleReportsAreBounded(t *testing.T) {
	s := newStaleReports()
	for i := range 2 * maxStaleReports {
		s.add(fmt.Sprint(i), mirror.Position{Era: 2, Revision: 7})
	}
	if got := len(s.all()); got != maxStaleReports {
		t.Errorf("%d reports, want %d", got, maxStaleReports)
	}
}

// TestStaleReportOfKnownTargetIsIgnored: a host that has not heard that a target left must drop it, whether
// it is told of the stale report before or after it reads the copy.
func TestStaleReportOfKnownTargetIsIgnored(t *testing.T) {
	for _, toldFirst := range []bool{true, false} {
		c := newCluster(t, 2, 0)
		h := c.newStoppedHost("front-0")
		older := c.store.Snapshot()
		requireRead(t, h, adapter.TargetTable)
		row, _ := c.store.Get(adapter.TargetTable, "i-1")
		c.store.Restore(older)
		tell := func() {
			h.ignoreStale([]partner.StaleRecord{{Key: "i-1", Era: c.store.Era(), Revision: row.RowVersion}})
		}
		if toldFirst {
			tell()
		}
		requireRead(t, h, adapter.TargetTable)
		if !toldFirst {
			tell()
		}
		if n := h.fleet.Size(); n != 1 {
			t.Errorf("told first %t: %d targets, want the one that has not left", toldFirst, n)
		}
	}
}

// TestLiveTargetMissingInOneCopyStaysElsewhere: a host that dropped a live target, since an older copy of the
// store lacked it, must not make other hosts drop it when a newer copy has its report.
func TestLiveTargetMissingInOneCopyStaysElsewhere(t *testing.T) {
	c := newCluster(t, 1, 0)
	without := c.store.Snapshot()
	c.addTarget("i-1")
	with := c.store.Snapshot()
	dropper, user, starter := c.newStoppedHost("front-a"), c.newStoppedHost("front-b"), c.newStoppedHost("front-c")
	requireRead(t, dropper, adapter.TargetTable)
	requireRead(t, user, adapter.TargetTable)
	c.store.Restore(without)
	requireRead(t, dropper, adapter.TargetTable)
	dropper.removeExpired(time.Now().Add(missingReportHold))
	c.store.Restore(with)
	for _, h := range []*Host{dropper, user, starter} {
		requireRead(t, h, adapter.TargetTable)
	}
	for _, h := range []*Host{user, starter} {
		h.ignoreStale(dropper.stale.all())
		if n := h.fleet.Size(); n != 2 {
			t.Errorf("%s has %d targets, want 2", h.self.Name, n)
		}
	}
}
