package credit

import "time"

// PromiseTerm is how long an elector's promise lasts.
const PromiseTerm = 3 * time.Second

// Elector promises the owners of partitions that it supports no later epoch for
// PromiseTerm. It keeps nothing on disk: a fresh process stays silent until the
// promises of its predecessor have ended and it has read the rows itself; only
// an epoch that follows a released one, or none, needs no silence. It is not
// safe for concurrent use.
type Elector struct {
	started  time.Time
	informed bool
	// newest is the newest epoch known of each partition.
	newest   map[string]uint64
	promises map[string]promise
}

type promise struct {
	epoch uint64
	until time.Time
}

// NewElector returns the elector of a process that started at a time.
func NewElector(started time.Time) *Elector {
	return &Elector{started: started, newest: make(map[string]uint64), promises: make(map[string]promise)}
}

// Saw takes in a row as read from the table service.
func (e *Elector) Saw(partition string, epoch uint64) {
	e.newest[partition] = max(e.newest[partition], epoch)
}

// Informed notes that all rows were read since the process started.
func (e *Elector) Informed() { e.informed = true }

// Promise answers one pledge. A promise also consents to the epoch: no owner of
// an earlier epoch gets another one.
func (e *Elector) Promise(now time.Time, p Pledge) bool {
	if !e.informed {
		return false
	}
	superseding := p.Epoch != p.Released+1
	if superseding && now.Sub(e.started) < withDrift(PromiseTerm) {
		return false
	}
	if p.Epoch < e.newest[p.Partition] {
		return false
	}
	e.newest[p.Partition] = p.Epoch
	given := e.promises[p.Partition]
	if given.epoch < p.Epoch && given.epoch > p.Released && now.Before(given.until) {
		return false
	}
	e.promises[p.Partition] = promise{epoch: p.Epoch, until: now.Add(withDrift(PromiseTerm))}
	return true
}
