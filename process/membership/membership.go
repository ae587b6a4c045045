// Package membership knows which entry hosts are part of the system.
//
// Every host holds the same table of members, spread from host to host. A member
// that does not answer is suspected first and can refute that with a larger
// counter; it counts as dead only when it stays silent. Each process has a row in
// the table service too, from which new hosts learn of the others.
package membership

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SuspicionTime is how long a silent member is suspected before it counts as dead.
	SuspicionTime = 5 * time.Second
	// isolatedFactor lengthens SuspicionTime on a host that nobody answers, since the
	// fault may be its own.
	isolatedFactor = 4
	// deadKept is how long a dead member is remembered and called again now and then,
	// so that regions that lost each other find each other again.
	deadKept = 24 * time.Hour
	// flapWindow is the time in which returns from death count as flapping.
	flapWindow = 5 * time.Minute
	// firstHold is how long a member that came back a second time takes no work;
	// it doubles with each return, up to maxHold.
	firstHold = 10 * time.Second
	maxHold   = 2 * time.Minute
)

// Member is one entry host's process.
type Member struct {
	Host string `json:"host" cbor:"1,keyasint"`
	// Incarnation tells a process from the earlier ones on the same host.
	Incarnation   uint64 `json:"incarnation" cbor:"2,keyasint"`
	Region        string `json:"region" cbor:"3,keyasint"`
	FailureDomain string `json:"failure_domain" cbor:"4,keyasint"`
	// ForwardAddr takes callers' requests, APIAddr look-ups, PeerAddr calls of other hosts.
	ForwardAddr string `json:"forward_addr" cbor:"5,keyasint"`
	APIAddr     string `json:"api_addr" cbor:"6,keyasint"`
	PeerAddr    string `json:"peer_addr" cbor:"7,keyasint"`
	// Leaving is true once the process has begun to stop.
	Leaving bool `json:"leaving,omitempty" cbor:"8,keyasint,omitempty"`
}

// Status is what is believed of a member.
type Status uint8

// The statuses. For one incarnation and counter the larger status wins.
const (
	Alive Status = iota
	Suspect
	Dead
)

// String returns the status in lower case.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "dead"}[min(s, Dead)]
}

// Entry is what is believed of one member. Only the member itself raises its counter.
type Entry struct {
	Member  Member `cbor:"1,keyasint"`
	Counter uint32 `cbor:"2,keyasint,omitempty"`
	Status  Status `cbor:"3,keyasint,omitempty"`
}

// newer reports whether e replaces o.
func (e Entry) newer(o Entry) bool {
	if e.Member.Incarnation != o.Member.Incarnation {
		return e.Member.Incarnation > o.Member.Incarnation
	}
	if e.Counter != o.Counter {
		return e.Counter > o.Counter
	}
	return e.Status > o.Status
}

// known is an entry with what only this host knows of it.
type known struct {
	Entry
	// changedAt is when the entry came to be as it is, on this host's clock.
	changedAt time.Time
	// returns counts how often the member came back from death within flapWindow.
	returns int
	// heldUntil is until when a flapping member takes no work.
	heldUntil time.Time
}

// Members holds the known members. It is safe for concurrent use.
type Members struct {
	lease *Lease

	mu    sync.Mutex
	self  string
	known map[string]*known
	sum   uint64
	// changed is called without the lock after each change made on this host.
	changed func(delta []byte)
	live    atomic.Pointer[[]Member]
}

// New returns an empty membership.
func New() *Members {
	m := &Members{known: make(map[string]*known), lease: newLease(), changed: func([]byte) {}}
	m.live.Store(&[]Member{})
	return m
}

// Start adds the process itself. changed is called with each change that this
// host makes, to be spread at once; it must not block.
func (m *Members) Start(self Member, changed func(delta []byte)) {
	m.mu.Lock()
	m.self = self.Host
	if changed != nil {
		m.changed = changed
	}
	m.lease.start(self.Incarnation)
	e := Entry{Member: self}
	m.put(e, time.Now())
	m.publishLive(time.Now())
	m.mu.Unlock()
	m.changed(encodeEntries([]Entry{e}))
}

// Lease returns the lease of this process.
func (m *Members) Lease() *Lease { return m.lease }

// Self returns this process as the others see it.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[m.self]; k != nil {
		return k.Member
	}
	return Member{}
}

// Live returns the members that take new work, in order of name. The slice is
// shared and must not be changed.
func (m *Members) Live() []Member { return *m.live.Load() }

