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

// Position is a revision of the table in one of its eras. Revisions compare within an era
// only: a table that was restored from a copy gives them out again.
type Position struct {
	Era      uint64
	Revision int64
}

// after reports whether p is later than o.
func (p Position) after(o Position) bool {
	return p.Era > o.Era || p.Era == o.Era && p.Revision > o.Revision
}

// watermark is the time and the table position up to which the state contains all
// accepted tickets.
type watermark struct {
	mu sync.Mutex
	// at is the last time at which the state is known to have matched the table service.
	// It has a monotonic clock reading.
	at       time.Time
	position Position
}

func (w *watermark) advance(at time.Time, to Position) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.at) {
		w.at = at
	}
	if to.after(w.position) {
		w.position = to
	}
}

func (w *watermark) age() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.at), !w.at.IsZero()
}

// ageMS returns the age in milliseconds, rounded up, or -1 if it is unknown.
func (w *watermark) ageMS() int64 {
	age, known := w.age()
	if !known {
		return -1
	}
	return age.Milliseconds() + 1
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

// Position returns the table position up to which the state contains all accepted tickets.
func (e *Engine) Position() Position {
	e.watermark.mu.Lock()
	defer e.watermark.mu.Unlock()
	return e.watermark.position
}

// RecordRead records that a read that began at the given time returned all tickets up
// to a table position.
func (e *Engine) RecordRead(began time.Time, upTo Position) {
	e.watermark.advance(began, upTo)
	e.complete.Store(true)
}

// Complete reports whether this host has the complete state as of its start, read from
// the table service or synchronised from hosts in two failure domains.
func (e *Engine) Complete() bool { return e.complete.Load() }

// recordSync adopts the watermark of a host that has the same tickets. If that host's
// state is complete, its failure domain counts towards the completeness of this state.
func (e *Engine) recordSync(began time.Time, reply ExchangeReply) {
	if reply.StateAgeMS >= 0 {
		at := began.Add(-time.Duration(reply.StateAgeMS) * time.Millisecond)
		e.watermark.advance(at, Position{Era: reply.Era, Revision: reply.Revision})
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
