package soak

import (
	"sync"
	"time"
)

// disturbances records the faults of each host, by index. It is safe for concurrent use.
type disturbances struct {
	mu sync.Mutex
	// active counts the faults that last.
	active []int
	// settledBy is the time from which the guarantees hold again after the ended faults.
	settledBy []time.Time
}

func newDisturbances(hosts int) *disturbances {
	return &disturbances{active: make([]int, hosts), settledBy: make([]time.Time, hosts)}
}

// begin records that a fault of a host begins.
func (d *disturbances) begin(host int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active[host]++
}

// end records that a fault of a host ends, and that the guarantees hold again after the given
// time.
func (d *disturbances) end(host int, settle time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active[host]--
	if at := time.Now().Add(settle); at.After(d.settledBy[host]) {
		d.settledBy[host] = at
	}
}

// settledAt reports whether no fault of a host lasts and the guarantees held again at a time.
func (d *disturbances) settledAt(host int, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active[host] == 0 && !d.settledBy[host].After(at)
}
