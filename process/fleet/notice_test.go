package fleet

import (
	"fmt"
	"testing"
	"time"
)

// respond lets a target respond with a notice to a request that was sent at a time.
func respond(f *Fleet, t *Target, n Notice, sent, now time.Time) {
	f.Lock()
	number := f.Begin(t, Work{}, sent)
	f.Unlock()
	f.End(t, number, Outcome{Notice: n}, now)
}

// TestTargetThatSaidItLeavesStaysUnused: a target that has said that it is leaving must not be used again
// whatever its reports say and also after its report was missing, until it has started again.
func TestTargetThatSaidItLeavesStaysUnused(t *testing.T) {
	next := func(sequence int64) Entry { return entry("t", func(e *Entry) { e.Sequence = sequence }) }
	for name, test := range map[string]struct {
		then func(*Fleet)
		used bool
	}{
		"nothing else":              {func(*Fleet) {}, false},
		"a response without notice": {func(f *Fleet) { respond(f, first(f), Notice{}, start, start) }, false},
		"its next report":           {func(f *Fleet) { f.Upsert(next(2), start) }, false},
		"its report returns":        {func(f *Fleet) { f.Remove("t", start, 0); f.Upsert(next(2), start) }, false},
		"its report was invalid":    {func(f *Fleet) { f.Discard("t", start); f.Upsert(next(1), start) }, false},
		"another address": {func(f *Fleet) {
			f.Upsert(entry("t", func(e *Entry) { e.Sequence, e.Addr = 2, "127.0.0.1:2" }), start)
		}, false},
		"its next start": {func(f *Fleet) {
			f.Upsert(entry("t", func(e *Entry) { e.Born, e.Sequence = 20, 0 }), start)
		}, true},
		"its next start after a removal": {func(f *Fleet) {
			f.Remove("t", start, 0)
			f.Upsert(entry("t", func(e *Entry) { e.Born, e.Sequence = 20, 0 }), start)
		}, true},
	} {
		f := newFleet()
		f.Upsert(next(1), start)
		respond(f, first(f), Notice{Leaving: true}, start, start)
		test.then(f)
		if got := len(usable(f, start.Add(time.Minute))) == 1; got != test.used {
			t.Errorf("%s: used %v, want %v", name, got, test.used)
		}
	}
}

// TestHealthCheckShowsLeaving: a target that says in a health check that it is leaving must not be used,
// and one that is not the expected one must not count.
func TestHealthCheckShowsLeaving(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		f := newFleet()
		f.Upsert(entry("t", nil), start)
		f.MarkDown(first(f), start)
		now := start.Add(time.Second)
		f.RecordCheck(f.DueChecks(now)[0], Health{Reachable: reachable, Notice: Notice{Leaving: true}}, now)
		if got := first(f).Leaving; got != reachable {
			t.Errorf("leaving is %v, want %v", got, reachable)
		}
	}
}

// TestKeptNoticesAreBounded: the notices of removed targets must not grow without bound, and old ones
// give way.
func TestKeptNoticesAreBounded(t *testing.T) {
	k := make(keptNotices)
	add := func(id string, now time.Time) {
		k.add(&Target{Entry: Entry{ID: id, Born: 1}, notices: notices{leaving: true}}, now)
	}
	for i := range 2 * maxKeptNotices {
		add(fmt.Sprint(i), start)
	}
	if len(k) != maxKeptNotices {
		t.Errorf("%d kept, want %d", len(k), maxKeptNotices)
	}
	add("late", start.Add(2*noticeRetention))
	if len(k) != 1 {
		t.Errorf("%d kept after their retention, want 1", len(k))
	}
}
