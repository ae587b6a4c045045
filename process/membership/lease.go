package membership

import (
	"sync"
	"time"
)

// LeaseTerm is how long the lease of a process lasts after the start of the last
// exchange in which another host reported the process as alive. It is shorter than
// SuspicionTime, so that a paused or partitioned process stops acting on its lease
// before the others declare it dead.
const LeaseTerm = 3 * time.Second

// Lease decides whether this process may still use or issue grants, that is, rights that
// other hosts take over once they declare this process dead, such as its shares of the
// links. Call Valid at the moment of use, with time.Now(): after a pause of the process it
// returns false until an exchange with another host has succeeded. Every grant must carry
// Incarnation as a fencing token, so that grants of an earlier process can be recognised.
// It is safe for concurrent use.
type Lease struct {
	mu          sync.Mutex
	incarnation uint64
	// renewedAt is the start of the last successful exchange, with a monotonic clock
	// reading.
	renewedAt time.Time
	revoked   bool
}

func newLease() *Lease { return &Lease{} }

func (l *Lease) start(incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnation = incarnation
}

// Incarnation returns the incarnation of this process, or 0 before Members.Start.
func (l *Lease) Incarnation() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}

// Renew extends the lease to LeaseTerm after startedAt, the start of a successful
// exchange.
func (l *Lease) Renew(startedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if startedAt.After(l.renewedAt) {
		l.renewedAt = startedAt
	}
}

// Expire ends the lease until a later exchange renews it.
func (l *Lease) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewedAt = time.Time{}
}

// Revoke ends the lease permanently, because another process runs as this host.
func (l *Lease) Revoke() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked = true
}

// Revoked reports whether the lease was ended permanently because another process
// runs as this host.
func (l *Lease) Revoked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revoked
}

// Valid reports whether the lease is valid at now, a time with a monotonic reading.
func (l *Lease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.revoked && !l.renewedAt.IsZero() && now.Sub(l.renewedAt) < LeaseTerm
}
