package place

import (
	"math"
	"time"

	"quetzalknot/process/fleet"
)

func (c *Chooser) cost(t *fleet.Target, ask *Ask, p *profile, ranks *order, now time.Time) (time.Duration, Choice) {
	choice := Choice{Target: t, ID: t.ID, Addr: t.Addr}
	chance := 0.0
	if ask.Route.Affinity && ask.Object != 0 {
		choice.Warm = t.Warm(ask.Object, now, c.opts.Keep)
		chance = ranks.prior(t)
		if p.known && t != ranks.targets[0] {
			chance *= priorElsewhere
		}
		if choice.Warm {
			chance = 1
		}
	}
	pace := math.Sqrt(max(paceLeast, t.Pace(now))) * max(1, t.Slow(now))
	if t.Cold(now) {
		pace *= coldFactor
	}
	choice.Wait = t.Wait(now)
	around := choice.Wait + t.RTT
	warm := time.Duration(float64(p.warm) * pace)
	fresh := time.Duration(float64(p.fresh) * pace)
	choice.usual = time.Duration(chance*float64(p.warm) + (1-chance)*float64(p.fresh))
	choice.RunTime = time.Duration(chance*float64(warm) + (1-chance)*float64(fresh))
	choice.Expected = choice.RunTime + around
	cost := choice.Expected + c.way(t, float64(ask.Bytes)+p.answer)
	aim := ask.Route.Objective
	late := chance*late(warm+around, aim) + (1-chance)*late(fresh+around, aim)
	cost += time.Duration(late * lateCost * float64(aim))
	cost += time.Duration((1 - chance) * freshCost * float64(p.fresh-p.warm))
	cost += time.Duration(t.FailShare(now) * float64(failCost))
	if silence := t.Silence(now) - 2*t.MeanRun() - silenceSlack; silence > 0 {
		cost += silence
	}
	if ask.Route.Idempotent && c.fleet.Introduces(t, now) {
		cost -= unusedBonus
	}
	return cost, choice
}

// callerWay is what the way between caller and host takes of the objective.
const callerWay = 20 * time.Millisecond

// late estimates the chance that an answer expected after some time comes after its
// objective.
func late(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	x := float64(expected+callerWay-objective) / (lateSpread*float64(expected) + float64(time.Millisecond))
	return 1 / (1 + math.Exp(-1.7*x))
}

// way returns the price of the bytes on the way to a target and back.
func (c *Chooser) way(t *fleet.Target, bytes float64) time.Duration {
	switch {
	case t.Region != c.opts.Region:
		return time.Duration(bytes / 1000 * float64(c.opts.Costs.CrossRegion))
	case t.Zone != c.opts.Domain:
		return time.Duration(bytes / 1000 * float64(c.opts.Costs.CrossDomain))
	default:
		return 0
	}
}
