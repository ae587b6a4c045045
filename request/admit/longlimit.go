package admit

import (
	"math"
	"time"
)

const (
	// shortWaitTolerance is how long short work may wait before long work is cut.
	shortWaitTolerance = 2 * time.Millisecond
	// longCutInterval is the least time between two cuts of the limit.
	longCutInterval = 100 * time.Millisecond
	// longCutFactor is what a cut leaves of the long work in flight.
	longCutFactor = 0.8
	// longGrowInterval is how long short work must not have waited for the limit to
	// grow by one step.
	longGrowInterval = 250 * time.Millisecond
	// longGrowFactor is one step as a share of the limit, at least one request.
	longGrowFactor = 0.25
	// longFloor is how many long requests of a service one host may always run.
	longFloor = 1
	// longStart is the limit of a fresh process.
	longStart = 8
)

// longLimit bounds the long work that this host has in flight for one service. It
// is cut while short work waits and grows while none does and the limit is used,
// so that long work takes what short work leaves.
type longLimit struct {
	limit    float64
	lastCut  time.Time
	lastStep time.Time
}

func newLongLimit(now time.Time) longLimit { return longLimit{limit: longStart, lastStep: now} }

// allows reports whether one more long request may start beside inFlight ones.
func (l *longLimit) allows(inFlight int, now time.Time) bool {
	if float64(inFlight+1) <= l.limit {
		return true
	}
	if now.Sub(l.lastStep) >= longGrowInterval {
		l.lastStep = now
		l.limit += max(1, l.limit*longGrowFactor)
	}
	return float64(inFlight+1) <= l.limit
}

// shortWaited notes that a short request waited for room while inFlight long ones ran.
func (l *longLimit) shortWaited(inFlight int, now time.Time) {
	l.lastStep = now
	if inFlight == 0 || now.Sub(l.lastCut) < longCutInterval {
		return
	}
	l.lastCut = now
	l.limit = max(longFloor, math.Floor(min(l.limit, float64(inFlight))*longCutFactor))
}
