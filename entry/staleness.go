package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/platform/adapter"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/mirror"
)

var evStoreAsked = eventlog.Define(1807, zerolog.InfoLevel, "store asked since the tables were not confirmed lately")

const (
	// partnerStaleness is the part of the bound for changes after which a host asks the partners that read the store how
	// long ago it answered them, at most once in partnerAskPause.
	partnerStaleness = 0.5
	partnerAskPause  = 200 * time.Millisecond
	// followerStaleness is the part of the bound for changes after which a host that relies on partners asks the store
	// itself, and staleSpread the further part over which the hosts differ: the first ones tell the others.
	followerStaleness, staleSpread = 0.75, 0.1
	// readerStaleness is the same for a host that reads the store and whose calls for changes may only be waiting.
	readerStaleness = 0.85
	// askTimeout limits a call that asks the store at once.
	askTimeout = 1500 * time.Millisecond
	// minAskPause and maxAskPause bound the time from one such call to the next, which doubles while the store does not
	// answer.
	minAskPause = 400 * time.Millisecond
	maxAskPause = 1600 * time.Millisecond
)

// staleness returns the time since the store last confirmed tables of which this host has all, in an answer to this host
// or to a partner, as far as this host knows. It is the time since the start of this host if there was none.
func (h *Host) staleness(now time.Time) time.Duration {
	if staleness, ok := h.group.Staleness(now); ok {
		return staleness
	}
	return now.Sub(h.startedAt)
}

// maxStaleness returns the staleness at which this host asks the store at once, whatever its partners say of themselves.
func (h *Host) maxStaleness() time.Duration {
	share := followerStaleness + staleSpread*h.askSpread
	if h.storeStatus.ok() {
		share = readerStaleness
	}
	return h.shareOfBound(share)
}

// shareOfBound returns a part of the bound for changes.
func (h *Host) shareOfBound(share float64) time.Duration {
	return time.Duration(share * float64(h.settings.Load().Bounds.Change))
}

// limitStaleness asks the store at once if the tables of this host were not confirmed for maxStaleness: those who read the
// store for it may have lost it, or their calls may hang. A host whose own calls fail is already asking.
func (h *Host) limitStaleness(ctx context.Context, now time.Time) {
	staleness, limit := h.staleness(now), h.maxStaleness()
	if staleness <= limit {
		h.askPause = minAskPause
		h.askReaders(ctx, staleness, now)
		return
	}
	if now.Before(h.nextAskAt) || !h.group.HasTables() || h.storeStatus.isDown() {
		return
	}
	h.nextAskAt, h.askPause = now.Add(h.askPause), min(maxAskPause, 2*h.askPause)
	go func() {
		err := h.askStore(ctx)
		if ctx.Err() != nil {
			return
		}
		evStoreAsked.Log(h.log).Int64("staleness_ms", staleness.Milliseconds()).Int64("limit_ms", limit.Milliseconds()).
			Int64("took_ms", time.Since(now).Milliseconds()).AnErr("error", err).Send()
		if err == nil {
			h.group.NotifyRegion(ctx)
		}
	}()
}

// askReaders asks the partners that read the store for their last answers, before the staleness of this host's tables makes
// it ask the store.
func (h *Host) askReaders(ctx context.Context, staleness time.Duration, now time.Time) {
	if staleness > h.shareOfBound(partnerStaleness) && now.Sub(h.readersAskedAt) >= partnerAskPause {
		h.readersAskedAt = now
		h.group.AskReaders(ctx)
	}
}

// receiving reports whether large changes of a table are arriving, from the store or from a partner.
func (h *Host) receiving(table string) bool {
	return h.store.Receiving(table) || h.group.Receiving(table)
}

// askStore brings all tables up to date by calls that the store answers at once, beside the calls for changes. Tables of which
// large changes are arriving are left out: they would arrive twice, and later.
func (h *Host) askStore(ctx context.Context) error {
	tables := adapter.Tables()
	failed := make([]error, len(tables))
	var calls sync.WaitGroup
	for i, table := range tables {
		if !h.receiving(table) {
			calls.Go(func() { failed[i] = h.askForChanges(ctx, table) })
		}
	}
	calls.Wait()
	return errors.Join(failed...)
}

// askForChanges brings a table up to date by one call, or by a read of the full table if the store no longer has the changes.
func (h *Host) askForChanges(ctx context.Context, table string) error {
	started, startedBoot, known := time.Now(), h.bootTime(), h.mirror.Position(table)
	delta, err := h.feedOrRead(ctx, table, known)
	if err != nil {
		return err
	}
	h.logLarge(delta, time.Since(started))
	h.recordOutcome(table, started, nil)
	if !h.apply(delta) {
		return errRefused
	}
	h.storeStatus.recordConfirmed(table, confirmedAt(delta, known, started))
	h.confirmKeysBy(delta, known, startedBoot)
	return nil
}

func (h *Host) feedOrRead(ctx context.Context, table string, known mirror.Position) (mirror.Delta, error) {
	delta, err := h.store.Feed(ctx, table, known, 0, askTimeout)
	if errors.Is(err, adapter.ErrHistoryGone) {
		return h.store.Read(ctx, table)
	}
	return delta, err
}
