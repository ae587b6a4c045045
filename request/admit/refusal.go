package admit

import (
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/verdict"
)

var (
	evRefused      = eventlog.Define(4201, zerolog.WarnLevel, "request refused by admission control")
	evQueued       = eventlog.Define(4202, zerolog.InfoLevel, "request queued")
	evDequeued     = eventlog.Define(4203, zerolog.InfoLevel, "queued request granted a slot")
	evSlotReturned = eventlog.Define(4204, zerolog.InfoLevel, "slot returned for requests with priority")
)

// Reason is why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonFull means that the queue of the class or of the service is full.
	ReasonFull Reason = "queue full"
	// ReasonEvicted means that a short request displaced this waiting long request.
	ReasonEvicted Reason = "displaced by short work"
	// ReasonDeadline means that the request can no longer meet its deadline.
	ReasonDeadline Reason = "deadline cannot be met"
	// ReasonCancelled means that the request's context ended, usually because its
	// caller disconnected.
	ReasonCancelled Reason = "caller went away"
)

// The Retry-After of a refused request is drawn at random from a range, so that refused
// callers do not return at the same time.
const (
	retryAfterMin   = 1 * time.Second
	retryAfterShort = 4 * time.Second
	retryAfterLong  = 20 * time.Second
)

// RefusedError reports that a request got no slot. No target ran it.
type RefusedError struct {
	Service string
	Class   string
	Reason  Reason
	// RetryAfter is how long the caller should wait before it sends the request again,
	// in whole seconds; 0 when a retry cannot help.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return "service " + e.Service + ", class " + e.Class + ": " + string(e.Reason)
}

// RetryAfterOf returns how long a caller should wait before it sends a request again
// that was not run, in whole seconds; 0 when a retry cannot help.
func RetryAfterOf(err error) time.Duration {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.RetryAfter
	}
	return retryAfter(false, rand.Int64N)
}

// retryAfter draws the wait of a refused caller. The range for long requests ends later,
// so that they stay away longer on average.
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
	a.metrics.refused(reason).Add(1)
	evRefused.Log(a.log).Str("request", w.info.ID).Str("service", refused.Service).Str("class", refused.Class).
		Str("reason", string(reason)).Int64("waited_us", time.Since(w.arrivedAt).Microseconds()).Send()
	return verdict.Wrap(verdict.NotRun, "admit", refused)
}

// admissionMetrics are the counters of an Admitter.
type admissionMetrics struct {
	direct     *expvar.Int
	waited     *expvar.Int
	waitMicros *expvar.Int
	full       *expvar.Int
	evicted    *expvar.Int
	deadline   *expvar.Int
	cancelled  *expvar.Int
}

func newAdmissionMetrics(m *metrics.Set) admissionMetrics {
	return admissionMetrics{
		direct:     m.Counter("admission.direct_requests"),
		waited:     m.Counter("admission.queued_requests"),
		waitMicros: m.Counter("admission.wait_us"),
		full:       m.Counter("admission.refused_full_requests"),
		evicted:    m.Counter("admission.refused_displaced_requests"),
		deadline:   m.Counter("admission.refused_deadline_requests"),
		cancelled:  m.Counter("admission.cancelled_requests"),
	}
}

func (c *admissionMetrics) refused(reason Reason) *expvar.Int {
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
