// Package membership tracks which entry hosts are part of the system.
//
// Every host holds a replica of the member table; changes spread by gossip. A member
// that does not respond becomes a suspect first and can refute the suspicion by
// raising its counter; without a refutation it is declared dead after a timeout. Each
// process also has a row in the table service, through which new hosts discover the
// others.
package membership

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SuspicionTime is how long a member is a suspect before it is declared dead.
	SuspicionTime = 5 * time.Second
	// isolatedSuspicionFactor multiplies SuspicionTime on a host whose own lease is not
	// valid: no other host responds to it, so the fault may be its own.
	isolatedSuspicionFactor = 4
	// deadRetention is how long a dead member is kept and retried from time to time, so
	// that regions rejoin after a network partition.
	deadRetention = 24 * time.Hour
	// flapWindow is the time after the last recovery or exclusion of a member after which
	// its recoveries are counted from zero again.
	flapWindow = 5 * time.Minute
	// firstExclusion is how long a member gets no new work after its second recovery
	// from dead; the time doubles with each recovery, up to maxExclusion.
	firstExclusion = 10 * time.Second
	maxExclusion   = 2 * time.Minute
)

// Member is the process of an entry host, with its location and addresses.
type Member struct {
	Host string `json:"host" cbor:"1,keyasint"`
	// Incarnation is larger for each new process of the same host.
	Incarnation   uint64 `json:"incarnation" cbor:"2,keyasint"`
	Region        string `json:"region" cbor:"3,keyasint"`
	FailureDomain string `json:"failure_domain" cbor:"4,keyasint"`
	// ForwardAddr accepts requests of callers, APIAddr look-ups, and PeerAddr RPC calls
	// of other hosts.
	ForwardAddr string `json:"forward_addr" cbor:"5,keyasint"`
	APIAddr     string `json:"api_addr" cbor:"6,keyasint"`
	PeerAddr    string `json:"peer_addr" cbor:"7,keyasint"`
	// Leaving is true once the process has begun to stop.
	Leaving bool `json:"leaving,omitempty" cbor:"8,keyasint,omitempty"`
}

// Status is the liveness status of a member.
type Status uint8

// The statuses of a member. Of two entries with the same incarnation and counter, the
// one with the larger status replaces the other.
const (
	Alive Status = iota
	Suspect
	Dead
)

// String returns the status in lower case.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "dead"}[min(s, Dead)]
}

// Entry is the replicated state of one member. Only the member itself raises its
// counter.
type Entry struct {
	Member  Member `cbor:"1,keyasint"`
	Counter uint32 `cbor:"2,keyasint,omitempty"`
	Status  Status `cbor:"3,keyasint,omitempty"`
}

// newer reports whether e supersedes o.
func (e Entry) newer(o Entry) bool {
	if e.Member.Incarnation != o.Member.Incarnation {
		return e.Member.Incarnation > o.Member.Incarnation
	}
	if e.Counter != o.Counter {
		return e.Counter > o.Counter
	}
	return e.Status > o.Status
}

// memberState is an entry with the data that this host keeps locally about the member.
type memberState struct {
	Entry
	// changedAt is when the entry last changed here, by this host's clock.
	changedAt time.Time
	// recoveries counts the returns from dead without a pause of flapWindow between them.
	recoveries int
	// excludedUntil is when a flapping member may get new work again.
	excludedUntil time.Time
}

// Members is this host's replica of the member table. It is safe for concurrent use.
type Members struct {
	lease     *Lease
	discovery Discovery

	mu     sync.Mutex
	self   string
	states map[string]*memberState
	sum    uint64
	// onChange is called after each change that originates on this host, without mu held.
	onChange func(delta []byte)
	live     atomic.Pointer[[]Member]
}

// New returns an empty member table.
func New() *Members {
	m := &Members{states: make(map[string]*memberState), lease: newLease(), onChange: func([]byte) {}}
	m.live.Store(&[]Member{})
	return m
}

// Start adds this process to the table. changed, if not nil, is called with the delta
// of each change that originates on this host, to be sent to the other hosts at once;
// it must not block.
func (m *Members) Start(self Member, changed func(delta []byte)) {
	m.mu.Lock()
	m.self = self.Host
	if changed != nil {
		m.onChange = changed
	}
	m.lease.start(self.Incarnation)
	e := Entry{Member: self}
	m.put(e, time.Now())
	m.publishLive(time.Now())
	m.mu.Unlock()
	m.onChange(encodeEntries([]Entry{e}))
}

// Lease returns the lease of this process.
func (m *Members) Lease() *Lease { return m.lease }

// Discovery returns the discovery of the other hosts by this process.
func (m *Members) Discovery() *Discovery { return &m.discovery }

// Discovered reports whether this process has found the other hosts since it started, or
// knows that there are none.
func (m *Members) Discovered() bool { return m.discovery.Done(len(m.Live())) }

// Self returns the member of this process, or a zero Member before Start.
func (m *Members) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state := m.states[m.self]; state != nil {
		return state.Member
	}
	return Member{}
}

