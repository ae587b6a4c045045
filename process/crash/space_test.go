package crash

import (
	"testing"
	"time"
)

// TestCallerDrivesOutNoOther: a caller that varies its requests so as to fill the memory of counts must not
// make the hosts forget the requests of others, at the limit or below, and the memory stays bounded.
func TestCallerDrivesOutNoOther(t *testing.T) {
	c, now := New(), start
	for i := range uint64(20) { // one request each of 20 callers
		reachLimit(c, Fingerprint(i, 1<<20), now)
		c.RecordCrash(Fingerprint(100+i, 1<<20), incarnation(1), "r1", now)
	}
	for i := range uint64(5 * maxRequests) {
		now = now.Add(time.Millisecond)
		f := Fingerprint(50, i<<20)
		c.RecordCrash(f, incarnation(1), "r1", now)
		if i%3 == 0 {
			reachLimit(c, f, now)
		}
		if n := len(c.requests); n > maxRequests {
			t.Fatalf("counts of %d requests are kept", n)
		}
	}
	for i := range uint64(20) {
		if !c.LimitReached(Fingerprint(i, 1<<20), now) {
			t.Errorf("a request of caller %d at the limit is forgotten", i)
		}
		if n := c.RecordCrash(Fingerprint(100+i, 1<<20), incarnation(2), "r1", now); n != 2 {
			t.Errorf("the crash of caller %d below the limit is forgotten: total %d", 100+i, n)
		}
	}
}

// TestSpaceForManyCallers: the memory stays bounded with many callers too; requests at the limit stay longest.
func TestSpaceForManyCallers(t *testing.T) {
	c := New()
	reachLimit(c, Fingerprint(1, 1<<20), start)
	for i := range uint64(2 * maxRequests) {
		c.RecordCrash(Fingerprint(2+i, 1<<20), incarnation(1), "r1", start.Add(time.Second))
	}
	if n := len(c.requests); n > maxRequests || n < maxRequests/2 {
		t.Errorf("counts of %d requests are kept", n)
	}
	if !c.LimitReached(Fingerprint(1, 1<<20), start) {
		t.Error("the request at the limit is forgotten")
	}
}

// TestExpiredCountsMakeSpace: expired counts are removed before others.
func TestExpiredCountsMakeSpace(t *testing.T) {
	c := New()
	for i := range uint64(maxRequests) {
		c.RecordCrash(Fingerprint(i, i<<20), incarnation(1), "r1", start)
	}
	later := start.Add(suspicionAge)
	c.RecordCrash(7, incarnation(1), "r1", later)
	if n := len(c.requests); n != 1 {
		t.Errorf("counts of %d requests are kept, want 1", n)
	}
}
