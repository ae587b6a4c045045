// Package serve proxies a caller's request to a target and the response back to the
// caller, according to the routes in force and the state of the targets.
//
// serve.go reads the request and runs its attempts, attempt.go sends it to a target and
// classifies the response, finish.go sends the final response and writes the log line,
// headers.go declares the values carried in headers, path.go keeps the path as it was sent.
package serve

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/connection/target"
	"quetzalknot/process/crash"
	"quetzalknot/process/fleet"
	"quetzalknot/process/metrics"
	"quetzalknot/request/budget"
	"quetzalknot/request/place"
	"quetzalknot/verdict"
	"quetzalknot/version/routes"
)

const (
	// maxBufferedBody is the largest request body, in bytes, that is held in memory.
	maxBufferedBody = 1 << 20
	// fingerprintedStart is how many bytes of the start of a streamed body are read before it
	// is sent and are part of the request's fingerprint.
	fingerprintedStart = 64 << 10
	// maxInlineBody is the largest body, in bytes, that is written before the response is read.
	maxInlineBody = 8 << 10
	// maxBufferedResponse is the largest response body, in bytes, that is held in memory.
	maxBufferedResponse = 512 << 10
	// defaultTimeout limits requests whose caller does not say how long it waits.
	defaultTimeout = 30 * time.Second
)

// Options are the dependencies of a Handler.
type Options struct {
	Config  func() *routes.Config
	Chooser *place.Chooser
	Fleet   *fleet.Fleet
	Pool    *target.Pool
	Budget  *budget.SlidingWindows
	Crashes *crash.Counts
	Headers HeaderCodec
	// UpToDate reports whether the configuration is known to be the newest.
	UpToDate func() bool
	// StateAge returns the time since the configuration was last confirmed, for the log lines
	// of requests without a route. May be nil.
	StateAge func() time.Duration
	Metrics  *metrics.Set
	Log      zerolog.Logger
}

// Handler serves callers' requests. It is an http.Handler.
type Handler struct {
	Options
	inFlight atomic.Int64
	received atomic.Int64
	// shareCounter distributes the requests of weighted routes over their services.
	shareCounter atomic.Uint64
}

// New returns a handler.
func New(opts Options) *Handler { return &Handler{Options: opts} }

// Received returns the number of requests received since the start.
func (h *Handler) Received() int64 { return h.received.Load() }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	h.received.Add(1)
	defer h.inFlight.Add(-1)
	q := &request{h: h, w: w, r: r, started: time.Now()}
	if !q.read() {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errDeadline)
	defer cancel()
	q.run(ctx)
}

// Idempotent reports whether the route in force allows a request to run more than once.
func (h *Handler) Idempotent(r *http.Request) bool {
	config := h.Config()
	if config == nil {
		return false
	}
	route := config.Match(r.Host, pathOf(r))
	return route != nil && route.Idempotent
}

var (
	errDeadline   = errors.New("deadline exceeded")
	errNoBudget   = errors.New("retry budget is used up")
	errCrashLoop  = errors.New("request has crashed too many targets")
	errNoConfig   = errors.New("no configuration has been received yet")
	errNoRoute    = errors.New("no route matches the request")
	errCallerGone = errors.New("caller has disconnected")
)

// request is the state of one request.
type request struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	started time.Time

	callerHeaders CallerHeaders
	config        *routes.Config
	route         *routes.Route
	service       string
	object        uint64
	body          []byte
	streamed      bool
	fingerprint   uint64
	deadline      time.Time
	tried         []string
	attempts      []attemptLog
	// refusedChoice is the best target found when the choice was refused.
	refusedChoice *place.Choice
	// mayHaveRun is true once a target may have run the request.
	mayHaveRun bool
}

// read finds the route and reads the headers and the body. It returns false when it has
// sent the final response.
func (q *request) read() bool {
	var err error
	q.callerHeaders, err = q.h.Headers.ReadRequest(q.r)
	if q.config = q.h.Config(); q.config == nil {
		return q.refuse(http.StatusServiceUnavailable, errNoConfig)
	}
	if err != nil {
		return q.refuse(http.StatusBadRequest, err)
	}
	if !q.findRoute() {
		return false
	}
	timeout := q.callerHeaders.TimeLeft
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if q.route.Timeout > 0 {
		timeout = min(timeout, q.route.Timeout)
	}
	q.deadline = q.started.Add(timeout)
	if !q.readBody() {
		return false
	}
	q.service = q.route.PickService(q.sharePoint())
	q.object = place.ObjectHash(q.service, q.route.Name, q.callerHeaders.Object)
	q.fingerprint = q.computeFingerprint()
	return true
}

// findRoute finds the route in the configuration in force. A request without one may be denied only
// if that configuration is the confirmed one. It returns false when it has sent the final response.
func (q *request) findRoute() bool {
	for q.route = q.match(); q.route == nil; q.route = q.match() {
		confirmed := q.h.UpToDate()
		current := q.h.Config()
		switch {
		case current != q.config:
			q.config = current
		case confirmed:
			return q.refuse(http.StatusNotFound, errNoRoute)
		default:
			return q.refuse(http.StatusServiceUnavailable, errNoRoute)
		}
	}
	return true
}

func (q *request) match() *routes.Route { return q.config.Match(q.r.Host, pathOf(q.r)) }

// goldenRatio makes the share points of successive requests evenly spread over [0, 1).
const goldenRatio = 0.6180339887498949

