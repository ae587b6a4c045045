package entry

import (
	"sync"
	"time"
)

// storeFailureWindow is how long after a failed call the removal of a target's report may
// mean that the store lost the report, so that the target is not dropped at once.
const storeFailureWindow = 3 * time.Second

// storeStatus records whether this host's calls to the store succeed.
type storeStatus struct {
	mu            sync.Mutex
	hasSucceeded  bool
	down          bool
	lastFailureAt time.Time
	// answeredAt is when a call for the changes of a table was last answered.
	answeredAt map[string]time.Time
}

func newStoreStatus() *storeStatus { return &storeStatus{answeredAt: make(map[string]time.Time)} }

// isFirstSuccess reports whether no call has succeeded yet since this host began to read the
// store.
func (s *storeStatus) isFirstSuccess() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.hasSucceeded
}

// recordSuccess records a successful call for a table and reports whether the previous call failed.
func (s *storeStatus) recordSuccess(table string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasDown := s.down
	s.hasSucceeded, s.down = true, false
	s.answeredAt[table] = now
	return wasDown
}

// recordFailure records a failed call and reports whether the previous call, if any,
// succeeded.
func (s *storeStatus) recordFailure(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasUp := !s.down
	s.down, s.lastFailureAt = true, now
	return wasUp
}

// stopReading records that this host no longer reads the store. It returns false when that
// was already recorded.
func (s *storeStatus) stopReading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasReading := s.hasSucceeded
	s.hasSucceeded, s.down = false, false
	return wasReading
}

// sinceAnswer returns the time since a call for a table was last answered; 0 while this host
// does not read the store.
func (s *storeStatus) sinceAnswer(table string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasSucceeded || s.answeredAt[table].IsZero() {
		return 0
	}
	return now.Sub(s.answeredAt[table])
}

// ok reports whether this host reads the store and its last call succeeded.
func (s *storeStatus) ok() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasSucceeded && !s.down
}

// recentlyFailed reports whether the store is down or a call failed within
// storeFailureWindow.
func (s *storeStatus) recentlyFailed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || (!s.lastFailureAt.IsZero() && now.Sub(s.lastFailureAt) < storeFailureWindow)
}
