// Package quota keeps a rate limit for all hosts together.
//
// Each host has an equal share of every limit. It lends its share, for a short term, to the host that
// allocates (the first by rendezvous order of the hosts that it can reach), and that host leases tokens out
// of all shares that it was lent. A host that lends its share to nobody uses it alone. A share is at one
// host at a time, so the shares of all hosts never add up to more than the limit, whatever the hosts know of
// each other.
//
// limiter.go holds the state of one host, message.go the messages between hosts, pool.go the tokens that a
// host allocates, node.go sends the messages and makes requests wait for tokens.
package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"quetzalknot/process/fleet"
)

const (
	// shareTerm is how long a share is lent with one message.
	shareTerm = 1200 * time.Millisecond
	// shareMargin is how much longer the lender keeps from using the share, for clocks of different rates.
	shareMargin = 50 * time.Millisecond
	// renewInterval is the time between two messages of a host that needs no tokens. Two in a row may be lost.
	renewInterval = 300 * time.Millisecond
	// leaseTerm is how long a leased token can be used.
	leaseTerm = 360 * time.Millisecond
	// jitter is the largest difference between the times that requests take from Take to a target, and the
	// time after Take in which a token may be returned.
	jitter = 150 * time.Millisecond
	// askInterval is the least time between two messages to the allocator, urgentInterval that while requests
	// wait for a token.
	askInterval, urgentInterval = 60 * time.Millisecond, 20 * time.Millisecond
	// replyTimeout is how long a host waits for the reply to a message.
	replyTimeout = 300 * time.Millisecond
	// failuresToSuspect is how many messages to an allocator must fail in a row until another host is chosen,
	// which stays so for suspectTime.
	// A host that was suspect within the last suspectMemory is so again after one failure.
	failuresToSuspect = 3
	suspectTime       = 30 * time.Second
	suspectMemory     = 2 * time.Minute
	// namedHosts is how many hosts a reply names.
	namedHosts = 3
	// recentlyHeard is how long ago a host was heard of that a reply names.
	recentlyHeard = 5 * time.Second
	// joinTime is how long a started host does not use its own share: the others may not count it yet, and a
	// share that it lent before a restart has lapsed after that.
	joinTime = 1500 * time.Millisecond
	// memberRetention is how long a host that is not known any more counts when a limit is divided into shares,
	// since it may only be cut off.
	memberRetention = 5 * time.Minute
	// leftTime is how long a host that said that it leaves counts; it serves for the grace period.
	leftTime = 20 * time.Second
	// demandHorizon is the time for which tokens are asked ahead, at the recent rate. It covers a message to another
	// region, its reply and the pause before, and is less than half of leaseTerm, so that few tokens expire unused.
	demandHorizon = 150 * time.Millisecond
	// demandTime is the time constant of the estimate of a rate.
	demandTime = 250 * time.Millisecond
	// minExhausted and maxExhausted bound the time after a refusal by the allocator in which no request waits
	// for a token.
	minExhausted, maxExhausted = 50 * time.Millisecond, 200 * time.Millisecond
	// defaultRetryAfter is the retry time while it is not known when there will be a token.
	defaultRetryAfter = 250 * time.Millisecond
	// tokenForAll is the capacity for each host at which each host can use its share alone, and minRate the least part of
	// the limit's rate that this may leave.
	tokenForAll, minRate = 1.02, 0.97
	// allocatorSalt makes the order of allocators independent of other rendezvous orders.
	allocatorSalt = 0x71756f7461
)

// Limit is the limit of a workspace over all hosts together.
type Limit struct{ PerSecond, Burst float64 }

// Bounds say by how much the requests in any window may exceed a limit.
type Bounds struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

// Allowed returns how many requests all hosts together may send in any window.
func (b Bounds) Allowed(l Limit) float64 {
	return (l.PerSecond*b.Window.Seconds()+l.Burst)*(1+b.Overrun) + b.Slack
}

// bucket returns the rate and the capacity of the token bucket of a limit. A token is used at most leaseTerm
// after it was issued, so the requests of a window are at most rate * (Window + leaseTerm + jitter) + capacity.
// Of what is left beyond the burst only half is used. The rest is for hosts that do not count each other yet.
// The capacity is at least one token for each host, so that each can use its own share alone, if that takes at most
// minRate of the rate.
func (b Bounds) bucket(l Limit, hosts int) (rate, capacity float64) {
	allowed, span := b.Allowed(l), (b.Window + leaseTerm + jitter).Seconds()
	least := max(1, l.Burst)
	capacity = max(least, (least+allowed-l.PerSecond*span)/2)
	if forAll := tokenForAll * float64(hosts); forAll > capacity && (allowed-forAll)/span >= minRate*l.PerSecond {
		capacity = forAll
	}
	capacity = min(allowed, capacity)
	return min(l.PerSecond, (allowed-capacity)/span), capacity
}

