package crash

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestCrashesOfSeveralHostsAddUp stops a request after crashes that three hosts saw.
func TestCrashesOfSeveralHostsAddUp(t *testing.T) {
	hosts := []*Counts{New("a"), New("b"), New("c")}
	for i, h := range hosts {
		if h.Stopped(7, start) {
			t.Errorf("stopped after %d crashes", i)
		}
		h.Crashed(7, start)
		for _, other := range hosts {
			for range 2 { // repetition does not add
				other.Merge(h.Recent(time.Minute, start), start)
			}
		}
	}
	for i, h := range hosts {
		if !h.Stopped(7, start) {
			t.Errorf("host %d still sends it after three crashes", i)
		}
		if h.Stopped(8, start) {
			t.Errorf("host %d stops another request", i)
		}
	}
}

// TestInnocentRequestIsCleared clears a request that shared targets with one that crashes them.
func TestInnocentRequestIsCleared(t *testing.T) {
	c := New("a")
	c.Crashed(7, start)
	c.Crashed(7, start)
	c.Succeeded(7)
	if c.Crashed(7, start) != 1 || c.Stopped(7, start) {
		t.Error("crashes before a success still count")
	}
}

// TestCountsAreBounded fills the counts and checks that old ones are forgotten.
func TestCountsAreBounded(t *testing.T) {
	c := New("a")
	for i := range 3 * countsLimit {
		c.Crashed(uint64(i), start)
	}
	if n := len(c.requests); n > countsLimit {
		t.Errorf("%d requests are remembered", n)
	}
	for range Limit {
		c.Crashed(1, start)
	}
	if c.Stopped(1, start.Add(keep)) {
		t.Error("a request is stopped for ever")
	}
}

// TestStopIsToldOnce tells of a request when its count reaches the limit, and not again.
func TestStopIsToldOnce(t *testing.T) {
	c := New("a")
	told := 0
	c.OnStop = func(fingerprint uint64, crashes int) {
		told++
		if fingerprint != 7 || crashes != Limit {
			t.Errorf("told of request %d with %d crashes", fingerprint, crashes)
		}
	}
	c.Merge([]Count{{Fingerprint: 7, Host: "b", Crashes: Limit - 1}}, start)
	for range 3 {
		c.Crashed(7, start)
	}
	if told != 1 {
		t.Errorf("told %d times", told)
	}
}
