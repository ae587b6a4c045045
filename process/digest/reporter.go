package digest

import "time"

const (
	// levelStep is the difference between two levels that are told apart, so that
	// small changes cause no messages.
	levelStep = 64
	// riseEvery is the least time between two rises of a level by one step, so that
	// a site that returns gets its callers back little by little.
	riseEvery = 20 * time.Second
	// fallEvery is the least time between two falls by one step of a site that is up.
	fallEvery = 5 * time.Second
	// RepeatEvery is when an unchanged report is published again.
	RepeatEvery = 10 * time.Minute
	// failuresToDown is how many rounds in a row must find a site down: one alone may
	// be due to a stall of the watching host.
	failuresToDown = 2
	// ownRoom is the free share of the slots below which own callers are turned away,
	// and otherRoom the one below which others are.
	ownRoom   = 0.05
	otherRoom = 0.30
)

// Measurement is what a host found at a site.
type Measurement struct {
	// Up and Total are how many targets answered their health check, and of how many.
	Up, Total int
	// Room is the free share of the slots of those that are up, 0 to 1.
	Room float64
}

// Reporter turns measurements of one site into reports. Its zero value continues
// from nothing; it is not safe for concurrent use.
type Reporter struct {
	known     bool
	level     Level
	movedAt   time.Time
	published time.Time
	// failures counts the rounds in a row in which the site took nobody.
	failures int
}

// Resume starts from what other hosts believed, so that a host that takes over a
// site which is coming back does not open it at once.
func (r *Reporter) Resume(l Level, now time.Time) {
	r.known, r.level, r.movedAt = true, quantized(l), now
}

// Next takes in a measurement and returns the level, and whether to publish it.
func (r *Reporter) Next(m Measurement, now time.Time) (level Level, publish bool) {
	goal := goalOf(m)
	before := r.level
	r.failures++
	if goal.Own > 0 {
		r.failures = 0
	}
	if goal.Own == 0 && r.failures < failuresToDown {
		goal = r.assumed()
	}
	switch {
	case !r.known:
		r.known, r.level, r.movedAt = true, goal, now
	case goal.Own == 0:
		r.level = goal
		r.movedAt = now
	default:
		r.move(goal, now)
	}
	if r.level != before || r.published.IsZero() || now.Sub(r.published) >= RepeatEvery {
		r.published = now
		return r.level, true
	}
	return r.level, false
}

// assumed returns the level to stay at while a first failure is not confirmed.
func (r *Reporter) assumed() Level {
	if r.known {
		return r.level
	}
	return Level{Own: Full}
}

// move takes one step towards the goal when it is time.
func (r *Reporter) move(goal Level, now time.Time) {
	next := Level{Own: approach(r.level.Own, goal.Own), Other: approach(r.level.Other, goal.Other)}
	if next == r.level {
		return
	}
	wait := fallEvery
	if next.Own > r.level.Own || next.Other > r.level.Other {
		wait = riseEvery
	}
	if now.Sub(r.movedAt) >= wait {
		r.level, r.movedAt = next, now
	}
}

// approach returns the level one step nearer to the goal.
func approach(level, goal uint8) uint8 {
	switch {
	case goal > level:
		return quantize(min(int(level)+levelStep, int(goal)))
	case goal < level:
		return quantize(max(int(level)+1-levelStep, int(goal)))
	default:
		return level
	}
}

// goalOf returns the level that a measurement speaks for. A site with less than
// half of its targets up takes nobody; any other keeps some of its own callers.
func goalOf(m Measurement) Level {
	if m.Total == 0 || 2*m.Up < m.Total {
		return Level{}
	}
	return Level{Own: max(levelStep, scaled(m.Room, ownRoom)), Other: scaled(m.Room-ownRoom, otherRoom)}
}

// scaled returns Full for at least enough room, and less in proportion.
func scaled(room, enough float64) uint8 {
	share := min(max(room/enough, 0), 1)
	return quantize(int(share*Full + 0.5))
}

// quantize rounds down to a multiple of levelStep; the top one is Full.
func quantize(level int) uint8 {
	if level >= Full {
		return Full
	}
	return uint8(max(level, 0) / levelStep * levelStep)
}

func quantized(l Level) Level {
	return Level{Own: quantize(int(l.Own)), Other: quantize(int(l.Other))}
}
