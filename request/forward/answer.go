package forward

import (
	"bytes"
	"context"
	"io"
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
	evCrossed = eventlog.Define(4004, zerolog.ErrorLevel, "answer belongs to another request")
	evFailed  = eventlog.Define(4005, zerolog.WarnLevel, "attempt failed")
)

// answer is a target's answer whose body is still to be read. Its exchange holds
// the slot until the body is closed.
type answer struct {
	resp *http.Response
}

// exchange sends one request to the chosen target. The slot is given back when
// the target is known to have ended the request, which may be after the return.
func (h *Handler) exchange(ctx context.Context, r *http.Request, info *request.Info, choice route.Choice) (*answer, error) {
	state := h.opts.Quarantine.State(info.Fingerprint)
	if state == quarantine.Clear {
		return h.send(ctx, r, info, choice, state)
	}
	if state == quarantine.Quarantined {
		choice.Release()
		return nil, verdict.Wrap(verdict.MayHaveRun, "send", errQuarantined)
	}
	leave, err := h.suspects.enter(ctx, info.Service.Name)
	if err != nil {
		choice.Release()
		return nil, verdict.Wrap(verdict.NotRun, "wait alone", err)
	}
	defer leave()
	if h.quarantined(info) {
		choice.Release()
		return nil, verdict.Wrap(verdict.MayHaveRun, "send", errQuarantined)
	}
	return h.send(ctx, r, info, choice, state)
}

func (h *Handler) send(ctx context.Context, r *http.Request, info *request.Info, choice route.Choice, began quarantine.State) (*answer, error) {
	attempt, cancel := context.WithDeadline(ctx, choice.Until)
	rep := &report{done: choice.Done, cancel: cancel}
	start := time.Now()
	resp, err := h.pool.Exchange(attempt, h.call(r, info, choice, rep))
	outcome := health.Outcome{RunTime: time.Since(start)}
	if err == nil && info.Service.Shed.Matches(resp.StatusCode, resp.Header) {
		discard(resp)
		outcome.Shed = true
		rep.known(outcome)
		return nil, verdict.Wrap(verdict.NotRun, "shed", errShed)
	}
	if err == nil {
		err = holdSmall(resp)
	}
	outcome.Verdict = verdict.Of(err)
	if err != nil {
		outcome.Failed = true
		outcome.Cancelled = errors.Is(ctx.Err(), context.Canceled)
		rep.known(outcome)
		h.noteFailure(ctx, info, choice, began, err)
		return nil, err
	}
	h.opts.Quarantine.Succeeded(info.Fingerprint)
	rep.known(outcome)
	return &answer{resp: resp}, nil
}

// call returns the exchange with the chosen target.
func (h *Handler) call(r *http.Request, info *request.Info, choice route.Choice, rep *report) *target.Call {
	call := &target.Call{
		Addr:     choice.Target.Addr,
		Request:  outbound(r, info, choice.Until),
		Fresh:    !info.Idempotent,
		Deadline: choice.Until,
		Ended:    rep.ended,
	}
	if info.Service.EchoRequestID {
		call.EchoHeader = request.HeaderRequestID
	}
	if body, ok := r.Body.(*caller.Body); ok {
		setBody(call, body)
	}
	return call
}

// report tells the outcome of an attempt, and gives its slot back, once the outcome
// is known and the target has ended the request.
type report struct {
	done func(health.Outcome)
	// cancel frees the attempt's deadline.
	cancel context.CancelFunc

	mu      sync.Mutex
	outcome health.Outcome
	parts   int
}

func (p *report) known(o health.Outcome) {
	p.mu.Lock()
	p.outcome = o
	p.mu.Unlock()
	p.part()
}

func (p *report) ended() { p.part() }

func (p *report) part() {
	p.mu.Lock()
	p.parts++
	both, outcome := p.parts == 2, p.outcome
	p.mu.Unlock()
	if both {
		p.cancel()
		p.done(outcome)
	}
}

func (h *Handler) noteFailure(ctx context.Context, info *request.Info, choice route.Choice, began quarantine.State, err error) {
	if errors.Is(err, target.ErrCrossed) {
		evCrossed.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Str("target", choice.Target.Name).Err(err).Send()
		h.counts.crossed.Add(1)
	}
	evFailed.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Str("target", choice.Target.Name).
		Stringer("verdict", verdict.Of(err)).Err(err).Send()
	h.noteCrash(ctx, info, choice.Target, began, err)
}

// setBody makes a held body part of the request, and a streamed one stoppable.
func setBody(call *target.Call, body *caller.Body) {
	held, ok := body.Held()
	if !ok {
		call.StopBody = body.Stop
		return
	}
	call.Request.Body = io.NopCloser(bytes.NewReader(held))
	call.Request.ContentLength = int64(len(held))
	call.Request.TransferEncoding = nil
	call.Inline = true
}

// outbound returns the request in the form sent to the target, which is told the
// attempt's deadline. It shares the body and the trailer of r.
func outbound(r *http.Request, info *request.Info, deadline time.Time) *http.Request {
	header := make(http.Header, len(r.Header)+2)
	for name, values := range r.Header {
		header[name] = values
	}
	removeHopHeaders(header)
	header[request.HeaderRequestID] = []string{info.ID}
	left := max(1, time.Until(deadline).Milliseconds())
	header[request.HeaderTimeout] = []string{strconv.FormatInt(left, 10)}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // none, in place of the library's
	}
	return &http.Request{
		Method: r.Method, URL: r.URL, Host: info.Service.Name, Header: header,
		Body: r.Body, ContentLength: r.ContentLength, TransferEncoding: r.TransferEncoding,
		Trailer: r.Trailer, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// copyTo passes the answer to the caller. A broken body aborts the caller's connection.
func (a *answer) copyTo(w http.ResponseWriter) verdict.Verdict {
	a.copyAs(w, verdict.Ran)
	return verdict.Ran
}

// copyAs passes the answer on with a verdict.
func (a *answer) copyAs(w http.ResponseWriter, v verdict.Verdict) {
	defer func() { _ = a.resp.Body.Close() }()
	removeHopHeaders(a.resp.Header)
	header := w.Header()
	for name, values := range a.resp.Header {
		header[name] = values
	}
	header.Set(verdict.Header, v.String())
	for name := range a.resp.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(a.resp.StatusCode)
	if _, err := target.Copy(w, a.resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range a.resp.Trailer {
		header[name] = values
	}
}

// drop ends an answer that nobody wants.
func (a *answer) drop() { _ = a.resp.Body.Close() }