// All returns every known member, the dead ones too, in order of name.
func (m *Members) All() []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Entry, 0, len(m.known))
	for _, k := range m.known {
		all = append(all, k.Entry)
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.Member.Host, b.Member.Host) })
	return all
}

// Reachable returns the members that are not dead, leaving ones included, in
// order of name, without this host.
func (m *Members) Reachable() []Member {
	m.mu.Lock()
	self := m.self
	m.mu.Unlock()
	var others []Member
	for _, e := range m.All() {
		if e.Status != Dead && e.Member.Host != self {
			others = append(others, e.Member)
		}
	}
	return others
}

// Dead returns the members that count as dead, in order of name.
func (m *Members) Dead() []Member {
	var dead []Member
	for _, e := range m.All() {
		if e.Status == Dead {
			dead = append(dead, e.Member)
		}
	}
	return dead
}

// Entry returns what is believed of a host.
func (m *Members) Entry(host string) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[host]; k != nil {
		return k.Entry, true
	}
	return Entry{}, false
}

// SetLeaving marks this process as leaving and tells the other hosts.
func (m *Members) SetLeaving() {
	m.changeSelf(func(e *Entry) bool {
		changed := !e.Member.Leaving
		e.Member.Leaving = true
		return changed
	})
}

// changeSelf raises the own counter with a change and spreads the entry.
func (m *Members) changeSelf(change func(e *Entry) bool) {
	m.mu.Lock()
	k := m.known[m.self]
	if k == nil {
		m.mu.Unlock()
		return
	}
	e := k.Entry
	if !change(&e) {
		m.mu.Unlock()
		return
	}
	e.Counter++
	e.Status = Alive
	m.put(e, time.Now())
	m.publishLive(time.Now())
	m.mu.Unlock()
	m.changed(encodeEntries([]Entry{e}))
}

// Suspect marks a member that did not answer, unless it has refuted that since,
// and tells the other hosts. It reports whether the member was not suspected yet.
func (m *Members) Suspect(of Entry) bool {
	of.Status = Suspect
	return m.accuse(of)
}

// accuse puts a status above alive and spreads it.
func (m *Members) accuse(e Entry) bool {
	m.mu.Lock()
	k := m.known[e.Member.Host]
	if k == nil || e.Member.Host == m.self || !e.newer(k.Entry) {
		m.mu.Unlock()
		return false
	}
	m.put(e, time.Now())
	m.publishLive(time.Now())
	m.mu.Unlock()
	m.changed(encodeEntries([]Entry{e}))
	return true
}

// Tick ends suspicions, holds and memories whose time is up. It returns the
// members that count as dead from now on.
func (m *Members) Tick(now time.Time) []Member {
	var overdue []Entry
	patience := SuspicionTime
	if !m.lease.Valid(now) {
		patience *= isolatedFactor
	}
	m.mu.Lock()
	for host, k := range m.known {
		age := now.Sub(k.changedAt)
		if k.Status == Suspect && age >= patience {
			e := k.Entry
			e.Status = Dead
			overdue = append(overdue, e)
		}
		if k.Status == Dead && age >= deadKept {
			delete(m.known, host)
		}
	}
	m.publishLive(now)
	m.mu.Unlock()
	var dead []Member
	for _, e := range overdue {
		if m.accuse(e) {
			dead = append(dead, e.Member)
		}
	}
	return dead
}

// put replaces an entry. m.mu is held.
func (m *Members) put(e Entry, now time.Time) {
	k := m.known[e.Member.Host]
	if k == nil {
		k = &known{}
		m.known[e.Member.Host] = k
	} else {
		m.sum ^= entrySum(k.Entry)
		k.noteReturn(e, now)
	}
	k.Entry = e
	k.changedAt = now
	m.sum ^= entrySum(e)
}

// noteReturn holds a member back that keeps coming back from death.
func (k *known) noteReturn(e Entry, now time.Time) {
	if k.Status != Dead || e.Status == Dead || e.Member.Incarnation != k.Member.Incarnation {
		return
	}
	if now.Sub(k.heldUntil) > flapWindow {
		k.returns = 0
	}
	k.returns++
	k.heldUntil = now
	if k.returns > 1 {
		k.heldUntil = now.Add(min(firstHold<<min(k.returns-2, 8), maxHold))
	}
}

// publishLive makes the list of members that take new work. m.mu is held.
func (m *Members) publishLive(now time.Time) {
	live := make([]Member, 0, len(m.known))
	for _, k := range m.known {
		if k.Status != Dead && !k.Member.Leaving && !now.Before(k.heldUntil) {
			live = append(live, k.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	if !slices.Equal(live, *m.live.Load()) {
		m.live.Store(&live)
	}
}
