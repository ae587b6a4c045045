// Package fleet tracks the state of the targets as this host knows it: which exist, which
// are leaving, cold or down, and how loaded they are.
//
// A target is cold while it starts up: it then tolerates only a few requests, so only some
// hosts (its owners) send to it, each at a bounded rate. It is the same for a target that names a limit of
// the requests that it takes.
//
// fleet.go handles the use of targets and evacuations, reports.go the targets' reports, target.go
// holds the state and the estimates of one target, notice.go what targets say of themselves in
// responses, limit.go their limits, quota.go how many requests this host may send to a target,
// departed.go the reports of removed targets, and check.go schedules health checks.
package fleet

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
)

var (
	evTarget     = eventlog.Define(1601, zerolog.InfoLevel, "target state changed")
	evEvacuation = eventlog.Define(1602, zerolog.InfoLevel, "evacuation changed")
	evStale      = eventlog.Define(1603, zerolog.WarnLevel, "older report of a target ignored")
)

// Fleet holds all known targets. It is safe for concurrent use; callers hold Lock while
// they use a Target.
type Fleet struct {
	sync.Mutex
	log       zerolog.Logger
	targets   map[string]*Target
	byService map[string][]*Target
	evacuated map[string]bool
	// departed holds the last reports of targets that were removed.
	departed departures
	// noticesKept holds the notices of targets that were removed.
	noticesKept keptNotices
	owners      Owners
	// generation changes when targets are added, removed or start to leave, or their slots
	// change.
	generation uint64
	// newcomersUntil is the end of the time in which a target that joined may need its
	// first request.
	newcomersUntil time.Time
	// firstTargetAt is when the first target was added.
	firstTargetAt time.Time
	// limitChanged is called when partners must be informed of a target's limit; nil means that there are
	// none.
	limitChanged func() uint64
	// maxPerSecond bounds how many requests per second this host sends to a target of a
	// service while the targets' reports may be out of date; nil means no bound.
	maxPerSecond func(service string) int
}

// settleTime is how long after the first target added targets do not count as newcomers.
const settleTime = 5 * time.Second

// firstRequestWindow is how long after its cold start a newcomer may be sent its first
// request by its first owner.
const firstRequestWindow = 15 * time.Second

// New returns a fleet without targets.
func New(log zerolog.Logger, owners Owners) *Fleet {
	return &Fleet{
		log: log, owners: owners,
		departed: make(departures), noticesKept: newKeptNotices(),
		targets: make(map[string]*Target), byService: make(map[string][]*Target), evacuated: make(map[string]bool),
	}
}

// SetEvacuated sets whether a failure domain is evacuated; its targets then get no new
// requests. After an evacuation they count as cold until a health check shows their state.
func (f *Fleet) SetEvacuated(domain string, on bool, now time.Time) {
	f.Lock()
	defer f.Unlock()
	if f.evacuated[domain] == on {
		return
	}
	f.evacuated[domain] = on
	evEvacuation.Log(f.log).Str("failure_domain", domain).Bool("evacuated", on).Send()
	if on {
		return
	}
	for _, t := range f.targets {
		if t.FailureDomain == domain {
			t.maybeCold = true
			t.nextCheckAt = now
			t.checkDelay = initialCheckDelay
			t.recentObjects = make(map[uint64]time.Time)
		}
	}
}

// Evacuated reports whether a failure domain is evacuated.
func (f *Fleet) Evacuated(domain string) bool {
	f.Lock()
	defer f.Unlock()
	return f.evacuated[domain]
}

// Service returns the targets of a service. The lock must be held; the slice must not be
// changed.
func (f *Fleet) Service(name string) []*Target { return f.byService[name] }

// Generation returns a number that changes when targets are added, removed or start to
// leave, or their slots change. The lock must be held.
func (f *Fleet) Generation() uint64 { return f.generation }

// HasNewcomers reports whether there may be newcomers that need their first request. The
// lock must be held.
func (f *Fleet) HasNewcomers(now time.Time) bool { return now.Before(f.newcomersUntil) }

// Usable reports whether this host may send a new request to the target now. The lock must
// be held.
func (f *Fleet) Usable(t *Target, now time.Time) bool {
	if t.Leaving || t.down || t.notices.paused(now) || f.evacuated[t.FailureDomain] {
		return false
	}
	return f.withinQuotas(t, now)
}

// PauseLeft returns the time until the first of a service's targets accepts requests of this host again. It is
// 0 unless all those that it could use otherwise have asked for a pause.
func (f *Fleet) PauseLeft(service string, now time.Time) time.Duration {
	f.Lock()
	defer f.Unlock()
	left := time.Duration(0)
	for _, t := range f.byService[service] {
		switch {
		case t.Leaving || t.down || f.evacuated[t.FailureDomain]:
		case !t.notices.paused(now):
			return 0
		case left == 0 || t.notices.pausedUntil.Sub(now) < left:
			left = t.notices.pausedUntil.Sub(now)
		}
	}
	return left
}

