package partner

import (
	"time"

	"quetzalknot/process/mirror"
)

// statedCopy is a partner's word that the store confirmed, at a time, its copies of the tables up to the positions,
// in the order of Options.Tables.
type statedCopy struct {
	confirmedAt time.Time
	positions   []mirror.Position
}

// Staleness returns the time since the store last confirmed tables of which this host has all, in an answer to this host
// or, as far as partners have said, to another one. Unlike ConfirmedAge it goes on growing when the partners are lost or no
// longer read the store. ok is false if nothing was confirmed yet.
func (g *Group) Staleness(now time.Time) (staleness time.Duration, ok bool) {
	own := g.opts.StoreStatus().SinceConfirmed
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.members {
		g.takeStated(s)
	}
	stated, known := now.Sub(g.confirmedAt), !g.confirmedAt.IsZero()
	switch {
	case own > 0 && known:
		return min(own, stated), true
	case own > 0:
		return own, true
	default:
		return stated, known
	}
}

// takeStated takes what a partner last said of its copies, once this host has all of them. The lock must be held.
func (g *Group) takeStated(s *memberState) {
	if s.stated.confirmedAt.After(g.confirmedAt) && g.hasAll(s.stated.positions) {
		g.confirmedAt = s.stated.confirmedAt
	}
}

// recordStated records what a heartbeat of a partner says of its copies. The lock must be held.
func (g *Group) recordStated(s *memberState, h *Heartbeat, now time.Time) {
	if !h.Fresh || h.Age == 0 {
		return
	}
	g.takeStated(s)
	s.stated = statedCopy{confirmedAt: now.Add(-h.Age - heartbeatDelay), positions: g.positions(h)}
}
