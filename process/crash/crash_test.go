package crash

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestCrashesOfSeveralHostsAddUp: crashes observed by three hosts must add up, and
// repeated reports must not be counted twice.
func TestCrashesOfSeveralHostsAddUp(t *testing.T) {
	hosts := []*Counts{New("a"), New("b"), New("c")}
	for i, h := range hosts {
		if h.LimitReached(7, start) {
			t.Errorf("limit reached after %d crashes", i)
		}
		h.RecordCrash(7, start)
		for _, other := range hosts {
			for range 2 { // a repeated report must not be counted twice
				other.Merge(h.Recent(time.Minute, start), start)
			}
		}
	}
	for i, h := range hosts {
		if !h.LimitReached(7, start) {
			t.Errorf("host %d does not report the limit as reached after three crashes", i)
		}
		if h.LimitReached(8, start) {
			t.Errorf("host %d reports the limit as reached for another request", i)
		}
	}
}

// TestSuccessClearsCounts: a request that only ran on the same targets as one that crashes
// them must be cleared by a success.
func TestSuccessClearsCounts(t *testing.T) {
	c := New("a")
	c.RecordCrash(7, start)
	c.RecordCrash(7, start)
	c.RecordSuccess(7)
	if c.RecordCrash(7, start) != 1 || c.LimitReached(7, start) {
		t.Error("crashes before a success still count")
	}
}

// TestCountsAreBounded: the number of requests with counts must stay bounded, and counts
// must expire.
func TestCountsAreBounded(t *testing.T) {
	c := New("a")
	for i := range 3 * maxRequests {
		c.RecordCrash(uint64(i), start)
	}
	if n := len(c.requests); n > maxRequests {
		t.Errorf("counts of %d requests are kept", n)
	}
	for range MaxCrashes {
		c.RecordCrash(1, start)
	}
	if c.LimitReached(1, start.Add(retention)) {
		t.Error("the limit still counts as reached after the retention")
	}
}

// TestOnLimitReachedIsCalledOnce: the callback must be called once when a request reaches
// the limit, and not again for later crashes.
func TestOnLimitReachedIsCalledOnce(t *testing.T) {
	c := New("a")
	calls := 0
	c.OnLimitReached = func(fingerprint uint64, crashes int) {
		calls++
		if fingerprint != 7 || crashes != MaxCrashes {
			t.Errorf("callback called for request %d with %d crashes", fingerprint, crashes)
		}
	}
	c.Merge([]Count{{Fingerprint: 7, Host: "b", Crashes: MaxCrashes - 1}}, start)
	for range 3 {
		c.RecordCrash(7, start)
	}
	if calls != 1 {
		t.Errorf("callback called %d times", calls)
	}
}

// TestExpiredCountsDoNotAddUp: crashes from before the retention must not add to later ones,
// neither on the host that saw them nor on others, and the limit must be reported anew.
func TestExpiredCountsDoNotAddUp(t *testing.T) {
	a, b := New("a"), New("b")
	calls := 0
	a.OnLimitReached = func(uint64, int) { calls++ }
	for range MaxCrashes {
		a.RecordCrash(7, start)
	}
	b.Merge(a.Recent(time.Minute, start), start)
	later := start.Add(retention)
	if n := a.RecordCrash(7, later); n != 1 {
		t.Errorf("first crash after the retention: total %d", n)
	}
	b.Merge(a.Recent(time.Minute, later), later)
	if a.LimitReached(7, later) || b.LimitReached(7, later) {
		t.Error("the limit is reached again by one crash")
	}
	if n := b.RecordCrash(7, later); n != 2 {
		t.Errorf("crash on the other host: total %d, want 2", n)
	}
	for range MaxCrashes - 1 {
		a.RecordCrash(7, later)
	}
	if !a.LimitReached(7, later) || calls != 2 {
		t.Errorf("limit reached: %v, reported %d times, want true and 2", a.LimitReached(7, later), calls)
	}
}

// TestCountsOfEarlierIncarnationsExpire: the counts of a host that starts again and again must
// not pile up beyond the retention.
func TestCountsOfEarlierIncarnationsExpire(t *testing.T) {
	c, now := New("a"), start
	for i := range 100 {
		c.Merge([]Count{{Fingerprint: 7, Host: fmt.Sprint("b/", i), Crashes: MaxCrashes}}, now)
		if n := len(c.requests[7].byHost); n != 1 {
			t.Fatalf("after %d starts the counts of %d incarnations are kept", i+1, n)
		}
		now = now.Add(retention)
	}
}