// LimitSendRate bounds how many requests per second this host sends to each target of a
// service, until LiftSendRateLimit. It is used while reports may be out of date: a target
// may then have become cold without this host knowing of it. A bound above maxSendTimes has
// no effect.
func (f *Fleet) LimitSendRate(maxPerSecond func(service string) int) {
	f.Lock()
	defer f.Unlock()
	f.maxPerSecond = maxPerSecond
}

// SendRateLimited reports whether LimitSendRate is in force.
func (f *Fleet) SendRateLimited() bool {
	f.Lock()
	defer f.Unlock()
	return f.maxPerSecond != nil
}

// LiftSendRateLimit removes the bound of LimitSendRate once reports are up to date again.
func (f *Fleet) LiftSendRateLimit() { f.LimitSendRate(nil) }

// SendsFirstRequest reports whether this host is the one that sends a newcomer its first
// request. The lock must be held.
func (f *Fleet) SendsFirstRequest(t *Target, now time.Time) bool {
	return f.HasNewcomers(now) && t.joined && t.Sent == 0 && !t.IsCold(now) && f.owners.Owns(t.ID, 1)
}

// Begin records that a request is about to be sent, and returns its number at the target.
// The lock must be held.
func (f *Fleet) Begin(t *Target, w Work, now time.Time) uint64 {
	return t.begin(w, f.longestWindow(t), now)
}

// End records the outcome of a request.
func (f *Fleet) End(t *Target, number uint64, o Outcome, now time.Time) {
	f.Lock()
	defer f.Unlock()
	wasDown, slots, sentAt := t.down, t.Slots, t.openRequests[number].sentAt
	t.end(number, o, now)
	f.applyNotice(t, o.Notice, sentAt, now)
	if t.Slots != slots {
		f.generation++
	}
	if t.down != wasDown {
		f.logState(t, now)
	}
}

// IsLeaving reports whether a target is leaving, may have left or has been replaced.
func (f *Fleet) IsLeaving(t *Target) bool {
	f.Lock()
	defer f.Unlock()
	return f.targets[t.ID] != t || !t.removeAt.IsZero() || t.Leaving || t.notices.leaving
}

// MarkDown marks a target as down. It is called when the target no longer listens.
func (f *Fleet) MarkDown(t *Target, now time.Time) {
	f.Lock()
	defer f.Unlock()
	if t.down {
		return
	}
	t.markDown(now)
	f.logState(t, now)
}

// RecordDialTime records the time that opening a connection to an address took.
func (f *Fleet) RecordDialTime(addr string, took time.Duration) {
	f.Lock()
	defer f.Unlock()
	for _, t := range f.targets {
		if t.Addr == addr && (t.RTT == 0 || took < t.RTT) {
			t.RTT = took
		}
	}
}

// Size returns the number of known targets.
func (f *Fleet) Size() int {
	f.Lock()
	defer f.Unlock()
	return len(f.targets)
}

// States are the state names that Count accepts.
var States = []string{"ready", "cold", "down", "leaving", "missing", "paused", "limited"}

// Count returns the number of targets in a state.
func (f *Fleet) Count(state string, now time.Time) int64 {
	f.Lock()
	defer f.Unlock()
	n := int64(0)
	for _, t := range f.targets {
		if f.stateName(t, now) == state {
			n++
		}
	}
	return n
}

func (f *Fleet) logState(t *Target, now time.Time) {
	evTarget.Log(f.log).Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr).
		Str("state", f.stateName(t, now)).Int64("sequence", t.Sequence).Int64("born", t.Born).
		Dur("cold", max(0, t.coldUntil.Sub(now))).Send()
}

func (f *Fleet) stateName(t *Target, now time.Time) string {
	switch {
	case f.targets[t.ID] != t:
		return "gone"
	case !t.removeAt.IsZero():
		return "missing"
	case t.Leaving:
		return "leaving"
	case t.down:
		return "down"
	case t.notices.paused(now):
		return "paused"
	case t.IsCold(now):
		return "cold"
	case t.notices.limit.named:
		return "limited"
	default:
		return "ready"
	}
}

// Score returns the rendezvous hashing score of an owner or target for a key; the largest
// score wins.
func Score(key uint64, id string) uint64 {
	return mixBits(key ^ xxhash.Sum64String(id))
}

// mixBits spreads the bits of x (the finalizer of splitmix64).
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
