package partner

import "time"

// forgottenHost is a host that was removed from the group because it was not alive.
type forgottenHost struct {
	incarnation int64
	at          time.Time
}

// forget removes a host from the group and remembers that it was removed. The lock must be held.
func (g *Group) forget(s *memberState, now time.Time) {
	delete(g.members, s.Name)
	delete(g.classes, s.Peer)
	g.forgottenCount++
	incarnation := max(s.Incarnation, g.forgotten[s.Name].incarnation)
	g.forgotten[s.Name] = forgottenHost{incarnation: incarnation, at: now}
	g.membersChanged()
}

// isForgotten reports whether a host of this incarnation, or of a later one, was removed from the
// group. The lock must be held.
func (g *Group) isForgotten(m Member) bool {
	f, ok := g.forgotten[m.Name]
	return ok && m.Incarnation <= f.incarnation
}

// recall makes a host count that a heartbeat or reply has just come from. The lock must be held.
func (g *Group) recall(s *memberState) {
	if !s.forgotten {
		return
	}
	s.forgotten = false
	delete(g.forgotten, s.Name)
	g.membersChanged()
}

// expireForgotten ends the memory of the hosts that were removed forgottenRetention ago. The lock must be
// held.
func (g *Group) expireForgotten(now time.Time) {
	for name, f := range g.forgotten {
		if now.Sub(f.at) > forgottenRetention {
			delete(g.forgotten, name)
		}
	}
}
