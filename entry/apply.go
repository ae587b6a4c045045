package entry

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/platform/adapter"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/mirror"
	"quetzalknot/version/routes"
)

var (
	evConfigApplied  = eventlog.Define(2021, zerolog.InfoLevel, "desired state applied")
	evConfigRejected = eventlog.Define(2022, zerolog.ErrorLevel, "desired state rejected")
	evReportRejected = eventlog.Define(2023, zerolog.WarnLevel, "target report rejected")
	evStoreRestored  = eventlog.Define(1805, zerolog.WarnLevel, "store restored from a copy")
)

// missingReportHold is how long after the store's return from an outage a target without a report
// is kept, and what a restored store lacks stays in force. Live targets and operators have
// written again by then.
const missingReportHold = 2 * time.Second

// minRestoredHold is the least time for which a target stays whose report a restored store lacks,
// since records that were pulled from a partner may be that old.
const minRestoredHold = 500 * time.Millisecond

// errRefused reports that the store gave records of an earlier era than the known ones.
var errRefused = errors.New("the store's records are of an earlier era")

// apply applies records read from the store or pulled from a partner. It returns false if they are
// of an era that does not count.
func (h *Host) apply(d mirror.Delta) bool { return h.applyAt(d, time.Now()) }

// applyAt is apply at a given time.
func (h *Host) applyAt(d mirror.Delta, now time.Time) bool {
	states := h.parseStates(d)
	asked := time.Now()
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	states.waited = time.Since(asked)
	before := h.storeEra()
	change := h.mirror.Apply(d)
	era := h.storeEra()
	if era > before && before > 0 {
		h.eraSeenAt.Store(&now)
	}
	h.checkRow(era)
	if change.Restored {
		evStoreRestored.Log(h.log).Str("table", d.Table).Uint64("era", d.Era).Uint64("revision", d.UpTo).
			Int("changed", len(change.Records)).Send()
		h.restartHolds(now)
	}
	if change.Restored && d.Table == adapter.TargetTable {
		h.stale.enterEra(d.Era)
		h.removeStale(now)
	}
	for _, r := range change.Records {
		if d.Table == adapter.TargetTable {
			h.applyTarget(r, d.Era, now, change.Restored)
			continue
		}
		h.applyOperator(r, states, now, change.Restored)
	}
	return !change.Refused
}

// parsedState is a desired state that was decoded, or why it is rejected, and how long that took.
type parsedState struct {
	config *routes.Config
	err    error
	took   time.Duration
}

func parseState(r mirror.Record) parsedState {
	started := time.Now()
	config, err := adapter.ParseConfig(r.Value)
	return parsedState{config: config, err: err, took: time.Since(started)}
}

// parsedStates holds the desired states of a delta by revision.
type parsedStates struct {
	byRevision map[uint64]parsedState
	// waited is how long the delta was delayed by others that were being applied.
	waited time.Duration
}

// parseStates decodes the desired states of a delta that are newer than the known one. A large one takes long, so this
// comes before the delta is applied: what others change is not held up.
func (h *Host) parseStates(d mirror.Delta) parsedStates {
	states := parsedStates{byRevision: make(map[uint64]parsedState)}
	for _, r := range d.Records {
		known, ok := h.mirror.Get(d.Table, r.Key)
		if d.Table == adapter.OperatorTable && adapter.IsConfig(r) && !r.Removed && (!ok || known.Revision < r.Revision) {
			states.byRevision[r.Revision] = parseState(r)
		}
	}
	return states
}

// of returns the desired state of a record.
func (s parsedStates) of(r mirror.Record) parsedState {
	if state, ok := s.byRevision[r.Revision]; ok {
		return state
	}
	return parseState(r)
}

