package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/platform/adapter"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/mirror"
	"quetzalknot/process/partner"
)

var (
	evStoreLost     = eventlog.Define(1801, zerolog.WarnLevel, "store unavailable")
	evStoreRegained = eventlog.Define(1802, zerolog.InfoLevel, "store available again")
	evTableRead     = eventlog.Define(1803, zerolog.InfoLevel, "full table read")
	evReaderChanged = eventlog.Define(1804, zerolog.InfoLevel, "store reader role changed")
	evLargeChanges  = eventlog.Define(1808, zerolog.InfoLevel, "large changes read")
)

// maxAnswerAge is for how long, in bounds for changes, a host counts as one that reads the store after the
// last answer that confirmed its state.
const maxAnswerAge = 2

const (
	// pollWaitShare is the part of the bound for changes that the store may keep a call for
	// changes open, and pollMarginShare the part that the call may take beyond that. A call
	// that the store does not answer then delays changes by less than the bound.
	pollWaitShare, pollMarginShare = 0.4, 0.2
	// recoveryPollWait and recoveryPollMargin are the times for the first call after a
	// failure, so that a recovered store is detected even when nothing changes there, and for
	// the calls to a store whose responses are slow.
	recoveryPollWait   = 200 * time.Millisecond
	recoveryPollMargin = 1500 * time.Millisecond
	// feedPause is the longest pause between two calls for the changes of a table. It lets changes
	// in quick succession share one call. feedPauseSpread is by how much a pause may be shorter, so
	// that the readers' calls do not stay in step.
	feedPause       = 900 * time.Millisecond
	feedPauseSpread = 300 * time.Millisecond
	// minFeedPause is the shortest pause.
	minFeedPause = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff after failed calls.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// readerCheckInterval is the time between two checks whether this host has to read the
	// store itself.
	readerCheckInterval = 100 * time.Millisecond
	// lackLimit is how long this host may lack the changes of the partners that read the store
	// before it reads the store itself. A pull takes less.
	lackLimit = time.Second
	// tickInterval is the period of the periodic tasks in tick.
	tickInterval = 100 * time.Millisecond
)

// followTable keeps the mirror of a table up to date until ctx ends. It reads the full table
// while it has no revision of it, and when the store no longer has the changes. Afterwards it
// asks the store for changes only while mustReadStore returns true; otherwise the changes are
// pulled from partners.
func (h *Host) followTable(ctx context.Context, table string) {
	backoff := minBackoff
	fullRead := h.mirror.Revision(table) == 0
	var last feedAnswer
	for ctx.Err() == nil {
		if !fullRead && !h.mustReadStore(time.Now()) {
			if h.storeStatus.stopReading(table) {
				evReaderChanged.Log(h.log).Bool("reads", false).Int64("staleness_ms", h.staleness(time.Now()).Milliseconds()).Send()
			}
			pause(ctx, readerCheckInterval)
			continue
		}
		var err error
		if fullRead {
			last, err = feedAnswer{age: h.startSpread()}, h.readTable(ctx, table)
		} else {
			last, err = h.readChanges(ctx, table, last)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, adapter.ErrHistoryGone) {
			fullRead = true
			continue
		}
		if errors.Is(err, errStoreReturned) {
			backoff = minBackoff
			continue
		}
		if err != nil {
			h.storeFailed(table, err)
			h.pauseUntilReturn(ctx, backoff/2+rand.N(backoff))
			backoff = min(maxBackoff, 2*backoff)
			continue
		}
		fullRead, backoff = false, minBackoff
		pause(ctx, last.pause())
	}
}

// startSpread returns by how much this host shortens the pause after it has read full tables. Hosts that start together have
// read them together, and their calls for changes must not end together.
func (h *Host) startSpread() time.Duration {
	return time.Duration(h.askSpread * float64(feedPause-minFeedPause))
}

