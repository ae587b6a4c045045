package forward

import (
	"expvar"

	"quetzalknot/process/metrics"
	"quetzalknot/verdict"
)

// forwardMetrics are the counters of a Handler.
type forwardMetrics struct {
	ran, notRun, mayHaveRun *expvar.Int

	refused, broken, quarantined, mismatched      *expvar.Int
	duplicates, passedOn, ownerGone, otherContent *expvar.Int
}

func newForwardMetrics(set *metrics.Set) forwardMetrics {
	return forwardMetrics{
		ran:          set.Counter("forward.ran_requests"),
		notRun:       set.Counter("forward.not_run_requests"),
		mayHaveRun:   set.Counter("forward.may_have_run_requests"),
		refused:      set.Counter("forward.refused_requests"),
		broken:       set.Counter("forward.broken_answers"),
		quarantined:  set.Counter("forward.quarantined_requests"),
		mismatched:   set.Counter("forward.crossed_answers"),
		duplicates:   set.Counter("claim.duplicate_requests"),
		passedOn:     set.Counter("claim.passed_on_requests"),
		ownerGone:    set.Counter("claim.owner_gone_requests"),
		otherContent: set.Counter("claim.other_body_requests"),
	}
}

func (m *forwardMetrics) of(v verdict.Verdict) *expvar.Int {
	switch v {
	case verdict.Ran:
		return m.ran
	case verdict.NotRun:
		return m.notRun
	default:
		return m.mayHaveRun
	}
}
