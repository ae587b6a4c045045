package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxShortReport and maxReport are about how many counts a report of recent changes and one of all counts have
	// at most.
	maxShortReport = 64
	maxReport      = 512
	// maxID is the longest id of a request, in bytes, that is kept.
	maxID = 64
	// maxStated is the largest count that is accepted from another host.
	maxStated = 1 << 20
)

// Count is how often an incarnation of a target crashed while it ran a request, or, negative, how many
// of these crashes were cleared.
type Count struct {
	Fingerprint uint64
	// Target is the incarnation. Earlier releases state that of the host that observed the crashes.
	Target  string `cbor:"Host"`
	Crashes int
	// Request is the id of a request that crashed the incarnation. Earlier releases and short heartbeats state
	// none.
	Request string `cbor:",omitempty"`
	// Age is the time since the counts of the request last changed. Earlier releases and short
	// heartbeats state none.
	Age time.Duration `cbor:",omitempty"`
	// Caller is that of the request's first crash. Earlier releases and short heartbeats state none.
	Caller uint16 `cbor:",omitempty"`
}

// Merge merges the counts of other hosts.
func (c *Counts) Merge(counts []Count, now time.Time) {
	for _, other := range counts {
		c.notify(other.Fingerprint, c.merge(other, now))
	}
}

// merge merges a count.
func (c *Counts) merge(other Count, now time.Time) change {
	age := max(0, other.Age)
	if other.Crashes == 0 || max(other.Crashes, -other.Crashes) > maxStated || age >= limitAge {
		return change{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requestCountsFor(other.Fingerprint, now)
	r.learnCaller(other.Caller)
	t := r.byTarget[other.Target]
	before := r.total()
	id := other.Request[:min(len(other.Request), maxID)]
	switch {
	case other.Crashes > t.crashes:
		t.crashes, t.at, t.request = other.Crashes, now.Add(-age), id
		if !c.answered.since(other.Fingerprint).Before(t.at.Add(-reportDelay)) {
			t.cleared = t.crashes // an answer came here meanwhile, so the request was only beside the one at fault
		}
	case -other.Crashes > t.cleared:
		t.cleared = -other.Crashes
	case t.crashes > 0 && t.request == "":
		t.request = id
		r.byTarget[other.Target] = t
		return change{before: before, after: before}
	default:
		return change{before: before, after: before}
	}
	r.set(other.Target, t, now.Add(-age))
	c.changes++
	return c.changeOf(other.Fingerprint, r, before, now)
}

// Recent returns counts that changed within a duration, about maxShortReport at most.
func (c *Counts) Recent(within time.Duration, now time.Time) []Count {
	return c.report(maxShortReport, now, func(r *requestCounts) bool { return now.Sub(r.changedAt) <= within })
}

// All returns the counts that apply, about maxReport at most.
func (c *Counts) All(now time.Time) []Count {
	return c.report(maxReport, now, func(r *requestCounts) bool { return !r.expired(now) })
}

// report returns the counts of the requests that are wanted, those with the most crashes up to the limit first and the newest
// first of each, until there are at least most.
func (c *Counts) report(most int, now time.Time, wanted func(*requestCounts) bool) []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	var order []candidate
	for fingerprint, r := range c.requests {
		if wanted(r) {
			order = append(order, candidate{fingerprint: fingerprint, total: r.total(), changedAt: r.changedAt})
		}
	}
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(min(b.total, MaxCrashes), min(a.total, MaxCrashes)), b.changedAt.Compare(a.changedAt), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	var counts []Count
	for _, x := range order {
		if len(counts) >= most {
			break
		}
		counts = append(counts, c.requests[x.fingerprint].report(x.fingerprint, now)...)
	}
	return counts
}

// report returns the counts of a request.
func (r *requestCounts) report(fingerprint uint64, now time.Time) []Count {
	var counts []Count
	for target, t := range r.byTarget {
		for _, n := range []int{t.crashes, -t.cleared} {
			if n != 0 {
				counts = append(counts, Count{Fingerprint: fingerprint, Target: target, Crashes: n, Request: t.request, Age: now.Sub(r.changedAt), Caller: r.caller})
			}
		}
	}
	return counts
}