// applyOperator applies a record of the operators' table.
func (h *Host) applyOperator(r mirror.Record, states parsedStates, now time.Time, restored bool) {
	if zone, ok := adapter.Evacuation(r); ok {
		h.applyEvacuation(zone, r, now, restored)
		return
	}
	if !adapter.IsConfig(r) || r.Removed {
		return
	}
	state := states.of(r)
	if state.err != nil {
		evConfigRejected.Log(h.log).Uint64("revision", r.Revision).Err(state.err).Send()
		return
	}
	c, started := state.config, time.Now()
	if old := h.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	h.config.Store(c)
	h.setRateLimits(c.Workspaces)
	evConfigApplied.Log(h.log).Uint64("version", c.Version).Uint64("revision", r.Revision).
		Int("routes", len(c.Routes)).Int("services", len(c.Services)).Int("bytes", len(r.Value)).
		Int64("waited_us", states.waited.Microseconds()).Int64("decode_us", state.took.Microseconds()).
		Int64("swap_us", time.Since(started).Microseconds()).Send()
}

// applyEvacuation starts or ends the evacuation of a failure domain. One that a restored store
// lacks ends after a hold, unless it is written again.
func (h *Host) applyEvacuation(domain string, r mirror.Record, now time.Time, restored bool) {
	delete(h.evacuationHolds, domain)
	if r.Removed && restored {
		h.evacuationHolds[domain] = now.Add(missingReportHold)
		return
	}
	h.fleet.SetEvacuated(domain, !r.Removed, now)
}

// restartHolds lets what is held stay for the full time, since the store was restored once more,
// and what it lacks is written again only after that. applyMu must be held.
func (h *Host) restartHolds(now time.Time) {
	h.restartEvacuationHolds(now)
	h.fleet.RestartHolds(now, h.restoredHold(now))
}

// restoredHold returns for how long a target stays whose report a restored store lacks. It counts
// from when any table showed the restore to this host or to a partner, since reports can be written
// again from then on.
func (h *Host) restoredHold(now time.Time) time.Duration {
	hold := h.sinceRestore(now)
	if stated, ok := h.group.RestoredHold(now, h.storeEra()); ok {
		hold = min(hold, stated)
	}
	return max(minRestoredHold, hold)
}

// sinceRestore returns what is left of the hold that counts from this host's notice of a restore.
func (h *Host) sinceRestore(now time.Time) time.Duration {
	seen := h.eraSeenAt.Load()
	if seen == nil {
		return 0
	}
	return max(0, seen.Add(missingReportHold).Sub(now))
}

// restartEvacuationHolds is restartHolds for evacuations only. applyMu must be held.
func (h *Host) restartEvacuationHolds(now time.Time) {
	for domain := range h.evacuationHolds {
		h.evacuationHolds[domain] = now.Add(missingReportHold)
	}
}

// endHeldEvacuations ends the evacuations whose hold has expired, once the store has answered
// after that without bringing them back.
func (h *Host) endHeldEvacuations(now time.Time) {
	age, ok := h.confirmedAge(now)
	if !ok {
		return
	}
	confirmedAt := now.Add(-age)
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	for domain, end := range h.evacuationHolds {
		if confirmedAt.Before(end) {
			continue
		}
		delete(h.evacuationHolds, domain)
		h.fleet.SetEvacuated(domain, false, now)
	}
}

// applyTarget applies a target's report of an era. In a restored store the report of a target that had
// left may be that of the copy; it does not count, and partners are informed.
func (h *Host) applyTarget(r mirror.Record, era uint64, now time.Time, restored bool) {
	at := mirror.Position{Era: era, Revision: r.Revision}
	h.stale.replace(r.Key, at)
	if r.Removed {
		hold := h.restoredHold(now)
		if !restored {
			hold = h.reportHold(now)
		}
		h.fleet.Remove(r.Key, now, hold)
		return
	}
	if h.stale.contains(r.Key, at) {
		h.fleet.Remove(r.Key, now, 0)
		return
	}
	e, err := adapter.ParseTarget(r.Key, r.Value, h.settings.Load().Regions)
	if err != nil {
		evReportRejected.Log(h.log).Str("target", r.Key).Err(err).Send()
		h.fleet.Discard(r.Key, now)
		return
	}
	if restored {
		if h.fleet.UpsertRestored(e, now) && h.stale.add(r.Key, at) {
			h.group.ResendFull()
		}
		return
	}
	h.fleet.Upsert(e, now)
}
