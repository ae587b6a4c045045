package spread

import (
	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
)

var (
	evSuspect          = eventlog.Define(1101, zerolog.WarnLevel, "member is suspected")
	evDead             = eventlog.Define(1102, zerolog.WarnLevel, "member declared dead")
	evSuperseded       = eventlog.Define(1103, zerolog.ErrorLevel, "another process runs as this host")
	evRowFailed        = eventlog.Define(1104, zerolog.WarnLevel, "writing the member row failed")
	evSyncFailed       = eventlog.Define(2011, zerolog.WarnLevel, "topic synchronisation with a peer failed")
	evStoreDown        = eventlog.Define(2012, zerolog.WarnLevel, "reading the table service failed")
	evStoreUp          = eventlog.Define(2013, zerolog.InfoLevel, "table service reachable again")
	evUnreadable       = eventlog.Define(2014, zerolog.ErrorLevel, "ticket row cannot be decoded")
	evSnapshot         = eventlog.Define(2015, zerolog.InfoLevel, "state snapshot written")
	evSnapshotRejected = eventlog.Define(2016, zerolog.ErrorLevel, "state snapshot rejected")
	// evRestored reports that the table service was restored from an older copy.
	evRestored      = eventlog.Define(2019, zerolog.WarnLevel, "table service was restored from a copy; all tickets are read again")
	evRewritten     = eventlog.Define(2020, zerolog.WarnLevel, "ticket that the restored table lacks was written again")
	evRewriteFailed = eventlog.Define(2024, zerolog.ErrorLevel, "writing a ticket again failed")
	// evSnapshotFailed reports an object store failure. Reads of the table service continue.
	evSnapshotFailed = eventlog.Define(2018, zerolog.WarnLevel, "reading or writing the state snapshot failed")
	evLoaded         = eventlog.Define(2017, zerolog.InfoLevel, "state loaded")
)

func (e *Engine) publishMetrics() {
	e.Metrics.Gauge("spread.fresh_age_ms", func() int64 {
		return e.watermark.ageMS()
	})
	e.Metrics.Gauge("spread.partners_count", func() int64 { return int64(len(e.currentPartners())) })
	e.Metrics.Gauge("membership.live_count", func() int64 { return int64(len(e.Members.Live())) })
	e.Metrics.Gauge("membership.dead_count", func() int64 { return int64(len(e.Members.Dead())) })
}