// Host is another host.
type Host struct {
	Name, Address string
	// Incarnation grows with each start of the host; 0 means unknown.
	Incarnation int64
	Leaving     bool
}

// Limiter is the part of one host in the limits of all hosts together. It does no input or output and reads no
// clock. It is safe for concurrent use.
type Limiter struct {
	self      Host
	ownScore  uint64
	bounds    Bounds
	startedAt time.Time

	mu   sync.Mutex
	pool pool
	// limits holds the state of each workspace with a limit.
	limits map[string]*limitState
	// known holds the other hosts that count, and count the number of hosts that an allocator knew.
	known    map[string]*knownHost
	count    heardCount
	hasHosts bool
	leaving  bool
	// bucketHosts is the number of hosts from which the buckets were derived.
	bucketHosts int
	// order holds this host and those that may allocate, the preferred one first.
	order    []string
	failures int

	// lentTo is the host that this host's share was last lent to, until lentUntil.
	lentTo    string
	lentUntil time.Time
	// allocator is the chosen allocator, and stamp the stamp of its last reply; empty before one was chosen.
	allocator string
	stamp     Stamp
	sequence  uint64
	sentAt    time.Time
	inFlight  bool
	// urgent is true if a request waits for a token that no message has asked for.
	urgent bool
}

// knownHost is what a host knows of another one.
type knownHost struct {
	address string
	// score gives the place in the order of allocators, the highest first.
	score       uint64
	incarnation int64
	// knownAt is when the host was last known, and heardAt when this host itself heard of it other than from an
	// allocator.
	knownAt, heardAt time.Time
	// leftAt is when this incarnation first said that it leaves; zero if it did not.
	leftAt time.Time
	// suspectUntil is until when it does not allocate since it did not answer.
	suspectUntil time.Time
}

// heardCount is a number of hosts that an allocator stated.
type heardCount struct {
	hosts int
	from  Stamp
	at    time.Time
}

// lease is a number of tokens that can be used for a time.
type lease struct {
	tokens  int
	expires time.Time
}

// maxLeases is the number of leases of a workspace that are valid at once.
const maxLeases = int(leaseTerm/urgentInterval) + 1

// limitState is the state of a workspace with a limit.
type limitState struct {
	Limit
	bucket
	// leases are the valid leases, the oldest first.
	leases []lease
	// demand is the estimate of the requests a second, and taken the requests since demandAt.
	demand   float64
	taken    int
	demandAt time.Time
	// waiting is the number of requests that wait for a token.
	waiting int
	// exhaustedUntil is until when the allocator has no tokens.
	exhaustedUntil time.Time
	// tokenAt is when the allocator expected to have a token again.
	tokenAt           time.Time
	admitted, refused int64
}

// New returns a limiter of a host. The incarnation differs from those of earlier processes of the same host.
func New(self Host, incarnation int64, bounds Bounds, now time.Time) *Limiter {
	self.Incarnation = incarnation
	return &Limiter{
		self: self, ownScore: fleet.Score(allocatorSalt, self.Name), bounds: bounds, startedAt: now, pool: newPool(incarnation, now), limits: make(map[string]*limitState),
		known: make(map[string]*knownHost), order: []string{self.Name},
	}
}

// SetLimits replaces the limits of all workspaces. A workspace without one is not limited.
func (l *Limiter) SetLimits(limits map[string]Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.advance(now, l.limits)
	l.pool.settle(l.limits)
	for name := range l.limits {
		if _, ok := limits[name]; !ok {
			delete(l.limits, name)
		}
	}
	for name, limit := range limits {
		s := l.limits[name]
		if s == nil {
			s = &limitState{leases: make([]lease, 0, maxLeases), demandAt: now}
			s.settledAt = l.pool.integral
			l.limits[name] = s
		}
		s.Limit = limit
	}
	l.setBuckets(now)
}

// setBuckets derives the buckets from the limits and the number of hosts. The pool must be settled and the lock held.
func (l *Limiter) setBuckets(now time.Time) {
	l.bucketHosts = l.total(now)
	for _, s := range l.limits {
		s.rate, s.capacity = l.bounds.bucket(s.Limit, l.bucketHosts)
	}
	l.pool.settle(l.limits)
}

