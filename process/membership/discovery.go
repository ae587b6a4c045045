package membership

import (
	"sync"
	"time"
)

// aloneConfirmation is the least time between the announcement of a process and the read
// of the member rows by which it may conclude that it is alone. Hosts that announced
// themselves after an earlier read have contacted it by then.
const aloneConfirmation = 1500 * time.Millisecond

// Discovery tracks whether a process has found the other hosts since it started, or knows
// that there are none. It is safe for concurrent use.
type Discovery struct {
	mu          sync.Mutex
	announcedAt time.Time
	done        bool
}

// Announced records that the row of this process was written at the given time.
func (d *Discovery) Announced(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.announcedAt.IsZero() {
		d.announcedAt = at
	}
}

// RowsRead records that a read of all member rows, begun at the given time, has succeeded.
// A read that began aloneConfirmation after the announcement ends the discovery, whether
// or not it returned other hosts.
func (d *Discovery) RowsRead(began time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.announcedAt.IsZero() && began.Sub(d.announcedAt) >= aloneConfirmation {
		d.done = true
	}
}

// ConfirmationDue reports whether a read of the member rows that begins at the given time
// would end the discovery.
func (d *Discovery) ConfirmationDue(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.done && !d.announcedAt.IsZero() && now.Sub(d.announcedAt) >= aloneConfirmation
}

// Done reports whether the other hosts are found, given the number of members that are
// known now, this host included. Once true it stays true.
func (d *Discovery) Done(members int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.done = d.done || members > 1
	return d.done
}

// StandAlone ends the discovery of a process that shares its table service with no other.
func (d *Discovery) StandAlone() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.done = true
}
