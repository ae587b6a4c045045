package spread

import (
	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
)

var (
	evSuspect    = eventlog.Define(1101, zerolog.WarnLevel, "member is suspected")
	evDead       = eventlog.Define(1102, zerolog.WarnLevel, "member counts as dead")
	evSuperseded = eventlog.Define(1103, zerolog.ErrorLevel, "another process runs as this host")
	evRowFailed  = eventlog.Define(1104, zerolog.WarnLevel, "member row not written")
	evSyncFailed = eventlog.Define(2011, zerolog.WarnLevel, "topic not levelled with a peer")
	evStoreDown  = eventlog.Define(2012, zerolog.WarnLevel, "table service not read")
	evStoreUp    = eventlog.Define(2013, zerolog.InfoLevel, "table service read again")
	evUnreadable = eventlog.Define(2014, zerolog.ErrorLevel, "ticket row cannot be decoded")
	evSnapshot   = eventlog.Define(2015, zerolog.InfoLevel, "state snapshot written")
	evDamaged    = eventlog.Define(2016, zerolog.ErrorLevel, "state snapshot refused")
	evStarted    = eventlog.Define(2017, zerolog.InfoLevel, "state loaded")
)

func (e *Engine) publishMetrics() {
	e.Metrics.Gauge("spread.fresh_age_ms", func() int64 {
		ms, _ := e.fresh.message()
		return ms
	})
	e.Metrics.Gauge("spread.partners_count", func() int64 { return int64(len(e.currentPartners())) })
	e.Metrics.Gauge("membership.live_count", func() int64 { return int64(len(e.Members.Live())) })
	e.Metrics.Gauge("membership.dead_count", func() int64 { return int64(len(e.Members.Dead())) })
}
