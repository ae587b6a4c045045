package quota

import (
	"math"
	"slices"
	"time"
)

// Stamp is a reading of the allocator's clock. A message that repeats it was sent after that reading, however
// long it took.
type Stamp struct {
	Incarnation int64
	// At is in nanoseconds since the allocator's start.
	At int64
}

// Ask lends a host's share of all limits to the allocator and asks for tokens.
type Ask struct {
	From, Address string
	Leaving       bool
	Incarnation   int64
	// Sequence grows with each message of an incarnation.
	Sequence uint64
	// Stamp is that of the last reply of the allocator, and Share the share that is lent for shareTerm from then
	// on; 0 lends nothing.
	Stamp Stamp
	Share float64
	// Wants holds the tokens wanted, by workspace.
	Wants map[string]int
}

// Reply is the reply to an Ask.
type Reply struct {
	Stamp Stamp
	// Grants holds the tokens granted, by workspace, for leaseTerm from the sending of the Ask.
	Grants map[string]int
	// WaitMs holds, for workspaces that did not get all tokens wanted, the time until there is one, in ms.
	WaitMs map[string]int64
	// Released is true if the allocator is leaving: it has given the sender's share up and takes no share any more.
	Released bool
	// Count is the number of hosts that the allocator knows, and Hosts the first of them in the order of allocators.
	Count int
	Hosts []Host
}

// Outgoing is a message that is to be sent.
type Outgoing struct {
	To, Address string
	Ask         Ask
	sentAt      time.Time
}

// Next returns the message that is due, if there is one. Done must be called when it was answered or has failed.
func (l *Limiter) Next(now time.Time) (Outgoing, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.limits) == 0 {
		return Outgoing{}, false
	}
	l.pool.advance(now, l.limits)
	allocator := l.choose(now, "")
	if allocator == l.self.Name {
		l.allocator = allocator
		l.useOwnShare(now)
		return l.announce(now)
	}
	if allocator != l.allocator {
		l.allocator, l.stamp = allocator, Stamp{}
	}
	since := now.Sub(l.sentAt)
	urgent := l.urgent || l.stamp == (Stamp{})
	if l.inFlight || since < urgentInterval || !urgent && since < askInterval {
		return Outgoing{}, false
	}
	wants := l.wants(now)
	if !urgent && len(wants) == 0 && since < renewInterval {
		return Outgoing{}, false
	}
	l.sequence++
	l.sentAt, l.inFlight, l.urgent = now, true, false
	ask := Ask{
		From: l.self.Name, Address: l.self.Address, Leaving: l.leaving, Incarnation: l.pool.incarnation,
		Sequence: l.sequence, Stamp: l.stamp, Wants: wants,
	}
	ask.Share = l.lend(now)
	return Outgoing{To: allocator, Address: l.known[allocator].address, Ask: ask, sentAt: now}, true
}

// announce returns the message of a host that allocates to the next one in the order, if it is due. It lends and asks
// nothing; the other hosts may not know the sender yet, and learn of it from the receiver. The lock must be held.
func (l *Limiter) announce(now time.Time) (Outgoing, bool) {
	if l.inFlight || now.Sub(l.sentAt) < renewInterval {
		return Outgoing{}, false
	}
	next := l.choose(now, l.self.Name)
	if next == l.self.Name {
		return Outgoing{}, false
	}
	l.sequence++
	l.sentAt, l.inFlight = now, true
	ask := Ask{From: l.self.Name, Address: l.self.Address, Leaving: l.leaving, Incarnation: l.pool.incarnation, Sequence: l.sequence}
	return Outgoing{To: next, Address: l.known[next].address, Ask: ask, sentAt: now}, true
}

// choose returns the preferred allocator that is not suspect, other than the excluded one. A leaving host does not
// allocate if there is another one. The lock must be held.
func (l *Limiter) choose(now time.Time, excluded string) string {
	for _, name := range l.order {
		k := l.known[name]
		if name == excluded || k != nil && !k.leftAt.IsZero() {
			continue
		}
		if name == l.self.Name && !l.leaving || k != nil && !now.Before(k.suspectUntil) {
			return name
		}
	}
	return l.self.Name
}

// lend lends this host's share to the allocator, unless it is still lent to another host, and returns it. Without
// a stamp of the allocator nothing is lent. The lock must be held.
func (l *Limiter) lend(now time.Time) float64 {
	if l.stamp == (Stamp{}) || l.lentTo != l.allocator && now.Before(l.lentUntil) {
		l.useOwnShare(now)
		return 0
	}
	share := l.share(now)
	l.pool.set(l.self.Name, poolShare{}, l.limits)
	l.lentTo, l.lentUntil = l.allocator, now.Add(shareTerm+shareMargin)
	return share
}

// useOwnShare makes this host allocate its own share, once it is not lent any more. The lock must be held.
func (l *Limiter) useOwnShare(now time.Time) {
	if now.Before(l.lentUntil) {
		return
	}
	l.lentTo = ""
	if share := l.share(now); l.pool.shares[l.self.Name].share != share {
		l.pool.set(l.self.Name, poolShare{share: share}, l.limits)
	}
}

// wants returns the tokens that this host needs soon: for the requests that wait, and ahead at the recent rate
// what surely is used. The lock must be held.
func (l *Limiter) wants(now time.Time) map[string]int {
	var wants map[string]int
	for name, s := range l.limits {
		s.updateDemand(now)
		n := s.waiting + int(s.demand*demandHorizon.Seconds()) - s.held(now)
		if n <= 0 {
			continue
		}
		if wants == nil {
			wants = make(map[string]int)
		}
		wants[name] = n
	}
	return wants
}

// surelyOver is the number of expected requests of which none came, from which on a workspace's demand is over.
const surelyOver = 2

