// Package crash counts how many targets crashed while they ran a request, summed over all
// hosts, so that no host sends a request again that has reached the limit.
//
// The counts of different hosts are added; of two reports of the same host the larger
// count is kept. So the order and repetition of reports do not matter.
package crash

import (
	"sync"
	"time"
)

const (
	// MaxCrashes is the number of crashes at which a request reaches the limit, so that no
	// host sends it again.
	MaxCrashes = 3
	// retention is how long the counts of a request apply after they last changed on this
	// host. Expired counts are removed when a new one arrives or space is needed.
	retention = 2 * time.Minute
	// maxRequests bounds the requests with counts.
	maxRequests = 2000
	// maxReported bounds the counts in one report.
	maxReported = 64
)

// Count is the number of crashes that one host observed for one request.
type Count struct {
	Fingerprint uint64
	// Host identifies an incarnation of a host.
	Host    string
	Crashes int
}

// Counts holds the crash counts of requests. It is safe for concurrent use.
type Counts struct {
	// OnLimitReached is called for each request that reaches the limit. It is set before
	// the first use of Counts and may be nil.
	OnLimitReached func(fingerprint uint64, crashes int)

	host string

	mu       sync.Mutex
	requests map[uint64]*requestCounts
}

type requestCounts struct {
	byHost    map[string]int
	changedAt time.Time
}

// New returns empty counts of a host. host must differ between incarnations.
func New(host string) *Counts {
	return &Counts{host: host, requests: make(map[uint64]*requestCounts)}
}

// RecordCrash records that a target crashed while it ran a request, and returns the total.
func (c *Counts) RecordCrash(fingerprint uint64, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requestCountsFor(fingerprint, now)
	before := r.total()
	r.byHost[c.host]++
	r.changedAt = now
	c.notifyIfLimitReached(fingerprint, before, r)
	return r.total()
}

// notifyIfLimitReached calls the callback if a request's total has just reached the limit.
func (c *Counts) notifyIfLimitReached(fingerprint uint64, before int, r *requestCounts) {
	if total := r.total(); before < MaxCrashes && total >= MaxCrashes && c.OnLimitReached != nil {
		c.OnLimitReached(fingerprint, total)
	}
}

// RecordSuccess records that a target responded to a request. That shows that the request
// does not crash targets, so its counts are cleared.
func (c *Counts) RecordSuccess(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, fingerprint)
}

// LimitReached reports whether a request has reached the limit of crashes.
func (c *Counts) LimitReached(fingerprint uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[fingerprint]
	return r != nil && !r.expired(now) && r.total() >= MaxCrashes
}

// Merge merges the counts of other hosts.
func (c *Counts) Merge(counts []Count, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range counts {
		if other.Host == c.host {
			continue
		}
		r := c.requestCountsFor(other.Fingerprint, now)
		if other.Crashes > r.byHost[other.Host] {
			before := r.total()
			r.byHost[other.Host] = other.Crashes
			r.changedAt = now
			c.notifyIfLimitReached(other.Fingerprint, before, r)
		}
	}
}

// Recent returns counts that changed within a duration, at most maxReported.
func (c *Counts) Recent(within time.Duration, now time.Time) []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts []Count
	for fingerprint, r := range c.requests {
		if now.Sub(r.changedAt) > within {
			continue
		}
		for host, n := range r.byHost {
			if len(counts) == maxReported {
				return counts
			}
			counts = append(counts, Count{Fingerprint: fingerprint, Host: host, Crashes: n})
		}
	}
	return counts
}

// requestCountsFor returns the counts of a request. Counts that are new or have expired
// start empty.
func (c *Counts) requestCountsFor(fingerprint uint64, now time.Time) *requestCounts {
	r := c.requests[fingerprint]
	if r == nil || r.expired(now) {
		delete(c.requests, fingerprint)
		c.evict(now)
		r = &requestCounts{byHost: make(map[string]int)}
		c.requests[fingerprint] = r
		r.changedAt = now
	}
	return r
}

// evict makes space for a request when maxRequests is reached: it removes all expired
// counts and, as long as there is no space, unexpired ones in any order.
func (c *Counts) evict(now time.Time) {
	if len(c.requests) < maxRequests {
		return
	}
	for fingerprint, r := range c.requests {
		if r.expired(now) || len(c.requests) >= maxRequests {
			delete(c.requests, fingerprint)
		}
	}
}

func (r *requestCounts) expired(now time.Time) bool { return now.Sub(r.changedAt) >= retention }

func (r *requestCounts) total() int {
	total := 0
	for _, n := range r.byHost {
		total += n
	}
	return total
}