// SetHosts says which other hosts are known now. Before the first call this host does not use its share.
func (l *Limiter) SetHosts(hosts []Host, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasHosts = true
	for _, h := range hosts {
		l.hear(h, now)
	}
	l.order = append(l.order[:0], l.self.Name)
	for name, k := range l.known {
		if now.Sub(k.knownAt) > memberRetention {
			delete(l.known, name)
		} else if k.leftAt.IsZero() {
			l.order = append(l.order, name)
		}
	}
	if l.total(now) != l.bucketHosts {
		l.pool.advance(now, l.limits)
		l.pool.settle(l.limits)
		l.setBuckets(now)
	}
	slices.SortFunc(l.order, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.score(b), l.score(a)), cmp.Compare(a, b))
	})
}

// score returns the score of this host or of a known one. The lock must be held.
func (l *Limiter) score(name string) uint64 {
	if k := l.known[name]; k != nil {
		return k.score
	}
	return l.ownScore
}

// SetLeaving makes this host say that it leaves.
func (l *Limiter) SetLeaving() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// hear records that a host was heard of. The lock must be held.
func (l *Limiter) hear(h Host, now time.Time) {
	if k := l.know(h, now); k != nil {
		k.heardAt = now
	}
}

// know records that a host is known. That it leaves holds for one incarnation, since not all hosts hear of it. It returns
// nil for this host. The lock must be held.
func (l *Limiter) know(h Host, now time.Time) *knownHost {
	if h.Name == l.self.Name || h.Name == "" {
		return nil
	}
	k := l.known[h.Name]
	if k == nil {
		k = &knownHost{incarnation: h.Incarnation, score: fleet.Score(allocatorSalt, h.Name)}
		l.known[h.Name] = k
	}
	if h.Incarnation > k.incarnation {
		k.incarnation, k.leftAt, k.suspectUntil = h.Incarnation, time.Time{}, time.Time{}
	}
	k.address, k.knownAt = h.Address, now
	if h.Leaving && h.Incarnation == k.incarnation && k.leftAt.IsZero() {
		k.leftAt = now
	}
	return k
}

// share returns this host's share of every limit. The lock must be held.
func (l *Limiter) share(now time.Time) float64 {
	if !l.hasHosts || now.Sub(l.startedAt) < joinTime {
		return 0
	}
	return 1 / float64(l.total(now))
}

// total returns how many hosts share the limits: those that this host or an allocator knows. The lock must be held.
func (l *Limiter) total(now time.Time) int {
	count := l.hosts(now)
	if now.Sub(l.count.at) <= memberRetention {
		count = max(count, l.count.hosts)
	}
	return count
}

// hosts returns how many hosts count, this one included. The lock must be held.
func (l *Limiter) hosts(now time.Time) int {
	count := 1
	for _, k := range l.known {
		if now.Sub(k.knownAt) <= memberRetention && (k.leftAt.IsZero() || now.Sub(k.leftAt) < leftTime) {
			count++
		}
	}
	return count
}

// hearCount takes the number of hosts that an allocator states. A lower one counts at once only if it is of the
// allocator that stated the present one, since another one may know fewer hosts. The lock must be held.
func (l *Limiter) hearCount(hosts int, from Stamp, now time.Time) {
	if hosts >= l.count.hosts || from.Incarnation == l.count.from.Incarnation || now.Sub(l.count.at) > memberRetention {
		l.count = heardCount{hosts: hosts, from: from, at: now}
	}
}

// Take admits a request of a workspace or says when to try again.
func (l *Limiter) Take(workspace string, now time.Time) (ok bool, retryAfter time.Duration) {
	return l.take(workspace, now, true)
}

// take is Take. With first false the request was refused before and waits for a token.
func (l *Limiter) take(workspace string, now time.Time, first bool) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limits[workspace]
	if s == nil {
		return true, 0
	}
	if first {
		s.taken++
	}
	if l.takeToken(s, now) {
		s.admitted++
		if !first {
			s.refused--
		}
		return true, 0
	}
	if first {
		s.refused++
	}
	return false, l.retryAfter(s, now)
}

func (l *Limiter) takeToken(s *limitState, now time.Time) bool {
	s.dropExpired(now)
	if len(s.leases) > 0 {
		if s.leases[0].tokens--; s.leases[0].tokens == 0 {
			s.leases = slices.Delete(s.leases, 0, 1)
		}
		return true
	}
	l.pool.advance(now, l.limits)
	return l.pool.take(s, 1) == 1
}

