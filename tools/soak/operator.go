package soak

import (
	"sync"
	"time"

	"quetzalknot/platform/standin"
)

// coldRatePerSecond is the limit of requests a second for a cold target.
const coldRatePerSecond = 50

// Tables and keys that the operator and the targets write.
const (
	operatorTable = "op"
	stateKey      = "config"
	reportTable   = "servers"
)

// operator writes desired states and, in the targets' place, their reports. It writes again
// what the store has lost. It is safe for concurrent use.
type operator struct {
	store *standin.Store
	// writing is held for each write, and while the store is away.
	writing sync.Mutex

	mu sync.Mutex
	// version is the newest desired state. It was acknowledged at ackedAt, which is zero while
	// the store has lost it.
	version int
	ackedAt time.Time
	reports map[string]*report
}

// report is what a target says about itself.
type report struct {
	// text is the row, or "" when the target has none.
	text     string
	sequence int
	// leftAt is when the store acknowledged that the target leaves or has left; zero when it
	// takes requests or the store has lost that.
	leftAt time.Time
	// leaves is true when the target leaves or has left.
	leaves bool
}

func newOperator(store *standin.Store) *operator {
	return &operator{store: store, reports: make(map[string]*report)}
}

// publishNextState writes a new version of the desired state to the store. One of its routes
// contains the version in its prefix.
func (o *operator) publishNextState() {
	o.writing.Lock()
	defer o.writing.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.store.PutState(standin.DesiredState(o.version, coldRatePerSecond))
	o.ackedAt = time.Now()
}

// newest returns the newest version and when it was acknowledged; zero while the store has lost
// it.
func (o *operator) newest() (int, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version, o.ackedAt
}

// reportTarget writes a target's report. text returns it for a sequence number; nil removes
// the report.
func (o *operator) reportTarget(id string, leaves bool, text func(sequence int) string) {
	o.writing.Lock()
	defer o.writing.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.reports[id]
	if r == nil {
		r = new(report)
		o.reports[id] = r
	}
	r.leaves, r.text = leaves, ""
	if text != nil {
		r.sequence++
		r.text = text(r.sequence)
	}
	o.write(id, r)
}

// write writes a report to the store. The locks must be held.
func (o *operator) write(id string, r *report) {
	if r.text == "" {
		o.store.RemoveTarget(id)
	} else {
		o.store.PutTarget(id, r.text)
	}
	r.leftAt = time.Time{}
	if r.leaves {
		r.leftAt = time.Now()
	}
}

// leftAt returns when a target's leaving was acknowledged; zero when it was not.
func (o *operator) leftAt(id string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reports[id].leftAt
}

// restore puts a copy in place of what the store holds. The lock for writing must be held.
func (o *operator) restore(c *standin.Copy) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store.Restore(c)
	if !o.holds(operatorTable, stateKey, standin.DesiredState(o.version, coldRatePerSecond)) {
		o.ackedAt = time.Time{}
	}
	for id, r := range o.reports {
		if !o.holds(reportTable, id, r.text) {
			r.leftAt = time.Time{}
		}
	}
}

// holds reports whether the store holds a value; "" means that it holds none.
func (o *operator) holds(table, key, value string) bool {
	row, ok := o.store.Get(table, key)
	return ok == (value != "") && string(row.Value) == value
}

// rewriteState writes the newest desired state again if the store has lost it.
func (o *operator) rewriteState() {
	o.writing.Lock()
	defer o.writing.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	text := standin.DesiredState(o.version, coldRatePerSecond)
	if o.holds(operatorTable, stateKey, text) {
		return
	}
	o.store.PutState(text)
	o.ackedAt = time.Now()
}

// rewriteReport writes a target's report again if the store has lost it.
func (o *operator) rewriteReport(id string) {
	o.writing.Lock()
	defer o.writing.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.reports[id]; !o.holds(reportTable, id, r.text) {
		o.write(id, r)
	}
}
