// Package crash counts how many targets crashed while they ran a request, summed over all
// hosts, so that no host sends a request again that has reached the limit.
//
// crash.go counts, report.go exchanges the counts with other hosts, trial.go allows few trials of a
// request at the limit, space.go bounds the memory.
//
// An incarnation of a target counts once for a request, whichever hosts saw its crash: of two reports
// the larger count is kept. A response to the request shows that it does not crash targets, and clears
// what was counted so far. So the order and repetition of reports do not matter.
package crash

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// MaxCrashes is the number of crashes at which a request reaches the limit, so that no
	// host sends it again.
	MaxCrashes = 3
	// maxCounted is the number of crashes from which on further ones are not counted.
	maxCounted = MaxCrashes + maxTrials
	// suspicionAge is how long the counts of a request below the limit apply after they last changed,
	// and limitAge the same for one at the limit. Expired counts are removed when a new one arrives or
	// space is needed.
	suspicionAge = 30 * time.Minute
	limitAge     = 24 * time.Hour
	// sameCrash is how long after a crash further reports of the same incarnation are taken for that crash,
	// since several requests and hosts see it.
	sameCrash = 2 * time.Second
	// maxTargets bounds the incarnations of targets that are kept for a request.
	maxTargets = 32
)

// Counts holds the crash counts of requests. It is safe for concurrent use.
type Counts struct {
	// OnLimitReached is called for each request that reaches the limit. It may call Counts. It is set
	// before the first use of Counts and may be nil.
	OnLimitReached func(fingerprint uint64, crashes int)
	// MayTry reports whether this host is the one that tries a request at the limit. It is set before the
	// first use of Counts; nil means that it always is.
	MayTry func(fingerprint uint64) bool

	mu       sync.Mutex
	requests map[uint64]*requestCounts
}

// requestCounts are the counts of a request by the incarnation of the target.
type requestCounts struct {
	byTarget  map[string]targetCount
	changedAt time.Time
	// trials is the number of trials that this host has made since the limit was reached, the last one
	// at triedAt.
	trials  int
	triedAt time.Time
}

// targetCount is how often an incarnation crashed, how many of these crashes were cleared, when the
// first number last rose on this host, and the id of the request that crashed it last, if that is known.
type targetCount struct {
	crashes, cleared int
	at               time.Time
	request          string
}

// New returns empty counts.
func New() *Counts { return &Counts{requests: make(map[uint64]*requestCounts)} }

// RecordCrash records that an incarnation of a target crashed while it ran a request, which had an id of its
// caller, and returns the total of the request.
func (c *Counts) RecordCrash(fingerprint uint64, target, id string, now time.Time) int {
	before, after := c.recordCrash(fingerprint, target, id, now)
	c.notifyIfLimitReached(fingerprint, before, after)
	return after
}

// recordCrash is RecordCrash without the notification. It returns the total before and after.
func (c *Counts) recordCrash(fingerprint uint64, target, id string, now time.Time) (before, after int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requestCountsFor(fingerprint, now)
	t := r.byTarget[target]
	before = r.total()
	if before >= maxCounted || (t.crashes > 0 && now.Sub(t.at) < sameCrash) {
		return before, before
	}
	t.crashes, t.at, t.request = t.crashes+1, now, id[:min(len(id), maxID)]
	r.set(target, t, now)
	return before, r.total()
}

// notifyIfLimitReached calls the callback if a request's total has just reached the limit. mu must not be held.
func (c *Counts) notifyIfLimitReached(fingerprint uint64, before, after int) {
	if before < MaxCrashes && after >= MaxCrashes && c.OnLimitReached != nil {
		c.OnLimitReached(fingerprint, after)
	}
}

// RecordSuccess records that a target responded to a request. That shows that the request
// does not crash targets, so its counts are cleared, here and at the other hosts.
func (c *Counts) RecordSuccess(fingerprint uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[fingerprint]
	if r == nil || r.total() == 0 {
		return
	}
	for target, t := range r.byTarget {
		t.cleared = t.crashes
		r.set(target, t, now)
	}
}

// LimitReached reports whether a request has reached the limit of crashes.
func (c *Counts) LimitReached(fingerprint uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.atLimit(fingerprint, now) != nil
}

// atLimit returns the counts of a request that has reached the limit, else nil. mu must be held.
func (c *Counts) atLimit(fingerprint uint64, now time.Time) *requestCounts {
	r := c.requests[fingerprint]
	if r == nil || r.total() < MaxCrashes || r.expired(now) {
		return nil
	}
	return r
}

// Describe returns the incarnations whose crashes count for a request, each with the id of the request that
// crashed it and the time since then.
func (c *Counts) Describe(fingerprint uint64, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[fingerprint]
	if r == nil {
		return ""
	}
	var crashes []string
	for target, t := range r.byTarget {
		if t.crashes > t.cleared {
			crashes = append(crashes, fmt.Sprintf("%s by %q %v ago", target, t.request, now.Sub(t.at).Round(time.Second)))
		}
	}
	slices.Sort(crashes)
	return strings.Join(crashes, ", ")
}

// requestCountsFor returns the counts of a request. Counts that are new or have expired
// start empty.
func (c *Counts) requestCountsFor(fingerprint uint64, now time.Time) *requestCounts {
	r := c.requests[fingerprint]
	if r == nil || r.expired(now) {
		delete(c.requests, fingerprint)
		c.makeSpace(now)
		r = &requestCounts{byTarget: make(map[string]targetCount), changedAt: now}
		c.requests[fingerprint] = r
	}
	return r
}

// set sets the count of an incarnation. Beyond maxTargets an incarnation of which nothing counts is
// forgotten for it, or the oldest one. Below the limit no trials have been made.
func (r *requestCounts) set(target string, t targetCount, changedAt time.Time) {
	if _, known := r.byTarget[target]; !known && len(r.byTarget) >= maxTargets {
		delete(r.byTarget, r.leastUseful())
	}
	if len(r.byTarget) == 0 || changedAt.After(r.changedAt) {
		r.changedAt = changedAt
	}
	r.byTarget[target] = t
	if r.total() < MaxCrashes {
		r.trials = 0
	}
}

// leastUseful returns the incarnation to forget first.
func (r *requestCounts) leastUseful() string {
	first, least := "", targetCount{}
	for target, t := range r.byTarget {
		counts, leastCounts := t.crashes > t.cleared, least.crashes > least.cleared
		if first == "" || (counts == leastCounts && t.at.Before(least.at)) || (!counts && leastCounts) {
			first, least = target, t
		}
	}
	return first
}

func (r *requestCounts) expired(now time.Time) bool {
	age := suspicionAge
	if r.total() >= MaxCrashes {
		age = limitAge
	}
	return now.Sub(r.changedAt) >= age
}

func (r *requestCounts) total() int {
	total := 0
	for _, t := range r.byTarget {
		total += max(0, t.crashes-t.cleared)
	}
	return total
}
