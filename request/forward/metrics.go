package forward

import (
	"expvar"

	"quetzalknot/process/metrics"
	"quetzalknot/verdict"
)

// forwardMetrics are the counters of a Handler.
type forwardMetrics struct {
	ran, notRun, mayHaveRun *expvar.Int

	refused, broken, quarantined, crossed         *expvar.Int
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
		crossed:      set.Counter("forward.crossed_answers"),
		duplicates:   set.Counter("claim.duplicate_requests"),
		passedOn:     set.Counter("claim.passed_on_requests"),
		ownerGone:    set.Counter("claim.owner_gone_requests"),
		otherContent: set.Counter("claim.other_body_requests"),
	}
}

func (c *forwardMetrics) of(v verdict.Verdict) *expvar.Int {
	switch v {
	case verdict.Ran:
		return c.ran
	case verdict.NotRun:
		return c.notRun
	default:
		return c.mayHaveRun
	}
}
