package spread

import (
	"sync"
	"time"
)

// FreshTerm is how old a host's knowledge of the table service may be for the
// host to count as fresh.
const FreshTerm = 15 * time.Second

// wholeDomains is from how many failure domains a host must have taken its state
// when the table service is down, where the members stand in that many.
const wholeDomains = 2

// freshness is up to when and which table revision the state is complete.
type freshness struct {
	mu sync.Mutex
	// at is when the state was that of the table service; it has a monotonic reading.
	at       time.Time
	revision int64
}

func (f *freshness) mark(at time.Time, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.at) {
		f.at = at
	}
	f.revision = max(f.revision, revision)
}

func (f *freshness) age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.at), !f.at.IsZero()
}

// message returns the age in milliseconds, rounded up, or -1, and the revision.
func (f *freshness) message() (int64, int64) {
	age, known := f.age()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !known {
		return -1, f.revision
	}
	return age.Milliseconds() + 1, f.revision
}

// Fresh reports whether the state was that of the table service within FreshTerm.
// A host that is not fresh starts no move and widens none.
func (e *Engine) Fresh() bool {
	age, known := e.fresh.age()
	return known && age < FreshTerm
}

// FreshAge returns how long ago the state was that of the table service, and
// whether it ever was as far as this host can know.
func (e *Engine) FreshAge() (time.Duration, bool) { return e.fresh.age() }

// Revision returns the table revision that the state holds at least.
func (e *Engine) Revision() int64 {
	e.fresh.mu.Lock()
	defer e.fresh.mu.Unlock()
	return e.fresh.revision
}

// MarkFresh states that all tickets up to a table revision were read by a call
// that began at a time.
func (e *Engine) MarkFresh(began time.Time, revision int64) {
	e.fresh.mark(began, revision)
	e.whole.Store(true)
}

// Whole reports whether this host holds the whole state that was in force when it
// started: read from the table service, or from hosts in two failure domains.
func (e *Engine) Whole() bool { return e.whole.Load() }

// learn takes over what a host with the same tickets knows of the table service.
func (e *Engine) learn(began time.Time, reply ExchangeReply) {
	if reply.FreshMS >= 0 {
		e.fresh.mark(began.Add(-time.Duration(reply.FreshMS)*time.Millisecond), reply.Revision)
	}
	if !reply.Whole || e.whole.Load() {
		return
	}
	e.mu.Lock()
	e.syncDomains[reply.FailureDomain] = true
	got := len(e.syncDomains)
	e.mu.Unlock()
	domains := make(map[string]bool)
	for _, m := range e.Members.Reachable() {
		domains[m.FailureDomain] = true
	}
	if got >= min(wholeDomains, len(domains)) && got > 0 {
		e.whole.Store(true)
	}
}
