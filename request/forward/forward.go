// Package forward sends a caller's request to a target and returns the target's
// response.
//
// forward.go parses the request, attempts.go runs the attempts, hedged.go runs hedged
// attempts, response.go sends one request and writes its response, buffer.go buffers
// small responses, status.go writes failures, keyed.go runs requests with an
// idempotency key at most once, owner.go passes them to the host that owns the key,
// record.go records their responses, crash.go detects requests that were in flight on a
// target that crashed.
package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/connection/caller"
	"quetzalknot/connection/target"
	"quetzalknot/process/drain"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/process/quarantine"
	"quetzalknot/process/settings"
	"quetzalknot/request"
	"quetzalknot/request/admit"
	"quetzalknot/request/claim"
	"quetzalknot/request/trace"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

var (
	evFinished = eventlog.Define(4001, zerolog.InfoLevel, "request finished")
	evRefused  = eventlog.Define(4002, zerolog.WarnLevel, "request refused")
	evBroken   = eventlog.Define(4003, zerolog.WarnLevel, "response aborted before it was complete")
)

const (
	// defaultRetryAfter is the Retry-After, in seconds, of a refused request whose
	// error carries none.
	defaultRetryAfter = "1"
	// bodyBufferLimit is the largest request body, in bytes, that is buffered in memory
	// so that it can be sent again.
	bodyBufferLimit = 64 << 10
)

// Options configure a Handler. The zero value forwards with the default limits and
// without idempotency keys.
type Options struct {
	// Limits bound the requests and connections of callers. Default
	// settings.DefaultLimits.
	Limits settings.Limits
	// Host is the name of this host.
	Host string
	// Owners returns the addresses of the owners of idempotency keys.
	Owners Owners
	// Claims runs requests with an idempotency key at most once. May be nil.
	Claims *claim.Claims
	// Quarantine lists the requests that crash targets. Default: a new empty list.
	Quarantine *quarantine.List
	// OwnsSuspects reports whether this host runs suspect requests on the target at a position
	// in its service, so that the suspects of two hosts do not share a target. Default:
	// true for every target.
	OwnsSuspects func(position int) bool
	// PushMarks pushes new quarantine marks to other hosts without delay. May be nil.
	PushMarks func(ctx context.Context)
	// Recorder records each finished request. May be nil.
	Recorder *trace.Recorder
	// Leaving reports whether this host is about to stop. Default: false.
	Leaving func() bool
	// UpToDate reports whether the configuration is known to be the newest. Default: true.
	UpToDate func() bool
}

func (o *Options) applyDefaults() {
	if o.Limits == (settings.Limits{}) {
		o.Limits = settings.DefaultLimits()
	}
	if o.Quarantine == nil {
		o.Quarantine = quarantine.New(nil)
	}
	if o.OwnsSuspects == nil {
		o.OwnsSuspects = func(int) bool { return true }
	}
	if o.Leaving == nil {
		o.Leaving = func() bool { return false }
	}
	if o.UpToDate == nil {
		o.UpToDate = func() bool { return true }
	}
}

// Handler forwards callers' requests. It is an http.Handler.
type Handler struct {
	config  *state.Holder
	admit   *admit.Admitter
	pool    *target.Pool
	log     zerolog.Logger
	opts    Options
	metrics forwardMetrics
	extra   extraAttempts

	inFlight atomic.Int64
	suspects suspectGate
	// ending comes at the end of a planned stop.
	ending *drain.Ending
}

// New returns a handler that routes requests by the current configuration in holder. It
// registers its metrics with set.
func New(holder *state.Holder, admitter *admit.Admitter, pool *target.Pool, set *metrics.Set, log zerolog.Logger, opts Options) *Handler {
	opts.applyDefaults()
	h := &Handler{config: holder, admit: admitter, pool: pool, log: log, opts: opts, metrics: newForwardMetrics(set), extra: newExtraAttempts(admitter.RunTimes(), set, log), ending: drain.NewEnding()}
	set.Gauge("forward.in_flight_requests", h.InFlight)
	return h
}

// InFlight returns the number of callers' requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// EndRequests gives each request in flight, and each that comes later, its final response at once: that no target ran it, or
// that one may have. It is called at the end of a planned stop.
func (h *Handler) EndRequests() { h.ending.End() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(underlying http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	started := time.Now()
	control := http.NewResponseController(underlying)
	limits := caller.Limits{StallTimeout: h.opts.Limits.StallTimeout(), BytesPerSecond: h.opts.Limits.BytesPerSecond}
	w := caller.NewWriter(underlying, control, limits)
	defer w.Finish()
	if h.opts.Leaving() {
		w.Header().Set("Connection", "close")
	}
	info, snap, refusal := h.parseRequest(r, started)
	if refusal != nil {
		h.refuse(w, info, refusal)
		return
	}
	w.Header().Set(request.HeaderRequestID, info.ID)
	limits.BodyBytes = info.BodyLimit(h.opts.Limits.BodyBytes)
	body, refusal := limitBody(r, control, limits)
	if refusal != nil {
		h.refuse(w, info, refusal)
		return
	}
	if body != nil {
		release := h.ending.AfterFunc(body.Stop)
		defer release()
	}
	if refusal := h.bufferBody(r, body); refusal != nil {
		h.refuse(w, info, refusal)
		return
	}
	info.Fingerprint = fingerprint(r, info, body)
	h.run(w, r, info, snap, started)
}

// run serves a parsed request. It records the outcome even when the caller's connection
// is aborted by a panic.
func (h *Handler) run(w *caller.Writer, r *http.Request, info *request.Info, snap *state.Snapshot, started time.Time) {
	v := verdict.MayHaveRun
	broken := true
	defer func() {
		if broken {
			evBroken.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Int64("bytes", w.Bytes()).Send()
			h.metrics.broken.Add(1)
		}
		h.recordFinished(w, r, info, v, started)
	}()
	v = h.serve(w, r, info, snap)
	broken = false
}

func (h *Handler) serve(w *caller.Writer, r *http.Request, info *request.Info, snap *state.Snapshot) verdict.Verdict {
	if h.opts.Claims != nil && info.AtMostOnce() {
		return h.serveKeyed(w, r, info, snap)
	}
	ctx, release := h.ending.Context(r.Context())
	defer release()
	ctx, cancel := context.WithDeadline(ctx, info.Deadline)
	defer cancel()
	return h.attempt(ctx, w, r, info, snap)
}

// attempt forwards a request unless it is quarantined.
func (h *Handler) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, info *request.Info, snap *state.Snapshot) verdict.Verdict {
	if h.isQuarantined(info) {
		h.refuse(w, info, &refusal{http.StatusUnprocessableEntity, errQuarantined})
		return verdict.NotRun
	}
	return h.forward(ctx, w, r, info, snap)
}

