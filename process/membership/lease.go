package membership

import (
	"sync"
	"time"
)

// LeaseTerm is how long a process counts itself as held to be alive after the
// start of the last exchange in which another host said so. It is shorter than
// SuspicionTime, so that a process that was paused or cut off stops to act as a
// holder before the others count it as dead.
const LeaseTerm = 3 * time.Second

// Lease says whether this process may still act on what was granted to it, or
// grant anything itself. Ask Valid at the moment of use, with time.Now(): after a
// pause the answer is no until another host has been heard again. What is granted
// must carry Incarnation, so that grants of an earlier process are told apart. It
// is safe for concurrent use.
type Lease struct {
	mu          sync.Mutex
	incarnation uint64
	// renewed has a monotonic clock reading.
	renewed time.Time
	revoked bool
}

func newLease() *Lease { return &Lease{} }

func (l *Lease) start(incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnation = incarnation
}

// Incarnation returns the incarnation of this process; 0 before it is a member.
func (l *Lease) Incarnation() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}

// Renew extends the lease from the moment at which a successful exchange began.
func (l *Lease) Renew(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if began.After(l.renewed) {
		l.renewed = began
	}
}

// Lapse ends the lease until it is renewed by a later exchange.
func (l *Lease) Lapse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewed = time.Time{}
}

// Revoke ends the lease for good: another process runs as this host.
func (l *Lease) Revoke() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked = true
}

// Revoked reports whether another process runs as this host.
func (l *Lease) Revoked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revoked
}

// Valid reports whether the lease holds at now, a time with a monotonic reading.
func (l *Lease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.revoked && !l.renewed.IsZero() && now.Sub(l.renewed) < LeaseTerm
}
