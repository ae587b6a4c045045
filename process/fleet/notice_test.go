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

// TestKeptNoticesAreBounded: the notices of removed targets must not grow without bound; the oldest give way.
func TestKeptNoticesAreBounded(t *testing.T) {
	k := newKeptNotices()
	for i := range 2 * maxKeptNotices {
		k.add(&Target{Entry: Entry{ID: fmt.Sprint(i), Born: 1}, notices: notices{leaving: true}})
	}
	if n := k.targets.Len(); n != maxKeptNotices {
		t.Errorf("%d kept, want %d", n, maxKeptNotices)
	}
	for id, want := range map[int]bool{0: false, maxKeptNotices - 1: false, maxKeptNotices: true, 2*maxKeptNotices - 1: true} {
		if got := k.take(Entry{ID: fmt.Sprint(id), Born: 1}).leaving; got != want {
			t.Errorf("target %d is kept: %v, want %v", id, got, want)
		}
	}
}

// TestPauseOfTarget: a target must get neither requests nor health checks while it asks for a pause, a later and
// shorter one must not end it, and callers must learn when the first target accepts requests again.
func TestPauseOfTarget(t *testing.T) {
	f := newFleet()
	f.Upsert(entry("t", nil), start)
	f.Upsert(entry("other", nil), start)
	pause := func(index int, d time.Duration, now time.Time) {
		f.Lock()
		target := f.Service("bokun")[index]
		f.Unlock()
		respond(f, target, Notice{Pause: d}, now, now)
	}
	pause(0, 10*time.Second, start)
	pause(0, time.Second, seconds(1))
	pause(0, 0, seconds(1))
	if left := f.PauseLeft("bokun", seconds(2)); left != 0 {
		t.Errorf("callers are asked to wait %v for a service with a target without a pause", left)
	}
	f.MarkDown(first(f), start)
	if n := len(f.DueChecks(seconds(9))); n != 0 {
		t.Errorf("%d health checks in the pause", n)
	}
	f.RecordCheck(f.DueChecks(seconds(10))[0], Health{Reachable: true, Healthy: true}, seconds(10))
	pause(0, 5*time.Second, seconds(10))
	pause(1, 3*time.Second, seconds(10))
	if ids := usable(f, seconds(12)); len(ids) > 0 {
		t.Errorf("%v are used in their pauses", ids)
	}
	if left := f.PauseLeft("bokun", seconds(12)); left != time.Second {
		t.Errorf("callers are asked to wait %v, want 1s", left)
	}
	if ids := usable(f, seconds(13)); len(ids) != 1 || ids[0] != "other" {
		t.Errorf("%v are used, want the one whose pause has ended", ids)
	}
	f.Discard("t", seconds(13))
	f.Upsert(entry("t", nil), seconds(13))
	if n := len(usable(f, seconds(14))); n != 1 {
		t.Error("the pause has ended with the target's report")
	}
	if n := len(usable(f, seconds(15))); n != 2 {
		t.Error("the pause has no end")
	}
}
