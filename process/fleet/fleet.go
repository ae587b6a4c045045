// Package fleet holds what this host believes of the targets: which exist, which leave,
// which are cold or down, and how loaded they are.
//
// fleet.go takes in the targets' reports and evacuations, target.go is one target and
// the estimates about it, probe.go decides which liveness checks are due.
package fleet

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
)

var (
	evTarget     = eventlog.Define(1601, zerolog.InfoLevel, "target state changed")
	evEvacuation = eventlog.Define(1602, zerolog.InfoLevel, "evacuation changed")
	evStale      = eventlog.Define(1603, zerolog.WarnLevel, "older report of a target ignored")
)

// Fleet is the belief about all targets. It is safe for concurrent use; callers hold
// Lock while they use a Target.
type Fleet struct {
	sync.Mutex
	log       zerolog.Logger
	targets   map[string]*Target
	byService map[string][]*Target
	evacuated map[string]bool
	// owns reports whether this host may send to a cold target.
	owns func(id string, owners int) bool
	// generation changes with the targets, their slots and what leaves.
	generation uint64
	// newcomersUntil is until when a target that joined may want its first request.
	newcomersUntil time.Time
	// since is when the first target was known.
	since time.Time
	// most is how many requests of this host a target gets in a second while it is in
	// doubt whether the reports are new; 0 means that they are.
	most func(service string) int
}

// settleTime is how long after the first target others count as known from the start.
const settleTime = 5 * time.Second

// introduceFor is how long after it joined, and is warm, a target may be introduced.
const introduceFor = 15 * time.Second

// New returns a fleet without targets. owns reports whether this host is among the
// given number of owners of a target.
func New(log zerolog.Logger, owns func(id string, owners int) bool) *Fleet {
	return &Fleet{
		log: log, owns: owns,
		targets: make(map[string]*Target), byService: make(map[string][]*Target), evacuated: make(map[string]bool),
	}
}

// Upsert takes in a target's report of itself. A report that is older than what is
// known changes nothing.
func (f *Fleet) Upsert(e Entry, now time.Time) {
	f.Lock()
	defer f.Unlock()
	t := f.targets[e.ID]
	switch {
	case t == nil || e.Born > t.Born:
		f.replace(e, now)
	case e.Born < t.Born || e.Sequence < t.Sequence:
		evStale.Log(f.log).Str("target", e.ID).Int64("sequence", e.Sequence).Int64("known", t.Sequence).Send()
	default:
		f.update(t, e, now)
	}
}

func (f *Fleet) replace(e Entry, now time.Time) {
	if old := f.targets[e.ID]; old != nil {
		old.Leaving = true
		f.unlist(old)
	}
	f.generation++
	t := newTarget(e, now)
	if f.since.IsZero() {
		f.since = now
	}
	if t.joined = now.Sub(f.since) > settleTime; t.joined {
		f.newcomersUntil = now.Add(introduceFor + e.Cold)
	}
	f.targets[e.ID] = t
	f.byService[e.Service] = append(f.byService[e.Service], t)
	f.logState(t, now)
}

func (f *Fleet) update(t *Target, e Entry, now time.Time) {
	changed := t.Leaving != e.Leaving || !t.removeAt.IsZero()
	if t.Service != e.Service || t.Addr != e.Addr {
		f.replace(e, now)
		return
	}
	if t.Leaving != e.Leaving || t.Slots != e.Slots {
		f.generation++
	}
	t.Entry = e
	t.removeAt = time.Time{}
	if e.Cold > 0 {
		t.coldUntil = now.Add(e.Cold)
	}
	if changed {
		f.logState(t, now)
	}
}

// Remove forgets a target whose report is gone. With hold the target stays for so
// long, in case its report comes back.
func (f *Fleet) Remove(id string, now time.Time, hold time.Duration) {
	f.Lock()
	defer f.Unlock()
	t := f.targets[id]
	if t == nil {
		return
	}
	if hold > 0 {
		t.removeAt = now.Add(hold)
		f.logState(t, now)
		return
	}
	f.drop(t, now)
}

func (f *Fleet) drop(t *Target, now time.Time) {
	t.Leaving = true
	f.generation++
	delete(f.targets, t.ID)
	f.unlist(t)
	f.logState(t, now)
}

func (f *Fleet) unlist(t *Target) {
	list := f.byService[t.Service]
	kept := make([]*Target, 0, len(list))
	for _, other := range list {
		if other != t {
			kept = append(kept, other)
		}
	}
	f.byService[t.Service] = kept
}

// Sweep drops targets whose hold has ended. Now is the present time.
func (f *Fleet) Sweep(now time.Time) {
	f.Lock()
	defer f.Unlock()
	for _, t := range f.targets {
		if !t.removeAt.IsZero() && !now.Before(t.removeAt) {
			f.drop(t, now)
		}
	}
}

