package place

import (
	"math"
	"time"

	"quetzalknot/process/fleet"
	"quetzalknot/version/routes"
)

// profile holds the running means of a route's requests.
type profile struct {
	uncached, cached time.Duration
	// request and response are the mean sizes of bodies, in bytes.
	request, response float64
	// objectCached is true when this host recently sent the request's object to a target
	// that is still usable.
	objectCached bool
	// measured is true once a run time has been observed.
	measured bool
}

// minUncachedCost returns a lower bound of the cost of a target that does not have the
// object cached and gets no newTargetBonus.
func (p *profile) minUncachedCost() time.Duration {
	uncached := math.Sqrt(minSlowdown) * float64(p.uncached)
	return time.Duration(uncached + uncachedPenalty*float64(p.uncached-p.cached))
}

// profile returns a copy of the route's profile, which starts with assumed run times.
func (c *Chooser) profile(r *routes.Route) profile {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.profiles[r.Name]
	if p == nil {
		uncached := initialRunTime(r)
		p = &profile{uncached: uncached, cached: time.Duration(initialCachedRatio * float64(uncached)), response: 4000}
		c.profiles[r.Name] = p
	}
	return *p
}

// initialRunTime is the assumed uncached run time of a route until run times have been
// observed. It is at most half of the timeout, because operators set timeouts to at least
// twice the usual run time.
func initialRunTime(r *routes.Route) time.Duration {
	run := r.Objective
	if run == 0 {
		run = time.Second
	}
	if r.Timeout > 0 {
		run = min(run, r.Timeout/2)
	}
	return run
}

// Done records the outcome of a request at the target of a choice. responseBytes is the
// size of the response body.
func (c *Chooser) Done(choice Choice, route *routes.Route, o fleet.Outcome, responseBytes int, now time.Time) {
	c.fleet.End(choice.Target, choice.number, o, now)
	if o.Shed {
		c.order.RecordShed(choice.class, choice.shed, choice.Wait, now)
	}
	if o.Failed || o.Shed || o.Cancelled {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.profiles[route.Name]
	if p == nil {
		return
	}
	p.response += sampleWeight * (float64(responseBytes) - p.response)
	p.request += sampleWeight * (float64(choice.bytes) - p.request)
	if choice.Wait > 0 {
		return
	}
	run := max(0, o.Latency-choice.rtt)
	if o.Load != nil && o.Load.RunFactor > 0 {
		run = time.Duration(float64(run) / o.Load.RunFactor)
	}
	mean := &p.uncached
	if choice.Cached {
		mean = &p.cached
	}
	p.measured = true
	run = min(run, 3**mean)
	*mean += time.Duration(sampleWeight * float64(run-*mean))
}
