package partner

import (
	"context"
	"slices"
	"time"

	"quetzalknot/process/mirror"
)

const (
	// readerTimeout is how long after its heartbeat a partner counts as a store reader.
	readerTimeout = 1500 * time.Millisecond
	// failureTimeout is how long a store failure that a partner reported counts.
	failureTimeout = 3 * time.Second
)

// IsStoreReader reports whether this host is one of the store readers of its region. The other
// hosts receive changes by heartbeats, and read the store themselves while no partner reports that
// it reads it.
func (g *Group) IsStoreReader() bool { return g.readers()[g.opts.Self.Name] }

// readers returns the names of the store readers that this host chooses its partners by: in a small
// region, whose hosts are all partners, those that serve requests at the lowest demand; in a larger
// one the first hosts alive of this host's failure domain.
func (g *Group) readers() map[string]bool {
	alive := inRegion(g.Alive(), g.opts.Self.Region)
	names := make(map[string]bool)
	limit := g.domainReaders()
	if limit == 0 {
		addBaseHosts(names, alive)
		return names
	}
	for i, m := range rankHosts(inDomain(alive, g.opts.Self.Domain)) {
		if i < limit {
			names[m.Name] = true
		}
	}
	return names
}

// NotifyNonReaders sends a heartbeat at once to the partners in this region that are not
// store readers. It is called when this host has read changes, so that they pull them
// without waiting for the next interval.
func (g *Group) NotifyNonReaders(ctx context.Context) {
	readers := g.readers()
	g.sendHeartbeats(ctx, func(m Member) bool { return m.Region == g.opts.Self.Region && !readers[m.Name] })
}

// NotifyRegion sends a heartbeat at once to all partners in this region. It is called when this host has asked the store
// since no partner had an answer of it lately.
func (g *Group) NotifyRegion(ctx context.Context) {
	g.sendEarly(ctx, func(m Member) bool { return m.Region == g.opts.Self.Region })
}

// HasStoreReader reports whether a partner reported within readerTimeout that it reads the
// store.
func (g *Group) HasStoreReader(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.readerAt.IsZero() && now.Sub(g.readerAt) < readerTimeout
}

// FollowsStore reports whether this host has all changes that a partner had which reported within
// readerTimeout that it reads the store.
func (g *Group) FollowsStore(now time.Time) bool {
	_, follows := g.ConfirmedAge(now)
	return follows
}

// ConfirmedAge returns the time since the store last answered a partner that reads it and whose
// changes this host has, as reported within readerTimeout. ok is false if there is none.
func (g *Group) ConfirmedAge(now time.Time) (age time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.members {
		if s.readAt.IsZero() || now.Sub(s.readAt) >= readerTimeout || !g.hasAll(s.readPositions) {
			continue
		}
		if reported := now.Sub(s.readAt) + s.readAge + heartbeatDelay; !ok || reported < age {
			age, ok = reported, true
		}
	}
	return age, ok
}

// StateVersion returns the latest version of the desired state that a partner has reported to have in
// force; 0 if none has.
func (g *Group) StateVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stateVersion
}

// Introduced reports whether this host knows what its partners know: one that is introduced itself and
// has a desired state has informed it, there is none, or none has answered within introductionTime of the start.
func (g *Group) Introduced(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.introducedWithin(introductionTime, now)
}

// introducedWithin is Introduced with another limit of the time since the start. The lock must be held.
func (g *Group) introducedWithin(limit time.Duration, now time.Time) bool {
	alone := g.listed && len(g.members) == 0
	return g.introduced || alone || now.Sub(g.startedAt) >= limit
}

// MayServe reports whether this host has heard enough of requests that crash targets to serve: it was introduced,
// servingPartners members (or all, if fewer) have answered, it is alone, or servingTime has passed since the start. Once
// true, it stays so.
func (g *Group) MayServe(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mayServe = g.mayServe || g.introducedWithin(servingTime, now) || g.listed && g.enoughAnswered()
	return g.mayServe
}

// enoughAnswered reports whether servingPartners have answered, or all if there are fewer. The lock must be held.
func (g *Group) enoughAnswered() bool {
	answered := 0
	for _, s := range g.members {
		if !s.lastSeen.IsZero() {
			answered++
		}
	}
	return answered >= min(servingPartners, len(g.members))
}

