package entry

import (
	"sync"
	"time"

	"quetzalknot/platform/adapter"
)

// storeFailureWindow is how long after a failed call this host tells its partners that the store fails.
const storeFailureWindow = 3 * time.Second

// slowResponse is the delay from which a response counts as late, and slowMemory how long the store
// counts as slow after one.
const (
	slowResponse = 250 * time.Millisecond
	slowMemory   = 10 * time.Second
)

// storeStatus records for each mirrored table whether this host's calls to the store succeed.
type storeStatus struct {
	mu     sync.Mutex
	tables map[string]*tableStatus
	// slowAt is when a response last came late, or a call last failed.
	slowAt time.Time
	// reads is true from the first time that all tables were answered until stopReading.
	reads bool
}

// tableStatus is the status of the calls for one table.
type tableStatus struct {
	// answered is true if a call was answered since this host began to read the table.
	answered bool
	// down is true if the last call failed.
	down bool
	// confirmedAt is when an answer last confirmed this host's copy of the table, which is before the
	// answer arrived, and failedAt when a call last failed.
	confirmedAt, failedAt time.Time
	// readingSince is when this host made its first call since it began to read the table.
	readingSince time.Time
}

// statusChange says what a successful call has changed.
type statusChange struct {
	// ReadsStore is true if this host has begun to read the store.
	ReadsStore bool
	// Regained is true if the table's last call failed.
	Regained bool
}

func newStoreStatus() *storeStatus {
	s := &storeStatus{tables: make(map[string]*tableStatus)}
	for _, name := range adapter.Tables() {
		s.tables[name] = new(tableStatus)
	}
	return s
}

// recordCall records that a call for a table is made.
func (s *storeStatus) recordCall(table string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.tables[table]; t.readingSince.IsZero() {
		t.readingSince = now
	}
}

// recordDelay records how late a response without changes came.
func (s *storeStatus) recordDelay(delay time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if delay > slowResponse {
		s.slowAt = now
	}
}

// recordSuccess records a call for a table that the store answered. The answer has confirmed this host's
// copy of the table at the given time; the zero time means that it has not.
func (s *storeStatus) recordSuccess(table string, confirmed time.Time) statusChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[table]
	change := statusChange{Regained: t.down}
	t.answered, t.down, t.confirmedAt = true, false, latest(t.confirmedAt, confirmed)
	change.ReadsStore = !s.reads && s.allOK()
	s.reads = s.reads || change.ReadsStore
	return change
}

// recordFailure records a failed call for a table and reports whether the previous call for
// it, if any, succeeded.
func (s *storeStatus) recordFailure(table string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[table]
	wasUp := !t.down
	t.down, t.failedAt = true, now
	s.slowAt = now // the response may have been on the way
	return wasUp
}

// stopReading records that this host no longer reads a table from the store. It returns true
// if this host has thereby stopped to read the store.
func (s *storeStatus) stopReading(table string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[table]
	t.answered, t.down, t.readingSince = false, false, time.Time{}
	stopped := s.reads
	s.reads = false
	return stopped
}

// sinceAnswer returns the time since an answer last confirmed this host's copy of a table, or since the
// first call if none was answered; 0 while this host does not read the table.
func (s *storeStatus) sinceAnswer(table string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch t := s.tables[table]; {
	case t.answered:
		return now.Sub(t.confirmedAt)
	case !t.readingSince.IsZero():
		return now.Sub(t.readingSince)
	default:
		return 0
	}
}

// age returns the time since the table that was confirmed longest ago was confirmed. ok is false
// if this host does not read all tables, or its last call for one failed.
func (s *storeStatus) age(now time.Time) (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tables {
		if !t.ok() {
			return 0, false
		}
		age = max(age, now.Sub(t.confirmedAt))
	}
	return age, true
}

// sinceConfirmed returns the time since the table that was confirmed longest ago was confirmed, also while this host no
// longer reads the store, and at least 1 ns; 0 if one was never confirmed.
func (s *storeStatus) sinceConfirmed(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := time.Nanosecond
	for _, t := range s.tables {
		if t.confirmedAt.IsZero() {
			return 0
		}
		since = max(since, now.Sub(t.confirmedAt))
	}
	return since
}

// recordConfirmed records that an answer of the store has confirmed this host's copy of a table at the given time, without
// saying whether this host reads the table; the zero time means that it has not.
func (s *storeStatus) recordConfirmed(table string, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[table]
	t.confirmedAt = latest(t.confirmedAt, confirmed)
}

// polls reports whether the next call for a table may wait for changes for the full time: the
// last one was answered, and within slowMemory no call for any table failed or was answered late.
func (s *storeStatus) polls(table string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	slow := !s.slowAt.IsZero() && now.Sub(s.slowAt) < slowMemory
	return s.tables[table].ok() && !slow
}

// ok reports whether this host reads all tables and its last call for each succeeded.
func (s *storeStatus) ok() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allOK()
}

// isDown reports whether this host's last call for a table failed.
func (s *storeStatus) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tables {
		if t.down {
			return true
		}
	}
	return false
}

// allOK is ok; the lock must be held.
func (s *storeStatus) allOK() bool {
	for _, t := range s.tables {
		if !t.ok() {
			return false
		}
	}
	return true
}

func (t *tableStatus) ok() bool { return t.answered && !t.down }

// recentlyFailed reports whether the last call for a table failed, or any failed within
// storeFailureWindow.
func (s *storeStatus) recentlyFailed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tables {
		if t.down || (!t.failedAt.IsZero() && now.Sub(t.failedAt) < storeFailureWindow) {
			return true
		}
	}
	return false
}
