package fleet

import "time"

const (
	// departureRetention is how long the last report of a removed target is kept.
	departureRetention = 2 * time.Minute
	// maxDepartures bounds the reports that are kept.
	maxDepartures = 4096
)

// departures holds the last reports of removed targets by their identities. An old report may
// come again, from a store that was restored from a copy; it does not bring the target back.
type departures map[string]departure

// departure is the last report of a removed target.
type departure struct {
	born, sequence int64
	at             time.Time
	// seen is true if the target was seen to leave, false if its report was missing for the whole
	// of a hold.
	seen bool
}

// add records the last report of a target that is removed. A report without the time of the
// target's start is not recorded, since its sequence may have started anew.
func (d departures) add(last Entry, seen bool, now time.Time) {
	if last.Born == 0 {
		return
	}
	if len(d) >= maxDepartures {
		d.expire(now)
	}
	if len(d) < maxDepartures {
		d[last.ID] = departure{born: last.Born, sequence: last.Sequence, at: now, seen: seen || last.Leaving}
	}
}

// contains reports whether a report is not newer than the last one of a target that was removed
// within departureRetention.
func (d departures) contains(e Entry, now time.Time) bool {
	last, ok := d[e.ID]
	return ok && now.Sub(last.at) <= departureRetention && (e.Born < last.born || (e.Born == last.born && e.Sequence <= last.sequence))
}

// expire removes the reports that were kept for departureRetention.
func (d departures) expire(now time.Time) {
	for id, last := range d {
		if now.Sub(last.at) > departureRetention {
			delete(d, id)
		}
	}
}