// hasAll reports whether this host's copy of each table is complete up to its position.
func (g *Group) hasAll(positions []mirror.Position) bool {
	for i, name := range g.opts.Tables {
		if g.opts.Mirror.Position(name).Lacks(positions[i]) {
			return false
		}
	}
	return true
}

// positions returns the positions of the tables in a heartbeat, in the order of Options.Tables.
func (g *Group) positions(h *Heartbeat) []mirror.Position {
	positions := make([]mirror.Position, len(g.opts.Tables))
	for i, name := range g.opts.Tables {
		positions[i] = h.position(name)
	}
	return positions
}

// StoreFailing reports whether partners reported store failures within failureTimeout, and
// none of them reads the store without failures.
func (g *Group) StoreFailing(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	healthyReader := !g.healthyReaderAt.IsZero() && now.Sub(g.healthyReaderAt) < readerTimeout
	return !healthyReader && !g.storeFailedAt.IsZero() && now.Sub(g.storeFailedAt) < failureTimeout
}

// ReportHold returns for how long the reports of live targets may still be missing, by the least of
// what the partners say that reported within readerTimeout that they read the store. ok is false
// if there is none.
func (g *Group) ReportHold(now time.Time) (hold time.Duration, ok bool) {
	return g.leastHold(now, func(*memberState) bool { return true })
}

// ReportHoldAfter is ReportHold of the partners that the store answered after a time and whose
// changes this host has.
func (g *Group) ReportHoldAfter(now, after time.Time) (hold time.Duration, ok bool) {
	return g.leastHold(now, func(s *memberState) bool { return s.answeredAfter(after) && g.hasAll(s.readPositions) })
}

// RestoredHold is ReportHold of the partners that know of the store's present era and count from their notice
// of it.
func (g *Group) RestoredHold(now time.Time, era uint64) (hold time.Duration, ok bool) {
	return g.leastHold(now, func(s *memberState) bool { return s.countsRestores && s.knowsEra(era) })
}

// knowsEra reports whether the host's last heartbeat had a position of an era or a later one.
func (s *memberState) knowsEra(era uint64) bool {
	return slices.ContainsFunc(s.readPositions, func(p mirror.Position) bool { return p.Era >= era })
}

// leastHold is ReportHold of the partners that count.
func (g *Group) leastHold(now time.Time, counts func(*memberState) bool) (hold time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.members {
		if s.readsStore(now) && counts(s) && (!ok || s.holdLeft(now) < hold) {
			hold, ok = s.holdLeft(now), true
		}
	}
	return hold, ok
}

// readsStore reports whether the host reported within readerTimeout that it reads the store.
func (s *memberState) readsStore(now time.Time) bool {
	return !s.readAt.IsZero() && now.Sub(s.readAt) < readerTimeout
}

// answeredAfter reports whether the store's answer that the host last reported came after a time.
func (s *memberState) answeredAfter(t time.Time) bool {
	return s.readAt.Add(-s.readAge - heartbeatDelay).After(t)
}

// holdLeft returns what is left of the hold that the host last reported.
func (s *memberState) holdLeft(now time.Time) time.Duration {
	return max(0, s.reportHold-now.Sub(s.readAt))
}

// recordStoreStatus records the store status in the heartbeat of a partner s. One that states no
// age of the store's answer is a store reader but vouches for nothing: its answer may be of any
// age. The lock must be held.
func (g *Group) recordStoreStatus(s *memberState, h *Heartbeat, now time.Time) {
	s.readAt = time.Time{}
	if h.Fresh {
		g.readerAt = now
	}
	if h.Fresh && h.Age > 0 {
		s.readAt, s.readAge, s.readPositions = now, h.Age, g.positions(h)
		s.reportHold, s.countsRestores = h.ReportHold, h.CountsRestores
	}
	if h.Fresh && !h.Troubled {
		g.healthyReaderAt = now
	}
	if h.Fresh && !h.Troubled && h.From.Region == g.opts.Self.Region {
		g.nearReaderAt = now
	}
	if h.Troubled {
		g.storeFailedAt = now
	}
}
