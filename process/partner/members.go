package partner

import (
	"cmp"
	"slices"
	"time"
)

// AddMembers adds the members that the store lists. They count as alive only after a
// heartbeat or reply from them.
func (g *Group) AddMembers(members []Member) {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range members {
		g.addMember(m, now)
	}
}

// AddListedMembers is AddMembers for all members that the store lists.
func (g *Group) AddListedMembers(members []Member) {
	g.AddMembers(members)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed = true
}

// addMember adds a member, or replaces an older incarnation of it. It returns nil for this
// host itself and for an incarnation older than the known one. A host that was forgotten does not
// count until a heartbeat of it arrives. The lock must be held.
func (g *Group) addMember(m Member, now time.Time) *memberState {
	if m.Name == g.opts.Self.Name {
		return nil
	}
	s := g.members[m.Name]
	if s == nil || m.Incarnation > s.Incarnation {
		if s != nil {
			delete(g.classes, s.Peer)
		}
		s = &memberState{Member: m, notAliveSince: now, forgotten: g.isForgotten(m)}
		g.members[m.Name] = s
		g.classes[m.Peer] = g.class(m)
		g.membersChanged()
	}
	if m.Incarnation < s.Incarnation {
		return nil
	}
	return s
}

// membersChanged drops what was computed from the members that count. The lock must be held.
func (g *Group) membersChanged() { g.baseNames, g.readerLimit = nil, nil }

// markSeen records that a host's heartbeat or reply has arrived and whether the host is
// leaving. The lock must be held.
func (g *Group) markSeen(s *memberState, leaving bool, now time.Time) {
	s.lastSeen = now
	g.recall(s)
	if !s.alive {
		s.alive = true
		evAlive.Log(g.opts.Log).Str("member", s.Name).Int64("incarnation", s.Incarnation).Send()
	}
	if leaving && !s.leaving {
		s.leaving = true
		evLeaving.Log(g.opts.Log).Str("member", s.Name).Send()
	}
}

// expireMembers marks hosts without a heartbeat for aliveTimeout as lost, and removes
// those that have not been alive for forgetAfter.
func (g *Group) expireMembers() {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.members {
		if s.alive && now.Sub(s.lastSeen) > aliveTimeout {
			s.alive = false
			s.notAliveSince = now
			evLost.Log(g.opts.Log).Str("member", name).Dur("silent", now.Sub(s.lastSeen)).Send()
		}
		if !s.alive && now.Sub(s.notAliveSince) > forgetAfter {
			g.forget(s, now)
		}
	}
	g.expireForgotten(now)
}

// Alive returns the hosts that are alive and not leaving, sorted by name. It includes this
// host unless this host is leaving.
func (g *Group) Alive() []Member {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var alive []Member
	if !g.leaving {
		alive = append(alive, g.opts.Self)
	}
	for _, s := range g.members {
		if s.alive && !s.leaving && now.Sub(s.lastSeen) <= aliveTimeout {
			alive = append(alive, s.Member)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// KnownCount returns the number of known hosts, alive or not but not forgotten, including this
// host.
func (g *Group) KnownCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 1
	for _, s := range g.members {
		if !s.forgotten {
			count++
		}
	}
	return count
}

// ForgottenCount returns how many hosts were removed from the known ones since they were not alive for
// a minute.
func (g *Group) ForgottenCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.forgottenCount
}

// KnownHost is a known host other than this one.
type KnownHost struct {
	Member
	Leaving bool
}

// Known returns the known hosts other than this one, alive or not but not forgotten. It returns false while neither the
// store nor another host has listed them.
func (g *Group) Known() ([]KnownHost, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var known []KnownHost
	for _, s := range g.members {
		if !s.forgotten {
			known = append(known, KnownHost{Member: s.Member, Leaving: s.leaving})
		}
	}
	return known, g.listed || g.hasMembers
}
