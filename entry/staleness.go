package entry

import "time"

// staleness returns the time since the store last confirmed tables of which this host has all, in an answer to this host
// or to a partner, as far as this host knows. It is the time since the start of this host if there was none.
func (h *Host) staleness(now time.Time) time.Duration {
	if staleness, ok := h.group.Staleness(now); ok {
		return staleness
	}
	return now.Sub(h.startedAt)
}