// maxRetryAfter is the longest retry time: the limit may have been raised by then.
const maxRetryAfter = 30 * time.Second

// retryAfter returns when there is likely to be a token. The lock must be held.
func (l *Limiter) retryAfter(s *limitState, now time.Time) time.Duration {
	wait, known := l.pool.wait(s)
	switch {
	case l.allocator != l.self.Name && l.allocator != "":
		wait = max(defaultRetryAfter, s.tokenAt.Sub(now))
	case !known:
		wait = max(defaultRetryAfter, joinTime-now.Sub(l.startedAt))
	}
	return min(wait, maxRetryAfter)
}

// Return gives back the token of a request that was admitted at most jitter ago and not sent.
func (l *Limiter) Return(workspace string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limits[workspace]
	if s == nil {
		return
	}
	s.admitted--
	s.dropExpired(now)
	if len(s.leases) > 0 {
		s.leases[0].tokens++
		return
	}
	l.pool.advance(now, l.limits)
	l.pool.add(s, 1)
}

// startWaiting reports whether a request that was refused may get a token within milliseconds: the allocator is
// another host and has not just said that it has none. If so, the next message asks for a token, and stopWaiting
// must be called.
func (l *Limiter) startWaiting(workspace string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limits[workspace]
	if s == nil || !l.mayWait(s, now) {
		return false
	}
	s.waiting++
	l.urgent = true
	return true
}

// keepWaiting is startWaiting for a request that waits already.
func (l *Limiter) keepWaiting(workspace string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limits[workspace]
	if s == nil || !l.mayWait(s, now) {
		return false
	}
	l.urgent = true
	return true
}

// stopWaiting ends the waiting of a request.
func (l *Limiter) stopWaiting(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.limits[workspace]; s != nil && s.waiting > 0 {
		s.waiting--
	}
}

// mayWait reports whether a request may wait. The lock must be held.
func (l *Limiter) mayWait(s *limitState, now time.Time) bool {
	if l.allocator == "" || now.Before(s.exhaustedUntil) {
		return false
	}
	return l.allocator != l.self.Name || now.Before(l.lentUntil)
}

// failingOver reports whether no allocator answers: the last messages failed, or this host's share is still lent to
// another one.
func (l *Limiter) failingOver(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures > 0 || l.stamp == (Stamp{}) || l.lentTo != l.allocator && now.Before(l.lentUntil)
}

func (s *limitState) dropExpired(now time.Time) {
	for len(s.leases) > 0 && !now.Before(s.leases[0].expires) {
		s.leases = slices.Delete(s.leases, 0, 1)
	}
}

// held returns the number of valid tokens.
func (s *limitState) held(now time.Time) int {
	s.dropExpired(now)
	total := 0
	for _, lease := range s.leases {
		total += lease.tokens
	}
	return total
}

// Status is what a host knows of the limit of a workspace, for logs and metrics.
type Status struct {
	Limit Limit
	// Share is the part of all shares that is at this host now: its own one or those that it was lent.
	Share float64
	// Allocator is the host that leases tokens to this one; this host itself if it uses its own share.
	Allocator         string
	Admitted, Refused int64
}

// Status returns the status of a workspace; all is zero if it has no limit.
func (l *Limiter) Status(workspace string, now time.Time) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limits[workspace]
	if s == nil {
		return Status{}
	}
	l.pool.advance(now, l.limits)
	return l.status(s)
}

// Statuses returns the status of all workspaces with a limit.
func (l *Limiter) Statuses(now time.Time) map[string]Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.advance(now, l.limits)
	all := make(map[string]Status, len(l.limits))
	for name, s := range l.limits {
		all[name] = l.status(s)
	}
	return all
}

// status returns the status of a workspace. The lock must be held.
func (l *Limiter) status(s *limitState) Status {
	// Requests that wait for a token are counted as refused until they get one.
	return Status{Limit: s.Limit, Share: l.pool.share, Allocator: l.allocator, Admitted: s.admitted, Refused: s.refused - int64(s.waiting)}
}

// allocatorAndShare returns the host that allocates for this one and the part of all shares that is at this host.
func (l *Limiter) allocatorAndShare(now time.Time) (string, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.advance(now, l.limits)
	return l.allocator, l.pool.share
}

// Share returns the part of all shares that is at this host: its own one and those that it was lent.
func (l *Limiter) Share(now time.Time) float64 {
	_, share := l.allocatorAndShare(now)
	return share
}
