package admit

import (
	"math"
	"time"
)

const (
	// shortWaitTolerance is how long a short request may wait before the limit of long
	// requests is cut.
	shortWaitTolerance = 2 * time.Millisecond
	// longCutInterval is the minimum time between two cuts of the limit.
	longCutInterval = 100 * time.Millisecond
	// longCutFactor times the long requests in flight, or times the limit when that is
	// lower, is the limit after a cut. It is rounded down.
	longCutFactor = 0.8
	// longGrowInterval is how long no short request may have waited, and how long ago
	// the last increase must be, before the limit grows.
	longGrowInterval = 250 * time.Millisecond
	// longGrowFactor is the size of one increase as a share of the limit. An increase
	// is at least one request.
	longGrowFactor = 0.25
	// minLongLimit is how many long requests of a service one host may always run.
	minLongLimit = 1
	// initialLongLimit is the limit when the process starts.
	initialLongLimit = 8
)

// longLimit bounds the long requests of one service that this host has in flight. The
// limit is cut while short requests wait; it grows while no short request waits and the
// limit is exceeded by a request that gets a slot. Long requests thus use the capacity
// that short ones leave free.
type longLimit struct {
	limit   float64
	lastCut time.Time
	// growFrom is when the limit last grew or a short request last waited.
	growFrom time.Time
}

func newLongLimit(now time.Time) longLimit { return longLimit{limit: initialLongLimit, growFrom: now} }

// allows reports whether one more long request may start in addition to inFlight ones:
// the limit is not reached, or an increase is due.
func (l *longLimit) allows(inFlight int, now time.Time) bool {
	started := float64(inFlight + 1)
	return started <= l.limit || l.growthDue(now) && started <= l.grown()
}

// recordStart increases the limit if a long request that started in addition to inFlight
// ones exceeds it and an increase is due. A request that gets no slot thus never raises
// the limit.
func (l *longLimit) recordStart(inFlight int, now time.Time) {
	if float64(inFlight+1) > l.limit && l.growthDue(now) {
		l.limit = l.grown()
		l.growFrom = now
	}
}

func (l *longLimit) growthDue(now time.Time) bool { return now.Sub(l.growFrom) >= longGrowInterval }

func (l *longLimit) grown() float64 { return l.limit + max(1, l.limit*longGrowFactor) }

// recordShortWait cuts the limit because a short request waited for a slot while
// inFlight long ones ran. It cuts at most once in longCutInterval.
func (l *longLimit) recordShortWait(inFlight int, now time.Time) {
	l.growFrom = now
	if inFlight == 0 || now.Sub(l.lastCut) < longCutInterval {
		return
	}
	l.lastCut = now
	l.limit = max(minLongLimit, math.Floor(min(l.limit, float64(inFlight))*longCutFactor))
}
