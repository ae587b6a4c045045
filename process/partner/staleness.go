package partner

import (
	"context"
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
	return g.staleness(g.opts.StoreStatus(), now)
}

// staleness is Staleness with this host's own status.
func (g *Group) staleness(own StoreStatus, now time.Time) (staleness time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.members {
		g.takeStated(s)
	}
	stated, known := now.Sub(g.confirmedAt), !g.confirmedAt.IsZero()
	switch {
	case own.SinceConfirmed > 0 && known:
		return min(own.SinceConfirmed, stated), true
	case own.SinceConfirmed > 0:
		return own.SinceConfirmed, true
	default:
		return stated, known
	}
}

// AskReaders sends a heartbeat at once to the partners in this region that read the store, as they last said. Their replies
// say how long ago the store answered them.
func (g *Group) AskReaders(ctx context.Context) {
	now := g.opts.Now()
	readers := make(map[string]bool)
	g.mu.Lock()
	for name, s := range g.members {
		readers[name] = s.Region == g.opts.Self.Region && s.readsStore(now)
	}
	g.mu.Unlock()
	g.sendEarly(ctx, func(m Member) bool { return readers[m.Name] })
}

// takeStated takes what a partner last said of its copies, once this host has all of them. The lock must be held.
func (g *Group) takeStated(s *memberState) {
	if s.stated.confirmedAt.After(g.confirmedAt) && g.hasAll(s.stated.positions) {
		g.confirmedAt = s.stated.confirmedAt
	}
}

// recordStated records what a heartbeat of a partner, which was made after a time, says of its copies. The lock must be held.
func (g *Group) recordStated(s *memberState, h *Heartbeat, madeAfter time.Time) {
	if h.Age == 0 || !h.Fresh && !h.Confirmed {
		return
	}
	g.takeStated(s)
	s.stated = statedCopy{confirmedAt: madeAfter.Add(-h.Age), positions: g.positions(h)}
}