// refusal is the HTTP status and error for a request that no target ran.
type refusal struct {
	status int
	err    error
}

// parseRequest finds the service of a request and parses its headers. It refuses
// headers over the limit.
func (h *Handler) parseRequest(r *http.Request, now time.Time) (*request.Info, *state.Snapshot, *refusal) {
	if n := headerBytes(r); n > h.opts.Limits.HeaderBytes {
		err := errors.Newf("request header has %d bytes; at most %d are allowed", n, h.opts.Limits.HeaderBytes)
		return nil, nil, &refusal{http.StatusRequestHeaderFieldsTooLarge, err}
	}
	snap, svc, refused := h.findService(request.ServiceName(r))
	if refused != nil {
		return nil, nil, refused
	}
	info, err := request.Parse(r, svc, now)
	if err != nil {
		return nil, nil, &refusal{http.StatusBadRequest, err}
	}
	return info, snap, nil
}

// findService returns the service with a name and the configuration that has it. A service
// that this host does not know may have been added while the configuration is not up to
// date; the refusal is status 404 only if it is.
func (h *Handler) findService(name string) (*state.Snapshot, *config.Service, *refusal) {
	if snap := h.config.Load(); snap.Services[name] != nil {
		return snap, snap.Services[name], nil
	}
	if !h.opts.UpToDate() {
		err := errors.Newf("service %q is unknown, and the configuration is not up to date", name)
		return nil, nil, &refusal{http.StatusServiceUnavailable, err}
	}
	snap := h.config.Load() // again: a configuration from before UpToDate may be an older one
	if snap.Services[name] == nil {
		return nil, nil, &refusal{http.StatusNotFound, errors.Newf("service %q is unknown", name)}
	}
	return snap, snap.Services[name], nil
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// limitBody applies limits to the request body. It returns nil for a request without one.
func limitBody(r *http.Request, control *http.ResponseController, limits caller.Limits) (*caller.Body, *refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limits.BodyBytes {
		err := errors.Newf("request body has %d bytes; at most %d are allowed", r.ContentLength, limits.BodyBytes)
		return nil, &refusal{http.StatusRequestEntityTooLarge, err}
	}
	_ = control.EnableFullDuplex() // the response may begin while the request body is still being read
	body := caller.NewBody(r.Body, control, limits)
	r.Body = body
	return body, nil
}

// bufferBody buffers a short body in memory.
func (h *Handler) bufferBody(r *http.Request, body *caller.Body) *refusal {
	if body == nil || r.ContentLength < 0 || r.ContentLength > bodyBufferLimit {
		return nil
	}
	err := body.Buffer(r.ContentLength)
	switch {
	case err == nil:
		return nil
	case h.ending.Ended():
		return &refusal{http.StatusServiceUnavailable, drain.ErrStopping}
	default:
		return &refusal{statusOf(err, http.StatusBadRequest), err}
	}
}

// refuse logs and counts a request that no target ran, and responds to it.
func (h *Handler) refuse(w http.ResponseWriter, info *request.Info, ref *refusal) {
	ev := evRefused.Log(h.log).Int("status", ref.status).Err(ref.err)
	if info != nil {
		ev = ev.Str("request", info.ID)
	}
	ev.Send()
	h.metrics.refused.Add(1)
	refuse(w, ref.status, ref.err)
}

// recordFinished logs, counts and records a finished request.
func (h *Handler) recordFinished(w *caller.Writer, r *http.Request, info *request.Info, v verdict.Verdict, started time.Time) {
	took := time.Since(started)
	evFinished.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Stringer("verdict", v).
		Int("status", w.Status()).Int64("bytes", w.Bytes()).Int64("took_us", took.Microseconds()).Send()
	h.metrics.of(v).Add(1)
	if h.opts.Recorder == nil || r.Header.Get(headerPassedBy) != "" {
		return // the host that passed the request to this owner records it
	}
	h.opts.Recorder.Add(trace.Entry{
		At: started, Service: info.Service.Name, Method: r.Method, Path: r.URL.RequestURI(), Key: info.Key,
		BodyBytes: max(r.ContentLength, 0), Timeout: info.Deadline.Sub(started), Client: info.Client,
		Duration: took, ResponseBytes: w.Bytes(), Status: w.Status(), Verdict: v,
	})
}
