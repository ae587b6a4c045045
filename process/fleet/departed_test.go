package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestOldReportOfDepartedTarget: in a restored store the last report of a removed target, and older
// ones, must not bring it back; a newer one, or a new start, must, and so must any report that is
// written later.
func TestOldReportOfDepartedTarget(t *testing.T) {
	now := time.Now()
	last := Entry{ID: "i-1", Service: "s", Addr: "192.0.2.1:80", Slots: 1, Born: 5, Sequence: 7}
	for name, test := range map[string]struct {
		born, sequence int64
		back           bool
	}{
		"the last report":             {5, 7, false},
		"an older report":             {5, 3, false},
		"a report of an older start":  {4, 9, false},
		"a newer report":              {5, 8, true},
		"the first of another start":  {6, 1, true},
		"a start without known times": {0, 1, false},
	} {
		f := New(zerolog.Nop(), SingleHost{})
		f.Upsert(last, now)
		f.Remove("i-1", now, 0)
		again := last
		again.Born, again.Sequence = test.born, test.sequence
		f.UpsertRestored(again, now)
		if got := f.Size() == 1; got != test.back {
			t.Errorf("%s: target is back %v, want %v", name, got, test.back)
		}
		f.Upsert(last, now)
		if f.Size() != 1 {
			t.Errorf("%s: a report that was written later does not bring the target back", name)
		}
	}
}

// TestInvalidReportIsNoDeparture: after an invalid report, which another writer made, the target's
// own report must bring it back, also an unchanged one.
func TestInvalidReportIsNoDeparture(t *testing.T) {
	now := time.Now()
	e := Entry{ID: "i-1", Service: "s", Addr: "192.0.2.1:80", Slots: 1, Born: 5, Sequence: 7}
	f := New(zerolog.Nop(), SingleHost{})
	f.Upsert(e, now)
	f.Discard("i-1", now)
	f.Upsert(e, now)
	if f.Size() != 1 {
		t.Error("the target is not back")
	}
}

// TestDeparturesAreBounded: departures must not grow without bound, and old ones give way.
func TestDeparturesAreBounded(t *testing.T) {
	now := time.Now()
	d := make(departures)
	for i := range 2 * maxDepartures {
		d.add(Entry{ID: fmt.Sprint(i), Born: 1}, true, now)
	}
	if len(d) != maxDepartures {
		t.Errorf("%d departures, want %d", len(d), maxDepartures)
	}
	d.add(Entry{ID: "late", Born: 1}, true, now.Add(2*departureRetention))
	if len(d) != 1 {
		t.Errorf("%d departures after their retention, want 1", len(d))
	}
}
