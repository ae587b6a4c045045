package partner

import (
	"context"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/process/crash"
)

// Brief is the short form of a heartbeat, sent as a call and as its reply to a host that has
// received a full heartbeat of the sender's incarnation. It is encoded as an array.
type Brief struct {
	_ struct{} `cbor:",toarray"`
	// Name and Incarnation are the sender's; an empty Name in a reply says that the receiver
	// does not know the caller's incarnation or has more changes, and needs a full heartbeat.
	Name        string
	Incarnation int64
	Flags       briefFlags
	// Rate is Heartbeat.Rate, and AgeMs and HoldMs are Heartbeat.Age and Heartbeat.ReportHold in
	// milliseconds, rounded up.
	Rate          float32
	AgeMs, HoldMs uint32
	// StateVersion is Heartbeat.StateVersion.
	StateVersion uint64
	// Positions are those of the sender's tables, in the order of Options.Tables.
	Positions []briefPosition
	Crashes   []briefCrash
}

// briefFlags are the truth values of a heartbeat.
type briefFlags uint8

const (
	flagLeaving briefFlags = 1 << iota
	flagFresh
	flagTroubled
	flagCountsRestores
	flagConfirmed
)

// briefPosition is the position of a table and the revision of its last change.
type briefPosition struct {
	_                      struct{} `cbor:",toarray"`
	Revision, Era, Changed uint64
}

// briefCrash is a crash.Count.
type briefCrash struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Target      string
	Crashes     int
}

// Brief handles a partner's short heartbeat and replies with this host's own.
func (s *service) Brief(received *Brief, reply *Brief) error {
	from, ok := s.g.knownMember(received.Name, received.Incarnation)
	if !ok || !s.g.hasChanges(from.Name) {
		return nil
	}
	s.g.receive(s.g.expand(received, from))
	*reply = s.g.brief()
	return nil
}

// knownMember returns a member if it is known with this incarnation.
func (g *Group) knownMember(name string, incarnation int64) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.members[name]
	if s == nil || s.Incarnation != incarnation {
		return Member{}, false
	}
	return s.Member, true
}

// brief returns this host's current heartbeat in the short form.
func (g *Group) brief() Brief {
	h := g.heartbeat()
	b := Brief{Name: h.From.Name, Incarnation: h.From.Incarnation, Rate: float32(h.Rate), AgeMs: milliseconds(h.Age), HoldMs: milliseconds(h.ReportHold), StateVersion: h.StateVersion}
	for flag, set := range map[briefFlags]bool{
		flagLeaving: h.Leaving, flagFresh: h.Fresh, flagTroubled: h.Troubled, flagCountsRestores: h.CountsRestores, flagConfirmed: h.Confirmed,
	} {
		if set {
			b.Flags |= flag
		}
	}
	for _, name := range g.opts.Tables {
		b.Positions = append(b.Positions, briefPosition{Revision: h.Positions[name], Era: h.Eras[name], Changed: h.Changed[name]})
	}
	for _, c := range h.Crashes {
		b.Crashes = append(b.Crashes, briefCrash{Fingerprint: c.Fingerprint, Target: c.Target, Crashes: c.Crashes})
	}
	return b
}

// milliseconds returns a duration in milliseconds, rounded up.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// expand returns the heartbeat that a short one of a member stands for. A table that it does not
// name has no position.
func (g *Group) expand(b *Brief, from Member) *Heartbeat {
	h := &Heartbeat{
		From: from, Leaving: b.Flags&flagLeaving != 0, Fresh: b.Flags&flagFresh != 0, Troubled: b.Flags&flagTroubled != 0,
		Rate: float64(b.Rate), Age: time.Duration(b.AgeMs) * time.Millisecond, ReportHold: time.Duration(b.HoldMs) * time.Millisecond,
		CountsRestores: b.Flags&flagCountsRestores != 0, Confirmed: b.Flags&flagConfirmed != 0,
		StateVersion: b.StateVersion, Positions: make(map[string]uint64), Eras: make(map[string]uint64), Changed: make(map[string]uint64),
	}
	for i, name := range g.opts.Tables[:min(len(g.opts.Tables), len(b.Positions))] {
		p := b.Positions[i]
		h.Positions[name], h.Eras[name], h.Changed[name] = p.Revision, p.Era, p.Changed
	}
	for _, c := range b.Crashes {
		h.Crashes = append(h.Crashes, crash.Count{Fingerprint: c.Fingerprint, Target: c.Target, Crashes: c.Crashes})
	}
	return h
}

// exchange sends a heartbeat and returns the reply: in the short form if the host has received a
// full one of this incarnation, and full if it has not, has started again or has a release
// without the short form.
func (g *Group) exchange(ctx context.Context, m Member) (*Heartbeat, error) {
	if g.hasFull(m) && g.hasChanges(m.Name) {
		request, reply := g.brief(), new(Brief)
		err := g.opts.Client.Call(ctx, m.Peer, serviceName+".Brief", &request, reply)
		var remote rpc.ServerError
		if err != nil && !errors.As(err, &remote) {
			return nil, err
		}
		if err == nil && reply.Name == m.Name && reply.Incarnation == m.Incarnation {
			return g.expand(reply, m), nil
		}
		g.setHasFull(m, false)
	}
	request, reply := g.fullHeartbeat(m), new(Heartbeat)
	if err := g.opts.Client.Call(ctx, m.Peer, serviceName+".Beat", &request, reply); err != nil {
		return nil, err
	}
	g.setHasFull(reply.From, reply.TakesBrief)
	if reply.From.Incarnation == m.Incarnation { // else it was sent only what an earlier start lacked
		g.setSentChange(m, request.Number)
		g.updateMember(m, func(s *memberState) { s.acknowledged = max(s.acknowledged, request.Number) })
	}
	return reply, nil
}

// hasFull reports whether a host takes short heartbeats of this host.
func (g *Group) hasFull(m Member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.members[m.Name]
	return s != nil && s.Incarnation == m.Incarnation && s.hasFull
}

// setHasFull records whether a host takes short heartbeats of this host.
func (g *Group) setHasFull(m Member, has bool) {
	g.updateMember(m, func(s *memberState) { s.hasFull = has })
}

// updateMember changes what is known of a host, unless it has started again since.
func (g *Group) updateMember(m Member, change func(*memberState)) {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.addMember(m, now); s != nil {
		change(s)
	}
}

// ResendFull makes the next heartbeat or reply to each host a full one, since it has changes that are not in
// a short one. It returns the number of that change.
func (g *Group) ResendFull() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.changeNumber++
	return g.changeNumber
}

// currentChange returns the number that the full heartbeats have now.
func (g *Group) currentChange() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changeNumber
}

// hasChanges reports whether a host was sent a full heartbeat of the current number.
func (g *Group) hasChanges(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.members[name]
	return s != nil && s.sent == g.changeNumber
}

// setSentChange records that a host was sent a full heartbeat of a number.
func (g *Group) setSentChange(m Member, number uint64) {
	g.updateMember(m, func(s *memberState) { s.sent = number })
}
