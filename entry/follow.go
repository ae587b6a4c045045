package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/platform/adapter"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/partner"
)

var (
	evStoreLost  = eventlog.Define(1801, zerolog.WarnLevel, "store lost")
	evStoreFound = eventlog.Define(1802, zerolog.InfoLevel, "store regained")
	evHistory    = eventlog.Define(1803, zerolog.InfoLevel, "table read whole")
	evReads      = eventlog.Define(1804, zerolog.InfoLevel, "reading of the store changed")
)

const (
	// feedWait is how long the store holds a call that waits for changes.
	feedWait = 20 * time.Second
	// firstWait is the same for the first call after a failure, so that a store that is
	// back is known to be before something changes there.
	firstWait = 200 * time.Millisecond
	// feedPause is the time between two calls for changes of a table, so that changes
	// that come together cost one call.
	feedPause = 900 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 150 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
	// troubleSpan is how long after a failure the store's removals are not believed at once.
	troubleSpan = 3 * time.Second
	// meetInterval is the time between two readings of the hosts' rows.
	meetInterval = 20 * time.Second
	// readPoll is the time between two looks whether this host has to read the store.
	readPoll = 100 * time.Millisecond
	// tickInterval is the time between two looks at what has fallen due.
	tickInterval = 100 * time.Millisecond
)

// storeLink remembers whether the store answers.
type storeLink struct {
	mu     sync.Mutex
	known  bool
	down   bool
	lastUp time.Time
	lastAt time.Time
}

// begin reports whether this is the first answer since this host began to read.
func (l *storeLink) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.known
}

// answered notes an answer and returns whether the store was lost before.
func (l *storeLink) answered(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	regained := l.down
	l.known, l.down, l.lastUp = true, false, now
	return regained
}

// failed notes a failure and returns whether the store answered before.
func (l *storeLink) failed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := !l.down
	l.down, l.lastAt = true, now
	return lost
}

// rest notes that this host does not read the store any more. It returns false when
// that was noted before.
func (l *storeLink) rest() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.known
	l.known, l.down = false, false
	return was
}

// ok reports whether the store answered the last call.
func (l *storeLink) ok() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known && !l.down
}

// troubled reports whether the store failed a short time ago.
func (l *storeLink) troubled(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down || (!l.lastAt.IsZero() && now.Sub(l.lastAt) < troubleSpan)
}

// follow keeps the mirror of a table up to date until ctx ends.
func (h *Host) follow(ctx context.Context, table string) {
	wait := retryFirst
	whole := h.mirror.Position(table) == 0
	for ctx.Err() == nil {
		if !whole && !h.reads(time.Now()) {
			if h.link.rest() {
				evReads.Log(h.log).Bool("reads", false).Send()
			}
			pause(ctx, readPoll)
			continue
		}
		var err error
		if whole {
			err = h.readWhole(ctx, table)
		} else {
			err = h.readChanges(ctx, table)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, adapter.ErrHistoryGone) {
			whole = true
			continue
		}
		if err != nil {
			h.storeFailed(table, err)
			pause(ctx, wait/2+rand.N(wait))
			wait = min(retryMost, 2*wait)
			continue
		}
		whole, wait = false, retryFirst
		pause(ctx, feedPause)
	}
}

func (h *Host) readWhole(ctx context.Context, table string) error {
	delta, err := h.store.Read(ctx, table)
	if err != nil {
		return err
	}
	evHistory.Log(h.log).Str("table", table).Uint64("revision", delta.UpTo).Int("records", len(delta.Records)).Send()
	h.apply(delta)
	h.storeAnswered()
	return nil
}

func (h *Host) readChanges(ctx context.Context, table string) error {
	wait := feedWait
	if !h.link.ok() {
		wait = firstWait
	}
	delta, err := h.store.Feed(ctx, table, h.mirror.Position(table), wait)
	if err != nil {
		return err
	}
	h.apply(delta)
	h.storeAnswered()
	if len(delta.Records) > 0 {
		h.group.Tell(ctx)
	}
	return nil
}

// reads reports whether this host has to read the store itself.
func (h *Host) reads(now time.Time) bool { return h.group.Reads() || !h.group.Fresh(now) }

// reading returns what this host knows of the store at first hand.
func (h *Host) reading() partner.Reading {
	return partner.Reading{Fresh: h.link.ok(), Troubled: h.link.troubled(time.Now())}
}

// reportsMissing reports whether the reports of live targets may be missing for a while,
// by what this host has seen of the store, or a partner that reads it for this host.
func (h *Host) reportsMissing(now time.Time) bool {
	return h.link.troubled(now) || (!h.link.ok() && h.group.Troubled(now))
}

// fresh reports whether this host's beliefs are those of the store, as it or a partner
// has read them.
func (h *Host) fresh() bool { return h.link.ok() || h.group.Fresh(time.Now()) }

func (h *Host) storeAnswered() {
	if h.link.begin() {
		evReads.Log(h.log).Bool("reads", true).Send()
	}
	if h.link.answered(time.Now()) {
		evStoreFound.Log(h.log).Send()
	}
}

func (h *Host) storeFailed(table string, err error) {
	if h.link.failed(time.Now()) {
		evStoreLost.Log(h.log).Str("table", table).Err(err).Send()
	}
}

// meet announces this host and reads the others' rows from time to time.
func (h *Host) meet(ctx context.Context) {
	announced, knows := false, false
	wait := retryFirst
	for ctx.Err() == nil {
		if !announced && !h.leaving.Load() {
			announced = h.store.Announce(ctx, h.self) == nil
		}
		if announced && knows && !h.reads(time.Now()) {
			pause(ctx, meetInterval)
			continue
		}
		members, err := h.store.Hosts(ctx)
		knows = knows || err == nil
		if err == nil {
			h.group.Learn(members)
		}
		if err != nil || !announced {
			pause(ctx, wait/2+rand.N(wait))
			wait = min(retryMost, 2*wait)
			continue
		}
		pause(ctx, meetInterval)
	}
}

// tick does what has fallen due: checks of targets, ends of holds, budgets.
func (h *Host) tick(ctx context.Context) {
	for pause(ctx, tickInterval) {
		now := time.Now()
		h.fleet.Sweep(now)
		for _, c := range h.fleet.Due(now) {
			go func() {
				h.fleet.Checked(c, adapter.Check(ctx, h.pool, c, h.healthPath(c.Service)), time.Now())
			}()
		}
		h.rate.note(h.handler.Taken(), now)
		h.setBudgets()
		h.noteReadiness()
		if h.fresh() {
			h.fleet.Trust()
		} else {
			h.fleet.Doubt(h.mostWhileCold)
		}
	}
}

// coldSenders is how many hosts a target usually has requests of.
const coldSenders = 3

// mostWhileCold returns this host's part of what a cold target of a service bears.
func (h *Host) mostWhileCold(service string) int {
	b := h.settings.Load().Bounds
	bears := 0.0
	if c := h.config.Load(); c != nil && c.Services[service] != nil {
		bears = c.Services[service].ColdPerSecond
	}
	return max(1, int((bears*b.ColdOverrun+b.ColdSlack)/coldSenders))
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
	// ratioMargin and extraMargin keep the hosts' retries together below the bounds
	// while their views of each other differ.
	ratioMargin = 0.8
	extraMargin = 0.5
)

// setBudgets gives this host its part of the retries.
func (h *Host) setBudgets() {
	b := h.settings.Load().Bounds
	h.budgets.SetBounds(ratioMargin*b.RetryRatio, extraMargin*b.RetryExtra/float64(max(3, h.group.Known())))
}
