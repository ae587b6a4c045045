package place

import (
	"math"
	"time"

	"quetzalknot/process/fleet"
	"quetzalknot/request/shed"
)

// cost estimates the cost of sending the request to a target.
func (c *Chooser) cost(t *fleet.Target, req *Request, p *profile, ranked *ranking, now time.Time) (time.Duration, Choice) {
	choice := Choice{Target: t, ID: t.ID, Addr: t.Addr}
	pCached := 0.0
	if req.Route.Affinity && req.Object != 0 {
		choice.Cached = t.HasRecentObject(req.Object, now, c.opts.CacheTTL)
		pCached = ranked.cachedProbability(t)
		if p.objectCached && t != ranked.targets[0] {
			pCached *= cachedElsewhereFactor
		}
		if choice.Cached {
			pCached = 1
		}
	}
	slowdown := math.Sqrt(max(minSlowdown, t.RunFactor(now))) * max(1, t.LatencyRatio(now))
	if t.IsCold(now) {
		slowdown *= coldStartFactor
	}
	choice.Wait = t.Wait(now)
	choice.spare = float64(t.Slots) - t.Occupancy(now) - 1
	overhead := choice.Wait + t.RTT
	cached := time.Duration(float64(p.cached) * slowdown)
	uncached := time.Duration(float64(p.uncached) * slowdown)
	choice.baseRunTime = time.Duration(pCached*float64(p.cached) + (1-pCached)*float64(p.uncached))
	choice.RunTime = time.Duration(pCached*float64(cached) + (1-pCached)*float64(uncached))
	choice.Expected = choice.RunTime + overhead
	cost := choice.Expected + c.transferCost(t, float64(req.BodyBytes)+p.response)
	objective := req.Route.Objective
	pLate := pCached*lateProbability(cached+overhead, objective) + (1-pCached)*lateProbability(uncached+overhead, objective)
	cost += time.Duration(pLate * latePenalty * float64(objective))
	cost += time.Duration((1 - pCached) * uncachedPenalty * float64(p.uncached-p.cached))
	cost += time.Duration(t.FailureRate(now) * float64(failurePenalty))
	if overdue := t.TimeWithoutResponse(now) - 2*t.MeanRunTime() - overdueSlack; overdue > 0 {
		cost += overdue
	}
	if req.Route.Idempotent && c.fleet.SendsFirstRequest(t, now) {
		cost -= newTargetBonus
	}
	return cost, choice
}

// lateProbability estimates the probability that a response with an expected time misses
// its objective. It approximates the normal distribution by a logistic function.
func lateProbability(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	x := float64(expected+shed.CallerRTT-objective) / (runTimeSpread*float64(expected) + float64(time.Millisecond))
	return 1 / (1 + math.Exp(-1.7*x))
}

// transferCost returns the price of the bytes sent to and received from a target.
func (c *Chooser) transferCost(t *fleet.Target, bytes float64) time.Duration {
	switch {
	case t.Region != c.opts.Region:
		return time.Duration(bytes / 1000 * float64(c.opts.Costs.CrossRegion))
	case t.FailureDomain != c.opts.FailureDomain:
		return time.Duration(bytes / 1000 * float64(c.opts.Costs.CrossDomain))
	default:
		return 0
	}
}
