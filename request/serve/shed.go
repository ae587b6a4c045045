package serve

import (
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/request/place"
)

// maxShedRetryAfter bounds the retry time that is derived from the wait at the targets, because such an estimate holds
// for a few seconds only.
const maxShedRetryAfter = 5 * time.Second

// shedRetryAfter returns how long the wait at the targets is expected to stay above what is accepted for the request.
func (q *request) shedRetryAfter() time.Duration {
	if q.refusedChoice == nil {
		return 0
	}
	return min(maxShedRetryAfter, q.refusedChoice.Decision.RetryAfter)
}

// shedLog holds the inputs of the decision to reject a request for lack of capacity.
type shedLog struct {
	choice *place.Choice
	q      *request
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l shedLog) MarshalZerologObject(e *zerolog.Event) {
	c, s := l.choice, l.choice.Standing
	e.Stringer("reason", c.Decision.Reason).Str("priorities", c.Priorities()).Int64("objective_ms", l.q.route.Objective.Milliseconds()).
		Int64("run_ms", c.RunTime.Milliseconds()).Int64("fastest_wait_ms", c.FastestWait.Milliseconds()).Bool("ordered", s.Active())
	if s.Ordered {
		e.Float64("pressure", s.Pressure).Int("level", s.Level)
	}
	if s.Active() {
		e.Int64("limit_ms", s.Limit.Milliseconds()).Float64("share", s.Share).Float64("route_served", s.RouteServed).
			Float64("workspace_served", s.WorkspaceServed).Bool("starving", s.Starving)
	}
}
