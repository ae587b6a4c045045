package entry

import (
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/platform/adapter"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/mirror"
)

var (
	evConfigApplied  = eventlog.Define(2021, zerolog.InfoLevel, "desired state applied")
	evConfigRejected = eventlog.Define(2022, zerolog.ErrorLevel, "desired state rejected")
	evReportRejected = eventlog.Define(2023, zerolog.WarnLevel, "target report rejected")
)

// missingReportHold is how long a target is kept after its report disappeared while the
// store was failing. Live targets have written their reports again by then.
const missingReportHold = 2 * time.Second

// apply applies records read from the store or pulled from a partner.
func (h *Host) apply(d mirror.Delta) {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	now := time.Now()
	for _, r := range h.mirror.Apply(d) {
		if d.Table == adapter.TargetTable {
			h.applyTarget(r, now)
			continue
		}
		h.applyOperator(r, now)
	}
}

func (h *Host) applyOperator(r mirror.Record, now time.Time) {
	if zone, ok := adapter.Evacuation(r); ok {
		h.fleet.SetEvacuated(zone, !r.Removed, now)
		return
	}
	if !adapter.IsConfig(r) || r.Removed {
		return
	}
	c, err := adapter.ParseConfig(r.Value)
	if err != nil {
		evConfigRejected.Log(h.log).Uint64("revision", r.Revision).Err(err).Send()
		return
	}
	if old := h.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	h.config.Store(c)
	evConfigApplied.Log(h.log).Uint64("version", c.Version).Uint64("revision", r.Revision).
		Int("routes", len(c.Routes)).Int("services", len(c.Services)).Send()
}

func (h *Host) applyTarget(r mirror.Record, now time.Time) {
	if r.Removed {
		hold := time.Duration(0)
		if h.reportsMayBeMissing(now) {
			hold = missingReportHold
		}
		h.fleet.Remove(r.Key, now, hold)
		return
	}
	e, err := adapter.ParseTarget(r.Key, r.Value, h.settings.Load().Regions)
	if err != nil {
		evReportRejected.Log(h.log).Str("target", r.Key).Err(err).Send()
		h.fleet.Remove(r.Key, now, 0)
		return
	}
	h.fleet.Upsert(e, now)
}
