package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/connection/caller"
	"quetzalknot/connection/target"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/health"
	"quetzalknot/process/quarantine"
	"quetzalknot/request"
	"quetzalknot/request/route"
	"quetzalknot/verdict"
)

var (
	evMismatch = eventlog.Define(4004, zerolog.ErrorLevel, "response belongs to another request")
	evFailed   = eventlog.Define(4005, zerolog.WarnLevel, "attempt failed")
)

// response is a target's response whose body has not been read yet. Its exchange holds
// the slot until the body is closed.
type response struct {
	resp *http.Response
}

// exchange sends one request to the chosen target. Suspects of a service are sent one
// at a time, and quarantined requests are not sent. The slot is released once the
// target has ended the request, which may be after exchange returns.
func (h *Handler) exchange(ctx context.Context, r *http.Request, info *request.Info, choice route.Choice) (*response, error) {
	state := h.opts.Quarantine.State(info.Fingerprint)
	if state == quarantine.Clear {
		return h.send(ctx, r, info, choice, state)
	}
	if state == quarantine.Quarantined {
		choice.Release()
		return nil, verdict.Wrap(verdict.MayHaveRun, "send", errQuarantined)
	}
	release, err := h.suspects.acquire(ctx, info.Service.Name)
	if err != nil {
		choice.Release()
		return nil, verdict.Wrap(verdict.NotRun, "wait alone", err)
	}
	defer release()
	if h.isQuarantined(info) {
		choice.Release()
		return nil, verdict.Wrap(verdict.MayHaveRun, "send", errQuarantined)
	}
	return h.send(ctx, r, info, choice, state)
}

// send runs one exchange with the chosen target and reports its outcome. initial is the
// quarantine state of the request before it was sent.
func (h *Handler) send(ctx context.Context, r *http.Request, info *request.Info, choice route.Choice, initial quarantine.State) (*response, error) {
	attempt, cancel := context.WithDeadline(ctx, choice.Deadline)
	done := &completion{done: choice.Done, cancel: cancel}
	start := time.Now()
	resp, err := h.pool.Exchange(attempt, h.targetCall(r, info, choice, done))
	outcome := health.Outcome{RunTime: time.Since(start)}
	shed := err == nil && info.Service.Shed.Matches(resp.StatusCode, resp.Header)
	switch {
	case err != nil:
	case shed:
		err = discard(resp)
	default:
		err = bufferSmall(resp)
	}
	if shed && err == nil {
		outcome.Shed = true
		done.setOutcome(outcome)
		return nil, verdict.Wrap(verdict.NotRun, "shed", errShed)
	}
	outcome.Verdict = verdict.Of(err)
	if err != nil {
		outcome.Failed = true
		outcome.Cancelled = errors.Is(ctx.Err(), context.Canceled)
		done.setOutcome(outcome)
		h.recordFailure(ctx, info, choice, initial, err)
		return nil, err
	}
	h.opts.Quarantine.RecordSuccess(info.Fingerprint)
	done.setOutcome(outcome)
	return &response{resp: resp}, nil
}

// targetCall returns the parameters of the exchange with the chosen target.
func (h *Handler) targetCall(r *http.Request, info *request.Info, choice route.Choice, done *completion) *target.Call {
	call := &target.Call{
		Addr:             choice.Target.Addr,
		Request:          outboundRequest(r, info, choice.Deadline),
		RecentConnection: !info.Idempotent,
		Deadline:         choice.Deadline,
		Ended:            done.targetEnded,
	}
	if info.Service.EchoRequestID {
		call.EchoHeader = request.HeaderRequestID
	}
	if body, ok := r.Body.(*caller.Body); ok {
		setBody(call, body)
	}
	return call
}

// completion reports the outcome of an attempt and releases its slot once both the
// outcome is known and the target has ended the request. Either may happen first.
type completion struct {
	done func(health.Outcome)
	// cancel frees the timer of the attempt deadline.
	cancel context.CancelFunc

	mu      sync.Mutex
	outcome health.Outcome
	// partsDone counts the calls of setOutcome and targetEnded.
	partsDone int
}

func (c *completion) setOutcome(o health.Outcome) {
	c.mu.Lock()
	c.outcome = o
	c.mu.Unlock()
	c.partDone()
}

func (c *completion) targetEnded() { c.partDone() }

func (c *completion) partDone() {
	c.mu.Lock()
	c.partsDone++
	both, outcome := c.partsDone == 2, c.outcome
	c.mu.Unlock()
	if both {
		c.cancel()
		c.done(outcome)
	}
}

// recordFailure logs and counts a failed attempt, and checks whether the target
// crashed.
func (h *Handler) recordFailure(ctx context.Context, info *request.Info, choice route.Choice, initial quarantine.State, err error) {
	if errors.Is(err, target.ErrResponseMismatch) {
		evMismatch.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Str("target", choice.Target.Name).Err(err).Send()
		h.metrics.mismatched.Add(1)
	}
	evFailed.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Str("target", choice.Target.Name).
		Stringer("verdict", verdict.Of(err)).Err(err).Send()
	h.detectCrash(ctx, info, choice.Target, initial, err)
}

// setBody sends a buffered body from memory. For a streamed body it sets the function
// that stops a blocked read.
func setBody(call *target.Call, body *caller.Body) {
	buffered, ok := body.Buffered()
	if !ok {
		call.StopBody = body.Stop
		return
	}
	target.SetBody(call.Request, buffered)
	call.Inline = true
}

// outboundRequest returns the request to send to the target, with the time left until
// the deadline in its timeout header. It shares the body and the trailer of r.
func outboundRequest(r *http.Request, info *request.Info, deadline time.Time) *http.Request {
	header := make(http.Header, len(r.Header)+2)
	for name, values := range r.Header {
		header[name] = values
	}
	removeHopHeaders(header)
	header[request.HeaderRequestID] = []string{info.ID}
	left := max(1, time.Until(deadline).Milliseconds())
	header[request.HeaderTimeout] = []string{strconv.FormatInt(left, 10)}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // suppresses the default of net/http
	}
	return &http.Request{
		Method: r.Method, URL: r.URL, Host: info.Service.Name, Header: header,
		Body: r.Body, ContentLength: r.ContentLength, TransferEncoding: r.TransferEncoding,
		Trailer: r.Trailer, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// writeTo writes the response to the caller with the verdict ran. An error in the body
// aborts the caller's connection.
func (r *response) writeTo(w http.ResponseWriter) verdict.Verdict {
	r.writeWithVerdict(w, verdict.Ran)
	return verdict.Ran
}

// writeWithVerdict writes the response to the caller with the verdict v.
func (r *response) writeWithVerdict(w http.ResponseWriter, v verdict.Verdict) {
	defer func() { _ = r.resp.Body.Close() }()
	removeHopHeaders(r.resp.Header)
	header := w.Header()
	for name, values := range r.resp.Header {
		header[name] = values
	}
	header.Set(verdict.Header, v.String())
	for name := range r.resp.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(r.resp.StatusCode)
	if _, err := target.Copy(w, r.resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range r.resp.Trailer {
		header[name] = values
	}
}

// close ends the exchange of a response that is not needed.
func (r *response) close() { _ = r.resp.Body.Close() }
