package crash

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestCrashesOfSeveralHostsAddUp: crashes observed by three hosts must add up, and
// repeated reports must not be counted twice.
func TestCrashesOfSeveralHostsAddUp(t *testing.T) {
	hosts := []*Counts{New("a"), New("b"), New("c")}
	for i, h := range hosts {
		if h.Stopped(7, start) {
			t.Errorf("stopped after %d crashes", i)
		}
		h.Crashed(7, start)
		for _, other := range hosts {
			for range 2 { // a repeated report must not be counted twice
				other.Merge(h.Recent(time.Minute, start), start)
			}
		}
	}
	for i, h := range hosts {
		if !h.Stopped(7, start) {
			t.Errorf("host %d does not stop the request after three crashes", i)
		}
		if h.Stopped(8, start) {
			t.Errorf("host %d stops another request", i)
		}
	}
}

// TestInnocentRequestIsCleared: a request that only ran at the same time as one that
// crashes targets must be cleared by a success.
func TestInnocentRequestIsCleared(t *testing.T) {
	c := New("a")
	c.Crashed(7, start)
	c.Crashed(7, start)
	c.Succeeded(7)
	if c.Crashed(7, start) != 1 || c.Stopped(7, start) {
		t.Error("crashes before a success still count")
	}
}

// TestCountsAreBounded: the number of requests with counts must stay bounded, and counts
// must expire.
func TestCountsAreBounded(t *testing.T) {
	c := New("a")
	for i := range 3 * maxRequests {
		c.Crashed(uint64(i), start)
	}
	if n := len(c.requests); n > maxRequests {
		t.Errorf("counts of %d requests are kept", n)
	}
	for range Limit {
		c.Crashed(1, start)
	}
	if c.Stopped(1, start.Add(retention)) {
		t.Error("a request is still stopped after the retention")
	}
}

// TestStopIsToldOnce: the callback must be called once when a request reaches the limit,
// and not again.
func TestStopIsToldOnce(t *testing.T) {
	c := New("a")
	calls := 0
	c.OnStop = func(fingerprint uint64, crashes int) {
		calls++
		if fingerprint != 7 || crashes != Limit {
			t.Errorf("callback called for request %d with %d crashes", fingerprint, crashes)
		}
	}
	c.Merge([]Count{{Fingerprint: 7, Host: "b", Crashes: Limit - 1}}, start)
	for range 3 {
		c.Crashed(7, start)
	}
	if calls != 1 {
		t.Errorf("callback called %d times", calls)
	}
}