// sharePoint returns the number in [0, 1) that selects the service of a weighted route.
func (q *request) sharePoint() float64 {
	if len(q.route.Services) == 1 {
		return 0
	}
	x := float64(q.h.shareCounter.Add(1)) * goldenRatio
	return x - float64(int64(x))
}

// readBody reads the request's body into memory or, when its length shows that it is too large
// for that, its start. It stops at the deadline.
func (q *request) readBody() bool {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return true
	}
	if limit := q.config.Limits.BodyBytes; limit > 0 && q.r.ContentLength > limit {
		return q.refuseBody(limit)
	}
	buffered := int64(maxBufferedBody + 1)
	if q.r.ContentLength > maxBufferedBody {
		buffered = fingerprintedStart
	}
	stop := time.AfterFunc(time.Until(q.deadline), func() { _ = q.r.Body.Close() })
	defer stop.Stop()
	body, err := io.ReadAll(io.LimitReader(q.r.Body, buffered))
	if err != nil {
		return q.bodyFailed(err)
	}
	q.body = body
	q.streamed = max(q.r.ContentLength, int64(len(body))) > maxBufferedBody
	return true
}

// refuseBody refuses a body above the limit, in bytes. The limit may have been raised while
// the configuration is not up to date or has been replaced; the caller may retry then. It always
// returns false.
func (q *request) refuseBody(limit int64) bool {
	status := http.StatusServiceUnavailable
	if q.h.UpToDate() && q.h.Config() == q.config {
		status = http.StatusRequestEntityTooLarge
	}
	return q.refuse(status, errors.Newf("request body has %d bytes; at most %d are allowed", q.r.ContentLength, limit))
}

// bodyFailed ends a request whose body could not be read. It always returns false.
func (q *request) bodyFailed(err error) bool {
	switch {
	case q.r.Context().Err() != nil:
		q.abort()
		return false
	case !time.Now().Before(q.deadline):
		return q.refuse(http.StatusRequestTimeout, errDeadline)
	default:
		return q.refuse(http.StatusBadRequest, errors.Wrap(err, "request body"))
	}
}

// computeFingerprint returns a hash that is equal for repetitions of the same request. Of a
// streamed body it contains the length, if that is known, and the start.
func (q *request) computeFingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{q.r.Method, q.r.Host, q.r.RequestURI, q.callerHeaders.Object} {
		_, _ = d.WriteString(part) // writing to a hash never fails
		_, _ = d.Write([]byte{0})
	}
	if q.streamed {
		_, _ = d.WriteString(strconv.FormatInt(q.r.ContentLength, 10))
	}
	_, _ = d.Write(q.body)
	return d.Sum64()
}

// run makes attempts until the request has its final response.
func (q *request) run(ctx context.Context) {
	h := q.h
	h.Budget.AddRequest(q.service, q.started)
	if h.Crashes.LimitReached(q.fingerprint, q.started) {
		q.refuse(http.StatusServiceUnavailable, errCrashLoop)
		return
	}
	var last result
	for {
		next, err := q.chooseTarget(ctx)
		if err != nil {
			q.giveUp(ctx, last, err)
			return
		}
		last = q.attempt(ctx, next)
		if last.final(q.route.Idempotent) || !q.mayRetry(ctx) {
			q.finish(ctx, last)
			return
		}
	}
}

// chooseTarget selects the target of the next attempt.
func (q *request) chooseTarget(ctx context.Context) (place.Choice, error) {
	now := time.Now()
	if ctx.Err() != nil {
		return place.Choice{}, context.Cause(ctx)
	}
	choice, err := q.h.Chooser.Choose(place.Request{
		Route: q.route, Service: q.service, Object: q.object, BodyBytes: max(int64(len(q.body)), q.r.ContentLength), Tried: q.tried,
		TimeLeft: q.deadline.Sub(now),
	}, now)
	if err != nil {
		q.refusedChoice = &choice
		return choice, err
	}
	if len(q.tried) > 0 && !q.h.Budget.Take(q.service, now) {
		q.h.Metrics.Counter("serve.retries_refused").Add(1)
		q.h.Chooser.Done(choice, q.route, fleet.Outcome{Cancelled: true}, 0, now)
		return choice, errNoBudget
	}
	return choice, nil
}

// mayRetry reports whether another attempt is allowed after one that was not final.
func (q *request) mayRetry(ctx context.Context) bool {
	return ctx.Err() == nil && len(q.tried) < q.route.Attempts && !q.streamed &&
		!q.h.Crashes.LimitReached(q.fingerprint, time.Now())
}

// giveUp sends the final response of a request for which no further attempt is made.
func (q *request) giveUp(ctx context.Context, last result, err error) {
	if len(q.attempts) > 0 {
		q.finish(ctx, last)
		return
	}
	if ctx.Err() != nil && q.r.Context().Err() != nil {
		err = errCallerGone
	}
	q.refuse(http.StatusServiceUnavailable, err)
}

const (
	// minRetryAfter is the shortest time after which a refused caller may retry.
	minRetryAfter = 150 * time.Millisecond
	// defaultRetrySpread replaces the objective of a request without a route.
	defaultRetrySpread = 500 * time.Millisecond
)

// retryAfter returns how long a refused caller is asked to wait: a minimum plus a random
// time of up to the route's objective. The objective stands for how long requests of the
// route take; the time is random so that callers do not retry all at once.
func (q *request) retryAfter() time.Duration {
	spread := defaultRetrySpread
	if q.route != nil && q.route.Objective > 0 {
		spread = q.route.Objective
	}
	return minRetryAfter + rand.N(spread)
}

// verdict returns whether any target may have run the request.
func (q *request) verdict() verdict.Verdict {
	if q.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
