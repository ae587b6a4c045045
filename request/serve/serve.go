// Package serve proxies a caller's request to a target and the response back to the
// caller, according to the routes in force and the state of the targets.
//
// serve.go runs the attempts of a request, read.go reads it and finds its route, authorize.go
// finds its workspace, attempt.go sends it to a target and classifies the response, finish.go sends
// the final response and writes the log line, stop.go bounds requests at a planned stop, headers.go declares the values
// carried in headers, path.go keeps the path as it was sent.
package serve

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/connection/target"
	"quetzalknot/process/crash"
	"quetzalknot/process/drain"
	"quetzalknot/process/fleet"
	"quetzalknot/process/metrics"
	"quetzalknot/request/budget"
	"quetzalknot/request/place"
	"quetzalknot/verdict"
	"quetzalknot/version/routes"
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
	// AcceptsKeys reports whether the configuration was confirmed recently enough to accept keys of workspaces. May be
	// nil, which means that it always was.
	AcceptsKeys func() bool
	// StateAge returns the time since the store last confirmed the configuration and the targets'
	// reports, for the log lines of requests. May be nil.
	StateAge func() time.Duration
	// NewestVersion returns the latest version of the configuration that this host has heard of, for the log lines of
	// requests. May be nil.
	NewestVersion func() uint64
	// RateLimiter limits the requests of workspaces. May be nil.
	RateLimiter RateLimiter
	Metrics     *metrics.Set
	Log         zerolog.Logger
}

// Handler serves callers' requests. It is an http.Handler.
type Handler struct {
	Options
	inFlight atomic.Int64
	received atomic.Int64
	// shareCounter distributes the requests of weighted routes over their services.
	shareCounter atomic.Uint64
	// stop is nil until a planned stop begins. ending comes at its end.
	stop   atomic.Pointer[stopWindow]
	ending *drain.Ending
}

// New returns a handler.
func New(opts Options) *Handler { return &Handler{Options: opts, ending: drain.NewEnding()} }

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
	defer q.releaseMemory()
	if !q.takeMemory() || !q.read() {
		return
	}
	ctx, release := h.ending.Context(r.Context())
	defer release()
	ctx, cancel := context.WithDeadlineCause(ctx, q.deadline, errDeadline)
	defer cancel()
	if q.admit(ctx, q.workspace) {
		q.run(ctx)
	}
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
	errNoConfig   = errors.New("the host has no configuration or may not serve yet")
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
	// workspace is that of the caller; nil if it has none.
	workspace *routes.Workspace
	admission admission
	service   string
	object    uint64
	body      []byte
	// requestBody and responseBody are the memory that the request holds.
	requestBody, responseBody bodyBuffer
	streamed                  bool
	fingerprint               uint64
	deadline                  time.Time
	tried                     []string
	attempts                  []attemptLog
	// refusedChoice is the best target found when the choice was refused.
	refusedChoice *place.Choice
	// crashes describes the crashes because of which the request is refused.
	crashes string
	// mayHaveRun is true once a target may have run the request.
	mayHaveRun bool
}

// run makes attempts until the request has its final response.
func (q *request) run(ctx context.Context) {
	h := q.h
	h.Budget.AddRequest(q.service, q.started)
	if !h.Crashes.Admit(q.fingerprint, q.started) {
		q.crashes = h.Crashes.Describe(q.fingerprint, q.started)
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
		q.discardResponse(last)
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
	left, mustFit := q.h.stop.Load().timeLeft(q.deadline, now)
	choice, err := q.h.Chooser.Choose(place.Request{
		Route: q.route, Workspace: q.workspace, Service: q.service, Object: q.object, BodyBytes: max(int64(len(q.body)), q.r.ContentLength), Tried: q.tried,
		TimeLeft: left, MustFit: mustFit,
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
		!q.h.Crashes.Refused(q.fingerprint, time.Now())
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
// route take; the time is random so that callers do not retry all at once. While no target of the
// service wants requests, it is at least the time until one does; while requests are ordered, the time for which the
// wait at the targets stays above the limit.
func (q *request) retryAfter() time.Duration {
	wait := max(minRetryAfter, q.admission.retryAfter, q.shedRetryAfter())
	if q.service != "" {
		wait = max(wait, q.h.Fleet.PauseLeft(q.service, time.Now()))
	}
	return wait + rand.N(q.retrySpread())
}

// retrySpread returns the random part of retryAfter.
func (q *request) retrySpread() time.Duration {
	spread := defaultRetrySpread
	if q.route != nil && q.route.Objective > 0 {
		spread = q.route.Objective
	}
	return spread
}

// verdict returns whether any target may have run the request.
func (q *request) verdict() verdict.Verdict {
	if q.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
