// Package crash counts how many targets crashed while they ran a request, summed over all
// hosts, so that no host sends a request again that has reached the limit.
//
// A request is identified by all that a target sees of it: its resource (what is asked for) and its variant
// (the other header fields). A request at the limit is refused. While crashes of several variants of a resource add up to
// the limit, variants that no target has answered are refused as well, since a client may vary header fields.
//
// crash.go counts, resource.go adds up variants, answered.go knows the variants that were answered, report.go exchanges
// the counts with other hosts, trial.go allows few trials of refused requests, space.go bounds the memory.
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
	maxCounted = MaxCrashes + maxResends
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
	// OnRise is called when a request, or the variants of a resource together, come near the limit or
	// beyond, so that other hosts are told at once. It is set before the first use of Counts and may be nil.
	OnRise func()
	// MayTry reports whether this host is the one that tries a request at the limit, by its fingerprint, or the
	// variants of a resource. It is set before the first use of Counts; nil means that it always is.
	MayTry func(key uint64) bool

	mu       sync.Mutex
	requests map[uint64]*requestCounts
	// resources holds the resources of all requests.
	resources map[uint32]*resource
	answered  answeredTable
	// changes counts the changes of counts, so that what was derived from them is known to be current.
	changes uint64
	// explained holds the incarnations whose crashes requests at the limit explain.
	explained      map[string]bool
	explainedState derivation
}

// Crash is a crash of an incarnation of a target while it ran a request.
type Crash struct {
	Target string
	// Request is the id that the caller gave the request.
	Request string
	// Caller is a hash of the caller's network address. It does not identify the request.
	Caller uint16
}

// requestCounts are the counts of a request by the incarnation of the target.
type requestCounts struct {
	byTarget  map[string]targetCount
	changedAt time.Time
	// trials is the number of trials that this host has made since the limit was reached, the last one
	// at triedAt.
	trials  int
	triedAt time.Time
	// caller is that of the first crash; 0 if it is unknown.
	caller uint16
}

// targetCount is how often an incarnation crashed, how many of these crashes were cleared, when the
// first number last rose on this host, and the id of the request that crashed it last, if that is known.
type targetCount struct {
	crashes, cleared int
	at               time.Time
	request          string
}

// New returns empty counts.
func New() *Counts {
	return &Counts{requests: make(map[uint64]*requestCounts), resources: make(map[uint32]*resource)}
}

// RecordCrash records a crash and returns the total of the request.
func (c *Counts) RecordCrash(fingerprint uint64, crash Crash, now time.Time) int {
	change := c.recordCrash(fingerprint, crash, now)
	c.notify(fingerprint, change)
	return change.after
}

// change is the total of a request before and after a change, and whether OnRise is to be called.
type change struct {
	before, after int
	urgent        bool
}

// changeOf returns the change of a request that had a total before. mu must be held.
func (c *Counts) changeOf(fingerprint uint64, r *requestCounts, before int, now time.Time) change {
	total := r.total()
	near := total >= MaxCrashes-1 || c.variantCrashes(c.resources[resourceOf(fingerprint)], now) >= MaxCrashes-1
	return change{before: before, after: total, urgent: near && total > before}
}

// recordCrash is RecordCrash without the notification.
func (c *Counts) recordCrash(fingerprint uint64, crash Crash, now time.Time) change {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requestCountsFor(fingerprint, now)
	r.learnCaller(crash.Caller)
	t := r.byTarget[crash.Target]
	before := r.total()
	if before >= maxCounted || (t.crashes > 0 && now.Sub(t.at) < sameCrash) {
		return change{before: before, after: before}
	}
	t.crashes, t.at, t.request = t.crashes+1, now, crash.Request[:min(len(crash.Request), maxID)]
	r.set(crash.Target, t, now)
	c.changes++
	return c.changeOf(fingerprint, r, before, now)
}

// learnCaller keeps the first caller that is known.
func (r *requestCounts) learnCaller(caller uint16) {
	if r.caller == 0 {
		r.caller = caller
	}
}

// notify calls the callbacks for a change of a request. mu must not be held.
func (c *Counts) notify(fingerprint uint64, x change) {
	if x.before < MaxCrashes && x.after >= MaxCrashes && c.OnLimitReached != nil {
		c.OnLimitReached(fingerprint, x.after)
	}
	if x.urgent && c.OnRise != nil {
		c.OnRise()
	}
}

// RecordSuccess records that a target responded to a request. That shows that the request
// does not crash targets, so its counts are cleared, here and at the other hosts.
func (c *Counts) RecordSuccess(fingerprint uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered.record(fingerprint, now)
	c.endTrial(fingerprint)
	r := c.requests[fingerprint]
	if r == nil || r.total() == 0 {
		c.recordAnswer(fingerprint, now)
		return
	}
	for target, t := range r.byTarget {
		t.cleared = t.crashes
		r.set(target, t, now)
	}
	c.changes++
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

// Describe returns the incarnations whose crashes count for a request at the limit, else for all variants of its
// resource, each with the id of the request that crashed it and the time since then.
func (c *Counts) Describe(fingerprint uint64, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var crashes []string
	if r := c.atLimit(fingerprint, now); r != nil {
		crashes = r.describe(crashes, now)
	} else if res := c.resources[resourceOf(fingerprint)]; res != nil {
		for _, variant := range res.variants {
			crashes = c.requests[variant].describe(crashes, now)
		}
	}
	slices.Sort(crashes)
	return strings.Join(slices.Compact(crashes), ", ")
}

// describe appends a text for each incarnation whose crashes count.
func (r *requestCounts) describe(to []string, now time.Time) []string {
	for target, t := range r.byTarget {
		if t.crashes > t.cleared {
			to = append(to, fmt.Sprintf("%s by %q %v ago", target, t.request, now.Sub(t.at).Round(time.Second)))
		}
	}
	return to
}

// requestCountsFor returns the counts of a request. Counts that are new or have expired
// start empty.
func (c *Counts) requestCountsFor(fingerprint uint64, now time.Time) *requestCounts {
	r := c.requests[fingerprint]
	if r == nil || r.expired(now) {
		c.remove(fingerprint)
		c.makeSpace(now)
		r = &requestCounts{byTarget: make(map[string]targetCount), changedAt: now}
		c.requests[fingerprint] = r
		c.addVariant(fingerprint)
	}
	return r
}

// remove forgets a request.
func (c *Counts) remove(fingerprint uint64) {
	if c.requests[fingerprint] == nil {
		return
	}
	delete(c.requests, fingerprint)
	c.removeVariant(fingerprint)
	c.changes++
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