// Evacuate sets whether the targets of a zone get nothing. After an evacuation they
// count as cold until they are known not to be.
func (f *Fleet) Evacuate(zone string, on bool, now time.Time) {
	f.Lock()
	defer f.Unlock()
	if f.evacuated[zone] == on {
		return
	}
	f.evacuated[zone] = on
	evEvacuation.Log(f.log).Str("failure_domain", zone).Bool("evacuated", on).Send()
	if on {
		return
	}
	for _, t := range f.targets {
		if t.Zone == zone {
			t.unconfirmed = true
			t.probeAt = now
			t.probePause = probeFirst
			t.objects = make(map[uint64]time.Time)
		}
	}
}

// Service returns the targets of a service. The lock must be held; the list must not
// be changed.
func (f *Fleet) Service(name string) []*Target { return f.byService[name] }

// Generation returns a number that changes whenever targets come, go or leave, or their
// slots change. The lock must be held.
func (f *Fleet) Generation() uint64 { return f.generation }

// Newcomers reports whether targets that joined lately may want their first request.
// The lock must be held.
func (f *Fleet) Newcomers(now time.Time) bool { return now.Before(f.newcomersUntil) }

// Usable reports whether new requests may be sent to the target. The lock must be held.
func (f *Fleet) Usable(t *Target, now time.Time) bool {
	if t.Leaving || t.down || f.evacuated[t.Zone] {
		return false
	}
	if f.most != nil && t.sentWithin(time.Second, now) >= f.most(t.Service) {
		return false
	}
	if !t.Cold(now) {
		return true
	}
	return t.mayStart(now) && f.owns(t.ID, coldOwners)
}

// Doubt says that reports may be old, so that a target may have turned cold unseen. Until
// Trust is called, a target gets at most so many requests of this host in a second.
func (f *Fleet) Doubt(most func(service string) int) {
	f.Lock()
	defer f.Unlock()
	f.most = most
}

// Trust says that reports are new again.
func (f *Fleet) Trust() { f.Doubt(nil) }

// Introduces reports whether this host is the one that sends the first request to a
// target that joined lately. The lock must be held.
func (f *Fleet) Introduces(t *Target, now time.Time) bool {
	return f.Newcomers(now) && t.joined && t.Sent == 0 && !t.Cold(now) && f.owns(t.ID, 1)
}

// Begin notes that a request is about to be sent, and returns its number at the target.
// The lock must be held.
func (f *Fleet) Begin(t *Target, w Work, now time.Time) uint64 { return t.begin(w, now) }

// End notes what became of a request.
func (f *Fleet) End(t *Target, number uint64, o Outcome, now time.Time) {
	f.Lock()
	defer f.Unlock()
	wasDown, slots := t.down, t.Slots
	t.end(number, o, now)
	if t.Slots != slots {
		f.generation++
	}
	if t.down != wasDown {
		f.logState(t, now)
	}
}

// Fell notes that a target no longer listens.
func (f *Fleet) Fell(t *Target, now time.Time) {
	f.Lock()
	defer f.Unlock()
	if t.down {
		return
	}
	t.fallDown(now)
	f.logState(t, now)
}

// Dialed notes how long it took to open a connection to an address.
func (f *Fleet) Dialed(addr string, took time.Duration) {
	f.Lock()
	defer f.Unlock()
	for _, t := range f.targets {
		if t.Addr == addr && (t.RTT == 0 || took < t.RTT) {
			t.RTT = took
		}
	}
}

// Size returns how many targets are known.
func (f *Fleet) Size() int {
	f.Lock()
	defer f.Unlock()
	return len(f.targets)
}

// States are the names of the states that Count counts.
var States = []string{"ready", "cold", "down", "leaving", "missing"}

// Count returns how many targets are in a state.
func (f *Fleet) Count(state string, now time.Time) int64 {
	f.Lock()
	defer f.Unlock()
	n := int64(0)
	for _, t := range f.targets {
		if f.stateName(t, now) == state {
			n++
		}
	}
	return n
}

func (f *Fleet) logState(t *Target, now time.Time) {
	evTarget.Log(f.log).Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr).
		Str("state", f.stateName(t, now)).Int64("sequence", t.Sequence).Int64("born", t.Born).
		Dur("cold", max(0, t.coldUntil.Sub(now))).Send()
}

func (f *Fleet) stateName(t *Target, now time.Time) string {
	switch {
	case f.targets[t.ID] != t:
		return "gone"
	case !t.removeAt.IsZero():
		return "missing"
	case t.Leaving:
		return "leaving"
	case t.down:
		return "down"
	case t.Cold(now):
		return "cold"
	default:
		return "ready"
	}
}

// Score returns the rendezvous score of an owner or target for a key; the largest wins.
func Score(key uint64, id string) uint64 {
	return mix(key ^ xxhash.Sum64String(id))
}

// mix spreads the bits of x (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
