package entry

import (
	"context"
	"sync"
	"time"
)

// outage records when the store was last unavailable and when it returned, as this host's calls
// show it. Calls are ordered by when they were sent: one that was sent before another that was
// answered shows nothing about the store's present state, whenever it fails.
type outage struct {
	mu sync.Mutex
	// answered and reportsFailed are when the last of the calls for the targets' reports that were
	// answered and that failed were sent, and failed is when the last of all that failed was sent.
	answered, reportsFailed, failed time.Time
	// unanswered is true if the call that was sent at failed got no response.
	unanswered bool
	// returnedAt is when the first answer after an outage came.
	returnedAt time.Time
	// untilReturn ends when the store returns.
	untilReturn context.Context
	endWaiting  context.CancelFunc
}

func newOutage() *outage {
	o := new(outage)
	o.untilReturn, o.endWaiting = context.WithCancel(context.Background())
	return o
}

// recordAnswer records the answer to a call for the targets' reports. If the store has thereby
// returned, all contexts of callContext end. It returns true if the reports can be read again.
func (o *outage) recordAnswer(sentAt, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	was, reportsWere := o.away(), o.reportsFailed.After(o.answered)
	if sentAt.After(o.answered) {
		o.answered = sentAt
	}
	if was && !o.away() {
		o.returnedAt = now
		o.endWaiting()
		o.untilReturn, o.endWaiting = context.WithCancel(context.Background())
	}
	return reportsWere && !o.reportsFailed.After(o.answered)
}

// recordFailure records a failed call. unanswered says that it got no response, and ofReports that
// it was for the targets' reports.
func (o *outage) recordFailure(sentAt time.Time, unanswered, ofReports bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if sentAt.After(o.failed) {
		o.failed, o.unanswered = sentAt, unanswered
	}
	if ofReports && sentAt.After(o.reportsFailed) {
		o.reportsFailed = sentAt
	}
}

// reportsUnread reports whether the last call for the targets' reports failed.
func (o *outage) reportsUnread() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reportsFailed.After(o.answered)
}

// away reports whether the store is unavailable. The lock must be held.
func (o *outage) away() bool { return o.failed.After(o.answered) }

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
