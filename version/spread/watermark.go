package spread

import (
	"sync"
	"time"
)

// MaxStateAge is the age of the state from which a host is no longer up to date with
// the table service.
const MaxStateAge = 15 * time.Second

// minSyncedDomains is the number of failure domains from which a host must synchronise
// its state while the table service is unavailable. It is lower if the reachable
// members are in fewer failure domains.
const minSyncedDomains = 2

// watermark is the time and the table revision up to which the state contains all
// accepted tickets.
type watermark struct {
	mu sync.Mutex
	// at is the last time at which the state is known to have matched the table service.
	// It has a monotonic clock reading.
	at       time.Time
	revision int64
}

func (w *watermark) advance(at time.Time, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.at) {
		w.at = at
	}
	w.revision = max(w.revision, revision)
}

func (w *watermark) age() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.at), !w.at.IsZero()
}

// ageMSAndRevision returns the age in milliseconds, rounded up, or -1 if it is unknown, and
// the revision.
func (w *watermark) ageMSAndRevision() (int64, int64) {
	age, known := w.age()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !known {
		return -1, w.revision
	}
	return age.Milliseconds() + 1, w.revision
}

// UpToDate reports whether the state matched the table service less than MaxStateAge ago.
// A host that is not up to date neither starts nor increases a traffic shift.
func (e *Engine) UpToDate() bool {
	age, known := e.watermark.age()
	return known && age < MaxStateAge
}

// StateAge returns the time since the state was last known to match the table service,
// and false if that was never the case.
func (e *Engine) StateAge() (time.Duration, bool) { return e.watermark.age() }

// Revision returns the table revision up to which the state contains all accepted
// tickets.
func (e *Engine) Revision() int64 {
	e.watermark.mu.Lock()
	defer e.watermark.mu.Unlock()
	return e.watermark.revision
}

// RecordRead records that a read that began at the given time returned all tickets up
// to a table revision.
func (e *Engine) RecordRead(began time.Time, revision int64) {
	e.watermark.advance(began, revision)
	e.complete.Store(true)
}

// Complete reports whether this host has the complete state as of its start, read from
// the table service or synchronised from hosts in two failure domains.
func (e *Engine) Complete() bool { return e.complete.Load() }

// recordSync adopts the watermark of a host that has the same tickets. If that host's
// state is complete, its failure domain counts towards the completeness of this state.
func (e *Engine) recordSync(began time.Time, reply ExchangeReply) {
	if reply.StateAgeMS >= 0 {
		e.watermark.advance(began.Add(-time.Duration(reply.StateAgeMS)*time.Millisecond), reply.Revision)
	}
	if !reply.Complete || e.complete.Load() {
		return
	}
	e.mu.Lock()
	e.syncedDomains[reply.FailureDomain] = true
	synced := len(e.syncedDomains)
	e.mu.Unlock()
	domains := make(map[string]bool)
	for _, m := range e.Members.Reachable() {
		domains[m.FailureDomain] = true
	}
	if synced >= min(minSyncedDomains, len(domains)) && synced > 0 {
		e.complete.Store(true)
	}
}