// feedAnswer is what matters of an answer to a call for changes when the next call is made.
type feedAnswer struct {
	// changed is true if the answer has changes, and age is for how long, at most, it was made when it arrived.
	changed bool
	age     time.Duration
}

// pause returns the time from the arrival of an answer to the next call. It is shorter after an answer that may be older.
func (a feedAnswer) pause() time.Duration {
	return max(minFeedPause, feedPause-rand.N(feedPauseSpread)-a.age)
}

// wait returns how long the store may keep the next call open, given how long it usually may. The readers get the answer to
// a change together; after it their calls must not end together, since then all of them confirm the tables at the same
// moments only.
func (a feedAnswer) wait(usual time.Duration) time.Duration {
	if !a.changed {
		return usual
	}
	return time.Duration(rand.Float64() * float64(usual))
}

func (h *Host) readTable(ctx context.Context, table string) error {
	started, startedBoot, known := time.Now(), h.bootTime(), h.mirror.Position(table)
	delta, err := h.callStore(ctx, table, func(ctx context.Context) (mirror.Delta, error) {
		return h.store.Read(ctx, table)
	})
	if err != nil {
		return err
	}
	evTableRead.Log(h.log).Str("table", table).Uint64("revision", delta.UpTo).Int("records", len(delta.Records)).
		Int("bytes", delta.Size()).Int64("took_ms", time.Since(started).Milliseconds()).Send()
	if !h.apply(delta) {
		return errRefused
	}
	h.storeSucceeded(table, confirmedAt(delta, known, started))
	h.confirmKeysBy(delta, known, startedBoot)
	return nil
}

// confirmedAt returns when an answer of the store that was made at the given time has confirmed this host's
// copy of a table. One that ends before the position that was known when the call was sent is of an
// earlier time and confirms nothing; the result is the zero time then.
func confirmedAt(answer mirror.Delta, known mirror.Position, made time.Time) time.Time {
	if (mirror.Position{Era: answer.Era, Revision: answer.UpTo}).Lacks(known) {
		return time.Time{}
	}
	return made
}

// readChanges asks the store for the changes of a table and applies them. last is the answer before.
func (h *Host) readChanges(ctx context.Context, table string, last feedAnswer) (feedAnswer, error) {
	wait, margin := h.pollTimes(table)
	wait = last.wait(wait)
	started, startedBoot, known := time.Now(), h.bootTime(), h.mirror.Position(table)
	delta, err := h.callStore(ctx, table, func(ctx context.Context) (mirror.Delta, error) {
		return h.store.Feed(ctx, table, known, wait, wait+margin)
	})
	if err != nil {
		return feedAnswer{}, err
	}
	arrived := time.Now()
	made := started // how long an answer with records was on the way is not known
	h.logLarge(delta, arrived.Sub(started))
	if len(delta.Records) == 0 {
		made = earliest(arrived, started.Add(wait))
		h.storeStatus.recordDelay(arrived.Sub(made), arrived)
	}
	if !h.apply(delta) {
		return feedAnswer{}, errRefused
	}
	h.storeSucceeded(table, confirmedAt(delta, known, made))
	h.confirmKeysBy(delta, known, startedBoot)
	if len(delta.Records) > 0 {
		h.group.NotifyNonReaders(ctx)
	}
	return feedAnswer{changed: len(delta.Records) > 0, age: arrived.Sub(made)}, nil
}

// largeBytes is the size of values from which changes that the store gave are logged.
const largeBytes = 64 << 10