// Live returns the members that may get new work, sorted by host name. The slice is
// shared and must not be modified.
func (m *Members) Live() []Member { return *m.live.Load() }

// All returns the entries of all members, including dead ones, sorted by host name.
func (m *Members) All() []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Entry, 0, len(m.states))
	for _, state := range m.states {
		all = append(all, state.Entry)
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.Member.Host, b.Member.Host) })
	return all
}

// Reachable returns the members that are not dead, including leaving ones but without
// this host, sorted by host name.
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

// Dead returns the dead members, sorted by host name.
func (m *Members) Dead() []Member {
	var dead []Member
	for _, e := range m.All() {
		if e.Status == Dead {
			dead = append(dead, e.Member)
		}
	}
	return dead
}

// Entry returns the entry of a host and whether there is one.
func (m *Members) Entry(host string) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state := m.states[host]; state != nil {
		return state.Entry, true
	}
	return Entry{}, false
}

// SetLeaving marks this process as leaving and sends the change to the other hosts.
func (m *Members) SetLeaving() {
	m.changeSelf(func(e *Entry) bool {
		changed := !e.Member.Leaving
		e.Member.Leaving = true
		return changed
	})
}

// changeSelf applies a change to the entry of this process, raises its counter and
// sends the entry to the other hosts. It does nothing when change returns false.
func (m *Members) changeSelf(change func(e *Entry) bool) {
	m.mu.Lock()
	state := m.states[m.self]
	if state == nil {
		m.mu.Unlock()
		return
	}
	e := state.Entry
	if !change(&e) {
		m.mu.Unlock()
		return
	}
	e.Counter++
	e.Status = Alive
	m.put(e, time.Now())
	m.publishLive(time.Now())
	m.mu.Unlock()
	m.onChange(encodeEntries([]Entry{e}))
}

// Suspect marks a member that did not respond as a suspect and sends the change to the
// other hosts, unless a newer entry of the member has arrived since. It reports
// whether the status changed.
func (m *Members) Suspect(entry Entry) bool {
	entry.Status = Suspect
	return m.downgrade(entry)
}

// downgrade sets the status of another member to Suspect or Dead and sends the change
// to the other hosts. It reports whether the status changed.
func (m *Members) downgrade(e Entry) bool {
	m.mu.Lock()
	state := m.states[e.Member.Host]
	if state == nil || e.Member.Host == m.self || !e.newer(state.Entry) {
		m.mu.Unlock()
		return false
	}
	m.put(e, time.Now())
	m.publishLive(time.Now())
	m.mu.Unlock()
	m.onChange(encodeEntries([]Entry{e}))
	return true
}

// Tick applies the timeouts: it declares suspects dead, ends exclusions of flapping
// members and removes members that have been dead for deadRetention. It returns the
// members that it declared dead.
func (m *Members) Tick(now time.Time) []Member {
	var overdue []Entry
	suspicionTime := SuspicionTime
	if !m.lease.Valid(now) {
		suspicionTime *= isolatedSuspicionFactor
	}
	m.mu.Lock()
	for host, state := range m.states {
		age := now.Sub(state.changedAt)
		if state.Status == Suspect && age >= suspicionTime {
			e := state.Entry
			e.Status = Dead
			overdue = append(overdue, e)
		}
		if state.Status == Dead && age >= deadRetention {
			delete(m.states, host)
		}
	}
	m.publishLive(now)
	m.mu.Unlock()
	var dead []Member
	for _, e := range overdue {
		if m.downgrade(e) {
			dead = append(dead, e.Member)
		}
	}
	return dead
}

// put stores an entry in place of an older one. m.mu must be held.
func (m *Members) put(e Entry, now time.Time) {
	state := m.states[e.Member.Host]
	if state == nil {
		state = &memberState{}
		m.states[e.Member.Host] = state
	} else {
		m.sum ^= entrySum(state.Entry)
		state.recordRecovery(e, now)
	}
	state.Entry = e
	state.changedAt = now
	m.sum ^= entrySum(e)
}

// recordRecovery counts a return from dead and excludes a flapping member from new
// work. It is called before the entry e replaces the old one.
func (s *memberState) recordRecovery(e Entry, now time.Time) {
	if s.Status != Dead || e.Status == Dead || e.Member.Incarnation != s.Member.Incarnation {
		return
	}
	if now.Sub(s.excludedUntil) > flapWindow {
		s.recoveries = 0
	}
	s.recoveries++
	s.excludedUntil = now
	if s.recoveries > 1 {
		s.excludedUntil = now.Add(min(firstExclusion<<min(s.recoveries-2, 8), maxExclusion))
	}
}

// publishLive updates the list of members that may get new work. m.mu must be held.
func (m *Members) publishLive(now time.Time) {
	live := make([]Member, 0, len(m.states))
	for _, state := range m.states {
		if state.Status != Dead && !state.Member.Leaving && !now.Before(state.excludedUntil) {
			live = append(live, state.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	if !slices.Equal(live, *m.live.Load()) {
		m.live.Store(&live)
	}
}
