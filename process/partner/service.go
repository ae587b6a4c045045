package partner

import "quetzalknot/process/mirror"

// service is the net/rpc service of the group.
type service struct{ g *Group }

// Beat handles a partner's heartbeat and replies with this host's own.
func (s *service) Beat(received *Heartbeat, reply *Heartbeat) error {
	s.g.receive(received)
	*reply = s.g.fullHeartbeat(received.From)
	s.g.setSentChange(received.From, reply.Number)
	return nil
}

// Pull returns the records of a table that are newer than the caller's revision, or says that they are large.
func (s *service) Pull(pull *PullRequest, reply *PullReply) error {
	d := s.g.opts.Mirror.DeltaSince(pull.Table, mirror.Position{Era: pull.Era, Revision: pull.After})
	if pull.TakesLarge && d.Size() >= largeDeltaBytes {
		reply.IsLarge = true
		return nil
	}
	reply.Delta = d
	return nil
}

// fullHeartbeat returns this host's current heartbeat message to a host, with what only full ones have. Of
// the targets' limits these are the changes of which the host has not acknowledged that it knows them.
func (g *Group) fullHeartbeat(to Member) Heartbeat {
	number, acknowledged := g.currentChange(), uint64(0)
	h := g.heartbeat()
	h.Number, h.Crashes = number, g.opts.Crashes.All(g.opts.Now())
	g.mu.Lock()
	if s := g.members[to.Name]; s != nil && s.Incarnation == to.Incarnation {
		acknowledged, h.Received, h.To = s.acknowledged, s.received, s.Incarnation
	}
	g.mu.Unlock()
	if g.opts.StaleRecords != nil {
		h.StaleRecords = g.opts.StaleRecords()
	}
	if g.opts.Limits != nil {
		upTo := uint64(0)
		if h.Limits, upTo = g.opts.Limits(acknowledged, g.opts.Now()); upTo != 0 {
			h.Number = min(h.Number, upTo)
		}
	}
	return h
}

// heartbeat returns this host's current heartbeat message, with what short ones have.
func (g *Group) heartbeat() Heartbeat {
	now := g.opts.Now()
	status := g.opts.StoreStatus()
	h := Heartbeat{
		From: g.opts.Self, TakesBrief: true, Rate: g.opts.RequestRate(), Crashes: g.opts.Crashes.Recent(crashCountMaxAge, now),
		Fresh: status.Reachable, Age: max(status.Age, minStatedAge), Troubled: status.Failing, ReportHold: status.ReportHold, CountsRestores: true,
		Positions: make(map[string]uint64), Eras: make(map[string]uint64), Changed: make(map[string]uint64),
	}
	if !h.Fresh {
		staleness, ok := g.staleness(status, now)
		h.Age, h.Confirmed = max(staleness, minStatedAge), ok
	}
	if g.opts.StateVersion != nil && g.Introduced(now) {
		h.StateVersion = g.opts.StateVersion()
	}
	for _, name := range g.opts.Tables {
		position, changed := g.opts.Mirror.Progress(name)
		h.Positions[name], h.Eras[name], h.Changed[name] = position.Revision, position.Era, changed
	}
	g.mu.Lock()
	h.Leaving = g.leaving
	g.mu.Unlock()
	return h
}
