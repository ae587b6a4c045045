package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform/adapter"
	"quetzalknot/process/mirror"
)

// returnCheckInterval is the time between two calls by which a store reader finds that a store that
// leaves calls unanswered has returned. A call may wait longer than that for its response.
const returnCheckInterval = 300 * time.Millisecond

// errStoreReturned reports that a call was given up since the store has answered a later one.
var errStoreReturned = errors.New("the store has returned from an outage")

// callStore makes a call for a table and records what it shows about the store. It returns
// errStoreReturned if the store returns from an outage meanwhile.
func (h *Host) callStore(ctx context.Context, table string, call func(context.Context) (mirror.Delta, error)) (mirror.Delta, error) {
	sentAt := time.Now()
	h.storeStatus.recordCall(table, sentAt)
	callCtx, cancel := h.outage.callContext(ctx)
	defer cancel()
	delta, err := call(callCtx)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		return delta, errStoreReturned
	}
	h.recordOutcome(table, sentAt, err)
	return delta, err
}

// recordOutcome records what the outcome of a call for a table shows about the store. When the
// targets' reports can be read again, all that is held stays for the full time, since only from
// then on can it be written again; for targets see removeExpired.
func (h *Host) recordOutcome(table string, sentAt time.Time, err error) {
	now := time.Now()
	if err != nil && !errors.Is(err, adapter.ErrHistoryGone) {
		if h.outage.recordFailure(table, sentAt, errors.Is(err, context.DeadlineExceeded)) {
			h.awaySince.Store(&now)
		}
		return
	}
	if !h.outage.recordAnswer(table, sentAt, now) {
		return
	}
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	h.restartEvacuationHolds(now)
}

// holdSinceReturn returns the given hold, which counts from this host's own notice of the store's
// return, or what is left of it by a partner that has read the store earlier. The store must have
// answered that partner since this host noticed the outage.
func (h *Host) holdSinceReturn(own time.Duration, now time.Time) time.Duration {
	if own == 0 {
		return 0
	}
	if stated, ok := h.group.ReportHoldAfter(now, h.awayBegan()); ok {
		return min(own, stated)
	}
	return own
}

// removeExpired drops the held targets whose hold has ended, unless neither this host nor a partner
// whose changes this host has can read the targets' reports, or the store has returned too lately for
// them to be written again.
func (h *Host) removeExpired(now time.Time) {
	unread, hold := h.outage.heldReports(now)
	if h.holdSinceReturn(hold, now) > 0 {
		return
	}
	if _, read := h.group.ReportHoldAfter(now, time.Time{}); read || !unread {
		h.fleet.RemoveExpired(now)
	}
}

// pauseUntilReturn waits for a time, but not longer than until the store returns from an outage.
func (h *Host) pauseUntilReturn(ctx context.Context, d time.Duration) {
	pauseCtx, cancel := h.outage.callContext(ctx)
	defer cancel()
	pause(pauseCtx, d)
}

// checkReturn calls a store that leaves calls unanswered once more, at most once in
// returnCheckInterval, without waiting for the earlier calls. Only the store readers do so.
func (h *Host) checkReturn(ctx context.Context, now time.Time) {
	_, unanswered := h.outage.isAway()
	if !unanswered || now.Sub(h.returnCheckedAt) < returnCheckInterval || !h.group.IsStoreReader() {
		return
	}
	position := h.mirror.Position(adapter.TargetTable)
	if position.Revision == 0 {
		return
	}
	h.returnCheckedAt = now
	go func() {
		delta, err := h.store.Feed(ctx, adapter.TargetTable, position, 0, recoveryPollMargin)
		if ctx.Err() != nil {
			return
		}
		h.recordOutcome(adapter.TargetTable, now, err)
		if err == nil {
			h.apply(delta)
		}
	}()
}

// awayBegan returns when this host last noticed that an outage of the store began; the zero time means
// never.
func (h *Host) awayBegan() time.Time {
	if since := h.awaySince.Load(); since != nil {
		return *since
	}
	return time.Time{}
}
