package sitereport

import "time"

const (
	// levelStep is the difference between two adjacent reported levels. Levels are
	// rounded down to multiples of it, so that small changes cause no messages.
	levelStep = 64
	// minRiseInterval is the minimum time between two rises of a level by one step, so
	// that a recovering site gets its callers back gradually.
	minRiseInterval = 20 * time.Second
	// minFallInterval is the minimum time between two falls by one step while the site is up.
	minFallInterval = 5 * time.Second
	// RepublishInterval is the interval at which an unchanged report is published again.
	RepublishInterval = 10 * time.Minute
	// failedRoundsUntilDown is the number of consecutive failed probe rounds after which
	// a site is reported down: a single one may be due to a stall of the watching host.
	failedRoundsUntilDown = 2
	// ownFreeShare is the free share of the slots at and above which all own callers are
	// accepted. Other callers are accepted only above it, and all of them at and above
	// ownFreeShare + otherFreeShare.
	ownFreeShare   = 0.05
	otherFreeShare = 0.30
)

// Measurement is the result of one probe round of a site.
type Measurement struct {
	// Up is the number of targets that passed their health check, and Total the number of
	// targets that were checked.
	Up, Total int
	// FreeShare is the median free share of the slots of the targets that are up, from 0 to 1.
	FreeShare float64
}

// Reporter turns measurements of one site into levels to report. The zero value is
// ready to use: it adopts the level of the first measurement at once, or Own = Full if that
// round failed, since a failure is not yet confirmed. It is not safe for concurrent use.
type Reporter struct {
	initialized bool
	level       Level
	steppedAt   time.Time
	publishedAt time.Time
	// failedRounds is the number of consecutive rounds whose desired Own level was 0.
	failedRounds int
}

// Resume starts from the level that other hosts reported, so that a host that takes
// over the watch of a recovering site does not raise its level to Full at once.
func (r *Reporter) Resume(l Level, now time.Time) {
	r.initialized, r.level, r.steppedAt = true, quantizeLevel(l), now
}

// Observe updates the level from a measurement and returns it, and whether to publish it.
func (r *Reporter) Observe(m Measurement, now time.Time) (level Level, publish bool) {
	desired := desiredLevel(m)
	previous := r.level
	r.failedRounds++
	if desired.Own > 0 {
		r.failedRounds = 0
	}
	if desired.Own == 0 && r.failedRounds < failedRoundsUntilDown {
		desired = r.unconfirmedLevel()
	}
	switch {
	case !r.initialized:
		r.initialized, r.level, r.steppedAt = true, desired, now
	case desired.Own == 0:
		r.level = desired
		r.steppedAt = now
	default:
		r.step(desired, now)
	}
	if r.level != previous || r.publishedAt.IsZero() || now.Sub(r.publishedAt) >= RepublishInterval {
		r.publishedAt = now
		return r.level, true
	}
	return r.level, false
}

// unconfirmedLevel returns the level to keep until a failure is confirmed by
// failedRoundsUntilDown rounds.
func (r *Reporter) unconfirmedLevel() Level {
	if r.initialized {
		return r.level
	}
	return Level{Own: Full}
}

// step moves the level one step towards the desired one, unless the last step was less
// than the minimum interval ago.
func (r *Reporter) step(desired Level, now time.Time) {
	next := Level{Own: stepTowards(r.level.Own, desired.Own), Other: stepTowards(r.level.Other, desired.Other)}
	if next == r.level {
		return
	}
	interval := minFallInterval
	if next.Own > r.level.Own || next.Other > r.level.Other {
		interval = minRiseInterval
	}
	if now.Sub(r.steppedAt) >= interval {
		r.level, r.steppedAt = next, now
	}
}

// stepTowards returns the level one step nearer to the desired one. The +1 makes a step
// down from Full (255) end at 192, the next multiple of levelStep.
func stepTowards(level, desired uint8) uint8 {
	switch {
	case desired > level:
		return quantize(min(int(level)+levelStep, int(desired)))
	case desired < level:
		return quantize(max(int(level)+1-levelStep, int(desired)))
	default:
		return level
	}
}

// desiredLevel returns the level that fits a measurement. A site with less than half of
// its targets up accepts no callers; any other accepts at least levelStep of its own.
func desiredLevel(m Measurement) Level {
	if m.Total == 0 || 2*m.Up < m.Total {
		return Level{}
	}
	return Level{Own: max(levelStep, levelForShare(m.FreeShare, ownFreeShare)), Other: levelForShare(m.FreeShare-ownFreeShare, otherFreeShare)}
}

// levelForShare returns Full if freeShare is at least fullShare, and otherwise a level
// in proportion to it.
func levelForShare(freeShare, fullShare float64) uint8 {
	ratio := min(max(freeShare/fullShare, 0), 1)
	return quantize(int(ratio*Full + 0.5))
}

// quantize rounds a level down to a multiple of levelStep. Levels of Full and above
// become Full.
func quantize(level int) uint8 {
	if level >= Full {
		return Full
	}
	return uint8(max(level, 0) / levelStep * levelStep)
}

func quantizeLevel(l Level) Level {
	return Level{Own: quantize(int(l.Own)), Other: quantize(int(l.Other))}
}
