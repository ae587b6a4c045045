package place

import (
	"math"
	"time"

	"quetzalknot/process/fleet"
	"quetzalknot/version/routes"
)

// profile is what is known of a route's requests.
type profile struct {
	fresh, warm time.Duration
	// request and answer are the mean sizes of bodies, in bytes.
	request, answer float64
	// known says that some target has the request's object warm by this host's own doing.
	known bool
}

// leastFresh returns the least that a target costs which does not have the object warm
// and is not introduced.
func (p *profile) leastFresh() time.Duration {
	fresh := math.Sqrt(paceLeast) * float64(p.fresh)
	return time.Duration(fresh + freshCost*float64(p.fresh-p.warm))
}

func (c *Chooser) profile(r *routes.Route) profile {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.profiles[r.Name]
	if p == nil {
		fresh := firstRun(r)
		p = &profile{fresh: fresh, warm: time.Duration(warmFirst * float64(fresh)), answer: 4000}
		c.profiles[r.Name] = p
	}
	return *p
}

// firstRun is the run time that a route is taken to need until run times have been seen.
// Operators leave a request at least twice the time that it usually needs.
func firstRun(r *routes.Route) time.Duration {
	run := r.Objective
	if run == 0 {
		run = time.Second
	}
	if r.Timeout > 0 {
		run = min(run, r.Timeout/2)
	}
	return run
}

// Done notes the outcome of a chosen target's request. AnswerBytes is the size of the
// answer's body.
func (c *Chooser) Done(choice Choice, route *routes.Route, o fleet.Outcome, answerBytes int, now time.Time) {
	c.fleet.End(choice.Target, choice.number, o, now)
	if o.Failed || o.Shed || o.Cancelled {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.profiles[route.Name]
	if p == nil {
		return
	}
	p.answer += sampleWeight * (float64(answerBytes) - p.answer)
	p.request += sampleWeight * (float64(choice.bytes) - p.request)
	if choice.Wait > 0 {
		return
	}
	run := max(0, o.Run-choice.rtt)
	if o.Load != nil && o.Load.Pace > 0 {
		run = time.Duration(float64(run) / o.Load.Pace)
	}
	mean := &p.fresh
	if choice.Warm {
		mean = &p.warm
	}
	run = min(run, 3**mean)
	*mean += time.Duration(sampleWeight * float64(run-*mean))
}