// updateDemand brings the estimate of the rate of requests up to date. It ends at once when the requests stop, since
// tokens that are asked for then expire unused.
func (s *limitState) updateDemand(now time.Time) {
	since := now.Sub(s.demandAt).Seconds()
	if since <= 0 {
		return
	}
	if s.taken == 0 && s.demand*since >= surelyOver {
		s.demand = 0
	}
	kept := math.Exp(-since / demandTime.Seconds())
	s.demand = s.demand*kept + float64(s.taken)/since*(1-kept)
	s.taken, s.demandAt = 0, now
}

// Done handles the reply to a message; nil means that there was none.
func (l *Limiter) Done(out Outgoing, reply *Reply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if out.Ask.Sequence == l.sequence {
		l.inFlight = false
	}
	if reply == nil {
		l.fail(out.To, now)
		return
	}
	l.failures = 0
	if out.To == l.allocator {
		l.stamp = reply.Stamp
	}
	if reply.Released && out.Ask.Sequence == l.sequence {
		l.takeBack(out.To, now)
	}
	l.hearCount(reply.Count, reply.Stamp, now)
	for _, h := range reply.Hosts {
		l.know(h, now)
	}
	expires := out.sentAt.Add(leaseTerm)
	for name, n := range reply.Grants {
		if s := l.limits[name]; s != nil && n > 0 && now.Before(expires) {
			s.addLease(lease{tokens: n, expires: expires}, now)
		}
	}
	for name, wait := range reply.WaitMs {
		if s := l.limits[name]; s != nil {
			d := time.Duration(min(max(0, wait), maxRetryAfter.Milliseconds())) * time.Millisecond
			s.exhaustedUntil, s.tokenAt = now.Add(min(maxExhausted, max(minExhausted, d))), now.Add(d)
		}
	}
}

// takeBack ends the loan of this host's share to an allocator that is leaving and has given the share up in the reply to
// the last message. The lock must be held.
func (l *Limiter) takeBack(name string, now time.Time) {
	if k := l.known[name]; k != nil && k.leftAt.IsZero() {
		k.leftAt = now
	}
	if l.lentTo == name {
		l.lentTo, l.lentUntil = "", now
	}
}

// fail records that a host did not answer. The lock must be held.
func (l *Limiter) fail(name string, now time.Time) {
	l.failures++
	k := l.known[name]
	if k == nil {
		return
	}
	again := !k.suspectUntil.IsZero() && now.Sub(k.suspectUntil) < suspectMemory
	if again || l.failures >= failuresToSuspect {
		k.suspectUntil, l.failures = now.Add(suspectTime), 0
	}
}

func (s *limitState) addLease(added lease, now time.Time) {
	s.dropExpired(now)
	if len(s.leases) == maxLeases {
		return
	}
	s.leases = append(s.leases, added)
	slices.SortFunc(s.leases, func(a, b lease) int { return a.expires.Compare(b.expires) })
}

// Answer handles a message of another host.
func (l *Limiter) Answer(ask *Ask, now time.Time) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.advance(now, l.limits)
	l.hear(Host{Name: ask.From, Address: ask.Address, Incarnation: ask.Incarnation, Leaving: ask.Leaving}, now)
	if l.leaving {
		l.pool.set(ask.From, poolShare{}, l.limits)
	} else {
		l.accept(ask, now)
	}
	reply := Reply{Released: l.leaving, Count: l.hosts(now), Hosts: l.named(now), Stamp: Stamp{Incarnation: l.pool.incarnation, At: int64(now.Sub(l.startedAt)) + 1}}
	for name, n := range ask.Wants {
		s := l.limits[name]
		if s == nil || n <= 0 {
			continue
		}
		granted := l.pool.take(s, n)
		if granted > 0 {
			if reply.Grants == nil {
				reply.Grants = make(map[string]int)
			}
			reply.Grants[name] = granted
		}
		if granted == n {
			continue
		}
		if reply.WaitMs == nil {
			reply.WaitMs = make(map[string]int64)
		}
		wait, ok := l.pool.wait(s)
		if !ok {
			wait = maxExhausted
		}
		reply.WaitMs[name] = min(wait, maxRetryAfter).Milliseconds()
	}
	return reply
}

// named returns the hosts that a reply names: those that this host itself has heard of lately. The lock must be held.
func (l *Limiter) named(now time.Time) []Host {
	named := make([]Host, 0, namedHosts)
	for _, name := range l.order {
		k := l.known[name]
		switch {
		case len(named) == namedHosts:
			return named
		case name == l.self.Name && !l.leaving:
			named = append(named, l.self)
		case k != nil && now.Sub(k.heardAt) <= recentlyHeard && !now.Before(k.suspectUntil) && k.leftAt.IsZero():
			named = append(named, Host{Name: name, Address: k.address, Incarnation: k.incarnation})
		}
	}
	return named
}

// accept adds the share that a message lends, until shareTerm after the stamp that it repeats. The lock must be
// held.
func (l *Limiter) accept(ask *Ask, now time.Time) {
	if ask.Stamp.Incarnation != l.pool.incarnation || ask.From == l.self.Name || !(ask.Share >= 0 && ask.Share <= 1) {
		return
	}
	expires := l.startedAt.Add(time.Duration(ask.Stamp.At) + shareTerm)
	old, ok := l.pool.shares[ask.From]
	if ok && (old.incarnation > ask.Incarnation || old.incarnation == ask.Incarnation && old.sequence >= ask.Sequence) {
		return
	}
	if !now.Before(expires) || ask.Stamp.At > int64(now.Sub(l.startedAt))+1 {
		return
	}
	l.pool.set(ask.From, poolShare{share: ask.Share, expires: expires, sequence: ask.Sequence, incarnation: ask.Incarnation}, l.limits)
}
