package forward

import (
	"expvar"

	"quetzalknot/process/metrics"
	"quetzalknot/verdict"
)

// counts are the figures of a handler.
type counts struct {
	ran, notRun, mayHaveRun *expvar.Int

	refused, broken, quarantined, crossed  *expvar.Int
	duplicates, passedOn, ownerGone, other *expvar.Int
}

func newCounts(set *metrics.Set) counts {
	return counts{
		ran:         set.Counter("forward.ran_requests"),
		notRun:      set.Counter("forward.not_run_requests"),
		mayHaveRun:  set.Counter("forward.may_have_run_requests"),
		refused:     set.Counter("forward.refused_requests"),
		broken:      set.Counter("forward.broken_answers"),
		quarantined: set.Counter("forward.quarantined_requests"),
		crossed:     set.Counter("forward.crossed_answers"),
		duplicates:  set.Counter("claim.duplicate_requests"),
		passedOn:    set.Counter("claim.passed_on_requests"),
		ownerGone:   set.Counter("claim.owner_gone_requests"),
		other:       set.Counter("claim.other_body_requests"),
	}
}

func (c *counts) of(v verdict.Verdict) *expvar.Int {
	switch v {
	case verdict.Ran:
		return c.ran
	case verdict.NotRun:
		return c.notRun
	default:
		return c.mayHaveRun
	}
}
