package admit

import (
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/verdict"
)

var (
	evNoRoom   = eventlog.Define(4201, zerolog.WarnLevel, "request refused without room")
	evQueued   = eventlog.Define(4202, zerolog.InfoLevel, "request queued")
	evDequeued = eventlog.Define(4203, zerolog.InfoLevel, "request left the queue with a target")
	evReturned = eventlog.Define(4204, zerolog.InfoLevel, "slot offered again to work that goes first")
)

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	// ReasonFull means that the queue of the class is full.
	ReasonFull Reason = "queue full"
	// ReasonEvicted means that a waiting long request gave its place to a short one.
	ReasonEvicted Reason = "displaced by short work"
	// ReasonDeadline means that the request can no longer make its deadline.
	ReasonDeadline Reason = "deadline cannot be met"
	// ReasonCancelled means that the caller went away.
	ReasonCancelled Reason = "caller went away"
)

// The Retry-After of a refused request is drawn from a range, so that refused
// callers do not come back at the same moment.
const (
	retryAfterMin   = 1 * time.Second
	retryAfterShort = 4 * time.Second
	retryAfterLong  = 20 * time.Second
)

// RefusedError reports that a request found no room. No target ran it.
type RefusedError struct {
	Service string
	Class   string
	Reason  Reason
	// RetryAfter is when a new try can help, in whole seconds; 0 when it cannot.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return "service " + e.Service + ", class " + e.Class + ": " + string(e.Reason)
}

// retryAfter draws when a refused caller should come back. Long work stays away longer.
func retryAfter(long bool, draw func(n int64) int64) time.Duration {
	limit := retryAfterShort
	if long {
		limit = retryAfterLong
	}
	seconds := int64((limit - retryAfterMin) / time.Second)
	return retryAfterMin + time.Duration(draw(seconds+1))*time.Second
}

// refuse counts and logs a refusal and returns its error.
func (a *Admitter) refuse(w *waiter, reason Reason) error {
	refused := &RefusedError{Service: w.info.Service.Name, Class: w.info.Class.Name, Reason: reason}
	if reason != ReasonCancelled {
		refused.RetryAfter = retryAfter(w.info.Class.Long, rand.Int64N)
	}
	a.counts.refused(reason).Add(1)
	evNoRoom.Log(a.log).Str("request", w.info.ID).Str("service", refused.Service).Str("class", refused.Class).
		Str("reason", string(reason)).Int64("waited_us", time.Since(w.since).Microseconds()).Send()
	return verdict.Wrap(verdict.NotRun, "admit", refused)
}

// counters are the figures of an Admitter.
type counters struct {
	direct     *expvar.Int
	waited     *expvar.Int
	waitMicros *expvar.Int
	full       *expvar.Int
	evicted    *expvar.Int
	deadline   *expvar.Int
	cancelled  *expvar.Int
}

func newCounters(m *metrics.Set) counters {
	return counters{
		direct:     m.Counter("admission.direct_requests"),
		waited:     m.Counter("admission.queued_requests"),
		waitMicros: m.Counter("admission.wait_us"),
		full:       m.Counter("admission.refused_full_requests"),
		evicted:    m.Counter("admission.refused_displaced_requests"),
		deadline:   m.Counter("admission.refused_deadline_requests"),
		cancelled:  m.Counter("admission.cancelled_requests"),
	}
}

func (c *counters) refused(reason Reason) *expvar.Int {
	switch reason {
	case ReasonFull:
		return c.full
	case ReasonEvicted:
		return c.evicted
	case ReasonDeadline:
		return c.deadline
	default:
		return c.cancelled
	}
}