// logLarge logs large changes that the store gave in reply to a call, and how long the call took.
func (h *Host) logLarge(d mirror.Delta, took time.Duration) {
	if size := d.Size(); size >= largeBytes {
		evLargeChanges.Log(h.log).Str("table", d.Table).Uint64("revision", d.UpTo).Int("records", len(d.Records)).
			Int("bytes", size).Int64("took_ms", took.Milliseconds()).Send()
	}
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// pollTimes returns how long the store may keep the next call for changes of a table open, and
// how much longer the call may take.
func (h *Host) pollTimes(table string) (wait, margin time.Duration) {
	if !h.storeStatus.polls(table, time.Now()) {
		return recoveryPollWait, recoveryPollMargin
	}
	bound := float64(h.settings.Load().Bounds.Change)
	wait, margin = time.Duration(pollWaitShare*bound), time.Duration(pollMarginShare*bound)
	if revocation := h.keyRevocation(); revocation > 0 && table == adapter.OperatorTable {
		wait = min(wait, time.Duration(keyPollShare*float64(revocation)))
	}
	return wait, margin
}

// mustReadStore reports whether this host has to read the store itself: because it is a store
// reader, because no partner reads the store, or because this host has lacked the changes of all
// that do for longer than lackLimit.
func (h *Host) mustReadStore(now time.Time) bool {
	if h.group.IsStoreReader() || !h.group.HasStoreReader(now) {
		return true
	}
	if h.group.FollowsStore(now) {
		h.recordFollowed(now)
		return false
	}
	return h.lacksChanges(now)
}

// recordFollowed records that this host has all changes of a partner that reads the store.
func (h *Host) recordFollowed(now time.Time) { h.followedAt.Store(&now) }

// lacksChanges reports whether this host has lacked the changes of all partners that read the store
// for longer than lackLimit.
func (h *Host) lacksChanges(now time.Time) bool {
	followedAt := h.followedAt.Load()
	return followedAt == nil || now.Sub(*followedAt) > lackLimit
}

// ownStoreStatus returns the result of this host's own calls to the store, which its
// heartbeats report to partners.
func (h *Host) ownStoreStatus() partner.StoreStatus {
	now := time.Now()
	age, ok := h.storeStatus.age(now)
	return partner.StoreStatus{Reachable: ok && h.isRecent(age), Age: age, Failing: h.storeStatus.recentlyFailed(now), ReportHold: max(h.outage.reportHold(now), h.sinceRestore(now)), SinceConfirmed: h.storeStatus.sinceConfirmed(now)}
}

// reportHold returns for how long the reports of live targets may still be missing, since the store
// was unavailable, as seen by this host or else by a partner that reads the store for it.
func (h *Host) reportHold(now time.Time) time.Duration {
	own := h.outage.reportHold(now)
	away, _ := h.outage.isAway()
	if h.storeStatus.ok() || (own > 0 && !away) {
		return h.holdSinceReturn(own, now)
	}
	if hold, ok := h.group.ReportHold(now); ok {
		return hold
	}
	if away || h.group.StoreFailing(now) {
		return missingReportHold
	}
	return 0
}

// upToDate reports whether this host's state follows the store, read by the host itself or
// by a partner whose changes this host has.
func (h *Host) upToDate() bool {
	now := time.Now()
	age, ok := h.storeStatus.age(now)
	return ok && h.isRecent(age) || h.group.FollowsStore(now)
}

// isRecent reports whether a host whose last answer from the store is that old counts as reading it.
func (h *Host) isRecent(age time.Duration) bool {
	return age <= maxAnswerAge*time.Duration(h.settings.Load().Bounds.Change)
}

// stateConfirmed reports whether the store has confirmed this host's state within the bound for
// changes, in a response to this host or to a partner whose changes this host has. A state that is
// older than a partner's is not confirmed: a restored store may lack the newer one. Nor is one while
// records are being applied, since the mirror has them before they are in force.
func (h *Host) stateConfirmed() bool {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	now := time.Now()
	age, ok := h.confirmedAge(now)
	if !ok || age > time.Duration(h.settings.Load().Bounds.Change) {
		return false
	}
	return h.group.Introduced(now) && h.stateVersion() >= h.group.StateVersion()
}

// stateVersion returns the version of the desired state in force; 0 means none.
func (h *Host) stateVersion() uint64 {
	c := h.config.Load()
	if c == nil {
		return 0
	}
	return c.Version
}

// confirmedAge returns the time since the store last confirmed this host's state. ok is false if
// that is not known.
func (h *Host) confirmedAge(now time.Time) (age time.Duration, ok bool) {
	own, ownOK := h.storeStatus.age(now)
	partners, partnersOK := h.group.ConfirmedAge(now)
	switch {
	case ownOK && partnersOK:
		return min(own, partners), true
	case ownOK:
		return own, true
	default:
		return partners, partnersOK
	}
}

// storeSucceeded handles a call for a table that the store answered. The answer has confirmed this host's
// copy of the table at the given time; the zero time means that it has not.
func (h *Host) storeSucceeded(table string, confirmed time.Time) {
	change := h.storeStatus.recordSuccess(table, confirmed)
	if change.ReadsStore {
		evReaderChanged.Log(h.log).Bool("reads", true).Int64("staleness_ms", h.staleness(time.Now()).Milliseconds()).Send()
	}
	if change.Regained {
		evStoreRegained.Log(h.log).Str("table", table).Send()
	}
	h.tableTaken(table)
}

func (h *Host) storeFailed(table string, err error) {
	if h.storeStatus.recordFailure(table, time.Now()) {
		evStoreLost.Log(h.log).Str("table", table).Err(err).Send()
	}
}

// tick runs the periodic tasks until ctx ends: it asks whether the store has returned, asks it if the tables were not confirmed
// lately, drops targets whose hold has expired, starts due liveness checks, and updates the request rate, the retry budgets and
// the logged readiness. While the host is not up to date it limits the requests to each target, since any of them may have
// become cold.
func (h *Host) tick(ctx context.Context) {
	for pause(ctx, tickInterval) {
		now := time.Now()
		h.checkReturn(ctx, now)
		h.limitStaleness(ctx, now)
		h.removeExpired(now)
		h.endHeldEvacuations(now)
		for _, c := range h.fleet.DueChecks(now) {
			go func() {
				h.fleet.RecordCheck(c, adapter.Check(ctx, h.pool, c, h.healthPath(c.Service)), time.Now())
			}()
		}
		h.rate.update(h.handler.Received(), now)
		h.setBudgets()
		h.logReadiness()
		h.limitSendRate()
	}
}

// limitSendRate limits the requests to each target while this host is not up to date, or the reports of
// targets that became cold meanwhile may still be missing, and lifts the limit then.
func (h *Host) limitSendRate() {
	h.sendRateMu.Lock()
	defer h.sendRateMu.Unlock()
	if h.upToDate() && h.reportHold(time.Now()) == 0 {
		h.fleet.LiftSendRateLimit()
		return
	}
	h.fleet.LimitSendRate(h.coldRateLimit)
}

// sendersPerTarget is the number of hosts that usually send requests to one target.
const sendersPerTarget = 3

// coldRateLimit returns how many requests a second this host may send to a target of a
// service that may be cold: its share of the limit that holds for all hosts together.
func (h *Host) coldRateLimit(service string) int {
	b := h.settings.Load().Bounds
	coldRate := 0.0
	if c := h.config.Load(); c != nil && c.Services[service] != nil {
		coldRate = c.Services[service].ColdPerSecond
	}
	return max(1, int((coldRate*b.ColdOverrun+b.ColdSlack)/sendersPerTarget))
}

func (h *Host) healthPath(service string) string {
	if c := h.config.Load(); c != nil {
		if s := c.Services[service]; s != nil && s.HealthPath != "" {
			return s.HealthPath
		}
	}
	return "/health"
}

const (
	// retryRatioMargin and retryExtraMargin keep the sum of all hosts' retries below the
	// configured bounds while the hosts disagree on how many of them there are.
	retryRatioMargin = 0.8
	retryExtraMargin = 0.5
)

// setBudgets sets this host's share of the retry budget.
func (h *Host) setBudgets() {
	b := h.settings.Load().Bounds
	h.budgets.SetBounds(retryRatioMargin*b.RetryRatio, retryExtraMargin*b.RetryExtra/float64(max(3, h.group.KnownCount())))
}
