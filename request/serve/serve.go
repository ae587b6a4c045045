// Package serve carries a caller's request to a target and the answer back, by the
// desired state in force and the beliefs about targets.
//
// serve.go reads the request and decides whether it may run, attempt.go sends it and
// judges the answer, finish.go gives the final answer and its log line.
package serve

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
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
	// holdLimit is the largest request body, in bytes, that is held in memory.
	holdLimit = 1 << 20
	// inlineLimit is the largest body, in bytes, that is written before the answer is read.
	inlineLimit = 8 << 10
	// answerLimit is the largest answer body, in bytes, that is held in memory.
	answerLimit = 512 << 10
	// defaultLeft bounds requests whose caller does not say how long it waits.
	defaultLeft = 30 * time.Second
)

// Options are what a Handler needs.
type Options struct {
	Config  func() *routes.Config
	Chooser *place.Chooser
	Fleet   *fleet.Fleet
	Pool    *target.Pool
	Budget  *budget.Windows
	Crashes *crash.Counts
	Wire    Wire
	// Fresh reports whether the desired state is known to be the newest.
	Fresh func() bool
	// Leaving reports whether this host is about to stop.
	Leaving func() bool
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Handler serves callers' requests. It is an http.Handler.
type Handler struct {
	Options
	inFlight atomic.Int64
	taken    atomic.Int64
	// turn spreads the requests of weighted routes.
	turn atomic.Uint64
}

// New returns a handler.
func New(opts Options) *Handler { return &Handler{Options: opts} }

// Taken returns how many requests came since the start.
func (h *Handler) Taken() int64 { return h.taken.Load() }

// InFlight returns how many requests are under way.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	h.taken.Add(1)
	defer h.inFlight.Add(-1)
	q := &request{h: h, w: w, r: r, started: time.Now()}
	if h.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if !q.read() {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errOutOfTime)
	defer cancel()
	q.run(ctx)
}

var (
	errOutOfTime  = errors.New("out of time")
	errNoBudget   = errors.New("retry budget is used up")
	errCrashes    = errors.New("request crashes targets")
	errNoConfig   = errors.New("no desired state is known yet")
	errNoRoute    = errors.New("no route")
	errCallerGone = errors.New("caller is gone")
)

// request is one request on its way.
type request struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	started time.Time

	call        Call
	config      *routes.Config
	route       *routes.Route
	service     string
	object      uint64
	body        []byte
	streamed    bool
	fingerprint uint64
	deadline    time.Time
	tried       []string
	attempts    []attemptLog
	// considered is the best target of a choice that was refused.
	considered *place.Choice
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
}

// read finds the route and reads headers and body. It returns false when the request
// has its final answer.
func (q *request) read() bool {
	var err error
	if q.config = q.h.Config(); q.config == nil {
		return q.refuse(http.StatusServiceUnavailable, errNoConfig)
	}
	if q.call, err = q.h.Wire.Read(q.r); err != nil {
		return q.refuse(http.StatusBadRequest, err)
	}
	if q.route = q.config.Match(q.r.Host, q.r.URL.EscapedPath()); q.route == nil {
		if !q.h.Fresh() {
			return q.refuse(http.StatusServiceUnavailable, errNoRoute)
		}
		return q.refuse(http.StatusNotFound, errNoRoute)
	}
	left := q.call.Left
	if left <= 0 {
		left = defaultLeft
	}
	if q.route.Timeout > 0 {
		left = min(left, q.route.Timeout)
	}
	q.deadline = q.started.Add(left)
	if !q.readBody() {
		return false
	}
	q.service = q.route.Pick(q.point())
	q.object = place.Object(q.service, q.route.Name, q.call.Object)
	q.fingerprint = q.print()
	return true
}

// goldenRatio makes the points of successive requests spread evenly over [0, 1).
const goldenRatio = 0.6180339887498949

func (q *request) point() float64 {
	if len(q.route.Shares) == 1 {
		return 0
	}
	x := float64(q.h.turn.Add(1)) * goldenRatio
	return x - float64(int64(x))
}

// readBody holds the request's body in memory, unless it is large.
func (q *request) readBody() bool {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return true
	}
	if limit := q.config.Limits.BodyBytes; limit > 0 && q.r.ContentLength > limit {
		return q.refuse(http.StatusRequestEntityTooLarge, errors.Newf("request body has %d bytes; at most %d are allowed", q.r.ContentLength, limit))
	}
	if q.r.ContentLength > holdLimit {
		q.streamed = true
		return true
	}
	body, err := io.ReadAll(io.LimitReader(q.r.Body, holdLimit+1))
	if err != nil {
		return q.refuse(http.StatusBadRequest, errors.Wrap(err, "request body"))
	}
	q.body = body
	if len(body) > holdLimit {
		q.streamed = true
	}
	return true
}

// print returns the fingerprint of requests that may be the same one again.
func (q *request) print() uint64 {
	d := xxhash.New()
	for _, part := range []string{q.r.Method, q.r.Host, q.r.RequestURI, q.call.Object} {
		_, _ = d.WriteString(part) // a hash never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.body)
	return d.Sum64()
}

// run sends the request until it has its final answer.
func (q *request) run(ctx context.Context) {
	h := q.h
	h.Budget.Earn(q.service, q.started)
	if h.Crashes.Stopped(q.fingerprint, q.started) {
		q.refuse(http.StatusServiceUnavailable, errCrashes)
		return
	}
	var last result
	for {
		next, err := q.next(ctx)
		if err != nil {
			q.giveUp(ctx, last, err)
			return
		}
		last = q.attempt(ctx, next)
		if last.final(q.route.Idempotent) || !q.again(ctx) {
			q.finish(ctx, last)
			return
		}
	}
}

// next chooses the target of the next attempt.
func (q *request) next(ctx context.Context) (place.Choice, error) {
	now := time.Now()
	if ctx.Err() != nil {
		return place.Choice{}, context.Cause(ctx)
	}
	choice, err := q.h.Chooser.Choose(place.Ask{
		Route: q.route, Service: q.service, Object: q.object, Bytes: max(int64(len(q.body)), q.r.ContentLength), Tried: q.tried,
		Left: q.deadline.Sub(now),
	}, now)
	if err != nil {
		q.considered = &choice
		return choice, err
	}
	if len(q.tried) > 0 && !q.h.Budget.Take(q.service, now) {
		q.h.Metrics.Counter("serve.retries_refused").Add(1)
		q.h.Chooser.Done(choice, q.route, fleet.Outcome{Cancelled: true}, 0, now)
		return choice, errNoBudget
	}
	return choice, nil
}

// again reports whether one more attempt is allowed after one that was not final.
func (q *request) again(ctx context.Context) bool {
	return ctx.Err() == nil && len(q.tried) < q.route.Attempts && !q.streamed &&
		!q.h.Crashes.Stopped(q.fingerprint, time.Now())
}

// giveUp gives the final answer of a request for which no further attempt is made.
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
	// retryLeast is the shortest time after which a refused caller may come back.
	retryLeast = 150 * time.Millisecond
	// retryUsual stands for the objective of a request without a route.
	retryUsual = 500 * time.Millisecond
)

// retryPause is how long a refused caller is asked to wait, in proportion to what its
// request takes, spread so that callers do not come back together.
func (q *request) retryPause() time.Duration {
	usual := retryUsual
	if q.route != nil && q.route.Objective > 0 {
		usual = q.route.Objective
	}
	return retryLeast + rand.N(usual)
}

// verdict returns what is known of the whole request.
func (q *request) verdict() verdict.Verdict {
	if q.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
