// Package crash counts the targets that crashed while they ran a request, over all
// hosts, so that no host sends it on once too many did.
//
// Counts of different hosts add up; those of one host are merged by the larger one, so
// that the order and the repetition of reports do not matter.
package crash

import (
	"sync"
	"time"
)

const (
	// Limit is how many crashes stop a request.
	Limit = 3
	// keep is how long a request without new crashes is remembered.
	keep = 2 * time.Minute
	// countsLimit bounds the remembered requests.
	countsLimit = 2000
	// reportLimit bounds the counts in one report.
	reportLimit = 64
)

// Count is the crashes that one host saw of one request.
type Count struct {
	Fingerprint uint64
	Host        string
	Crashes     int
}

// Counts knows the requests that crashed targets. It is safe for concurrent use.
type Counts struct {
	// OnStop is told of each request that has crashed too many targets. It is set before
	// the first call. May be nil.
	OnStop func(fingerprint uint64, crashes int)

	host string

	mu       sync.Mutex
	requests map[uint64]*requestCounts
}

type requestCounts struct {
	byHost map[string]int
	at     time.Time
}

// New returns empty counts of a host. The name differs between incarnations.
func New(host string) *Counts {
	return &Counts{host: host, requests: make(map[uint64]*requestCounts)}
}

// Crashed notes that a target crashed while it ran a request, and returns the total.
func (c *Counts) Crashed(fingerprint uint64, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.request(fingerprint, now)
	before := r.total()
	r.byHost[c.host]++
	r.at = now
	c.crossed(fingerprint, before, r)
	return r.total()
}

// crossed tells of a request whose count reached the limit.
func (c *Counts) crossed(fingerprint uint64, before int, r *requestCounts) {
	if total := r.total(); before < Limit && total >= Limit && c.OnStop != nil {
		c.OnStop(fingerprint, total)
	}
}

// Succeeded notes that a target answered a request: it does not crash targets.
func (c *Counts) Succeeded(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, fingerprint)
}

// Stopped reports whether a request has crashed too many targets.
func (c *Counts) Stopped(fingerprint uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[fingerprint]
	return r != nil && now.Sub(r.at) < keep && r.total() >= Limit
}

// Merge takes in counts of other hosts.
func (c *Counts) Merge(counts []Count, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range counts {
		if other.Host == c.host {
			continue
		}
		r := c.request(other.Fingerprint, now)
		if other.Crashes > r.byHost[other.Host] {
			before := r.total()
			r.byHost[other.Host] = other.Crashes
			r.at = now
			c.crossed(other.Fingerprint, before, r)
		}
	}
}

// Recent returns the counts that changed within a time, at most reportLimit.
func (c *Counts) Recent(within time.Duration, now time.Time) []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts []Count
	for fingerprint, r := range c.requests {
		if now.Sub(r.at) > within {
			continue
		}
		for host, n := range r.byHost {
			if len(counts) == reportLimit {
				return counts
			}
			counts = append(counts, Count{Fingerprint: fingerprint, Host: host, Crashes: n})
		}
	}
	return counts
}

func (c *Counts) request(fingerprint uint64, now time.Time) *requestCounts {
	r := c.requests[fingerprint]
	if r == nil {
		c.makeRoom(now)
		r = &requestCounts{byHost: make(map[string]int)}
		c.requests[fingerprint] = r
		r.at = now
	}
	return r
}

func (c *Counts) makeRoom(now time.Time) {
	if len(c.requests) < countsLimit {
		return
	}
	for fingerprint, r := range c.requests {
		if now.Sub(r.at) > keep || len(c.requests) >= countsLimit {
			delete(c.requests, fingerprint)
		}
	}
}

func (r *requestCounts) total() int {
	total := 0
	for _, n := range r.byHost {
		total += n
	}
	return total
}
