package entry

import (
	"context"
	"sync"
	"time"

	"quetzalknot/platform/adapter"
)

// outage records when the store was last unavailable and when it returned, as this host's calls
// show it. Calls are ordered by when they were sent: one that was sent before another that was
// answered shows nothing about the store's present state, whenever it fails.
type outage struct {
	mu sync.Mutex
	// answered and failed are when the last calls for each table that were answered and that failed
	// were sent.
	answered, failed map[string]time.Time
	// unanswered is true if the call that failed last got no response.
	unanswered bool
	// returnedAt is when the first answer after an outage came, and readAgainAt when the targets'
	// reports could be read again.
	returnedAt, readAgainAt time.Time
	// untilReturn ends when the store returns.
	untilReturn context.Context
	endWaiting  context.CancelFunc
}

func newOutage() *outage {
	o := &outage{answered: make(map[string]time.Time), failed: make(map[string]time.Time)}
	o.untilReturn, o.endWaiting = context.WithCancel(context.Background())
	return o
}

// recordAnswer records the answer to a call for a table. If the store has thereby returned, all
// contexts of callContext end. It returns true if the targets' reports can be read again.
func (o *outage) recordAnswer(table string, sentAt, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	was, reportsWere := o.away(), o.lacks(adapter.TargetTable)
	if sentAt.After(o.answered[table]) {
		o.answered[table] = sentAt
	}
	if was && !o.away() {
		o.returnedAt = now
		o.endWaiting()
		o.untilReturn, o.endWaiting = context.WithCancel(context.Background())
	}
	if !reportsWere || o.lacks(adapter.TargetTable) {
		return false
	}
	o.readAgainAt = now
	return true
}

// recordFailure records a failed call for a table. unanswered says that it got no response. It
// returns true if an outage begins with it.
func (o *outage) recordFailure(table string, sentAt time.Time, unanswered bool) (begins bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	was := o.away()
	if sentAt.After(o.failed[table]) {
		o.failed[table], o.unanswered = sentAt, unanswered
	}
	return !was && o.away()
}

// heldReports reports whether the last call for the targets' reports failed, and for how long the targets
// that are held must stay else, since their reports can be written again only once they can be read.
func (o *outage) heldReports(now time.Time) (unread bool, hold time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lacks(adapter.TargetTable), max(0, o.readAgainAt.Add(missingReportHold).Sub(now))
}

// lacks reports whether the last call for a table failed, and no later one for the targets' reports
// was answered. The lock must be held.
func (o *outage) lacks(table string) bool {
	failed := o.failed[table]
	return failed.After(o.answered[table]) && failed.After(o.answered[adapter.TargetTable])
}

// away reports whether the store is unavailable. The lock must be held.
func (o *outage) away() bool {
	for table := range o.failed {
		if o.lacks(table) {
			return true
		}
	}
	return false
}

// isAway reports whether the store is unavailable, and whether it leaves calls unanswered.
func (o *outage) isAway() (away, unanswered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.away(), o.away() && o.unanswered
}

// reportHold returns for how long the reports of live targets may still be missing.
func (o *outage) reportHold(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.away() {
		return missingReportHold
	}
	if o.returnedAt.IsZero() {
		return 0
	}
	return max(0, o.returnedAt.Add(missingReportHold).Sub(now))
}

// callContext returns a context that ends with ctx and when the store returns from an outage.
func (o *outage) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	o.mu.Lock()
	untilReturn := o.untilReturn
	o.mu.Unlock()
	callCtx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(untilReturn, cancel)
	return callCtx, func() {
		stop()
		cancel()
	}
}
