package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/connection/target"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/fleet"
	"quetzalknot/request/place"
	"quetzalknot/verdict"

	"github.com/rs/zerolog"
)

var evCrash = eventlog.Define(4601, zerolog.WarnLevel, "target crashed while it ran a request")

var (
	errShed     = errors.New("target did not run the request")
	errMoved    = errors.New("another target has the address")
	errForeign  = errors.New("answer belongs to another request")
	errUnsigned = errors.New("answer is not the target's")
)

// result is what an attempt came to.
type result struct {
	verdict verdict.Verdict
	err     error
	resp    *http.Response
	body    []byte
	// rest is what is left of an answer too large to hold; nil otherwise.
	rest io.ReadCloser
}

// final reports whether a result ends the request, whatever could still be tried.
func (res result) final(idempotent bool) bool {
	switch {
	case res.verdict == verdict.NotRun:
		return false
	case !idempotent:
		return true
	case res.err != nil:
		return false
	default:
		return res.resp.StatusCode < http.StatusInternalServerError
	}
}

// attemptLog is one attempt for the log line of the request.
type attemptLog struct {
	target     string
	expected   time.Duration
	wait       time.Duration
	warm       bool
	considered int
	took       time.Duration
	outcome    string
}

// attempt sends the request to a chosen target.
func (q *request) attempt(ctx context.Context, choice place.Choice) result {
	q.tried = append(q.tried, choice.ID)
	start := time.Now()
	res, outcome := q.send(ctx, choice)
	now := time.Now()
	outcome.Run = now.Sub(start)
	outcome.Cancelled = outcome.Cancelled || (res.err != nil && ctx.Err() != nil)
	q.h.Chooser.Done(choice, q.route, outcome, len(res.body), now)
	q.mayHaveRun = q.mayHaveRun || res.verdict != verdict.NotRun
	entry := attemptLog{
		target: choice.ID, expected: choice.Expected, wait: choice.Wait, warm: choice.Warm, considered: choice.Considered,
		took: outcome.Run, outcome: res.verdict.String(),
	}
	if res.err != nil {
		entry.outcome += ": " + res.err.Error()
	}
	q.attempts = append(q.attempts, entry)
	return res
}

func (q *request) send(ctx context.Context, choice place.Choice) (result, fleet.Outcome) {
	resp, err := q.h.Pool.Exchange(ctx, q.exchange(choice))
	if err != nil {
		return q.failed(ctx, choice, err)
	}
	reply := q.h.Wire.Incoming(resp, q.call.ID)
	outcome := fleet.Outcome{Load: reply.Load}
	switch {
	case !reply.Own && !reply.NotRun && !reply.Elsewhere:
		_ = resp.Body.Close()
		outcome.Failed = true
		return result{verdict: verdict.MayHaveRun, err: errForeign}, outcome
	case reply.Elsewhere:
		_ = resp.Body.Close()
		outcome.Failed, outcome.Unreachable = true, true
		return result{verdict: verdict.NotRun, err: errMoved}, outcome
	case reply.NotRun:
		_, _ = io.CopyN(io.Discard, resp.Body, answerLimit) // keeps the connection usable
		_ = resp.Body.Close()
		outcome.Shed = true
		return result{verdict: verdict.NotRun, err: errShed}, outcome
	}
	return q.take(ctx, choice, resp, reply, outcome)
}

// take reads the body of an answer that a target made to this request.
func (q *request) take(ctx context.Context, choice place.Choice, resp *http.Response, reply Reply, outcome fleet.Outcome) (result, fleet.Outcome) {
	if !reply.Signed {
		_ = resp.Body.Close()
		outcome.Failed = true
		return result{verdict: verdict.MayHaveRun, err: errUnsigned}, outcome
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit+1))
	if err != nil {
		_ = resp.Body.Close()
		res, out := q.failed(ctx, choice, err)
		out.Load = outcome.Load
		return res, out
	}
	outcome.Failed = resp.StatusCode >= http.StatusInternalServerError
	q.h.Crashes.Succeeded(q.fingerprint)
	if len(body) > answerLimit {
		return result{verdict: verdict.Ran, resp: resp, body: body, rest: resp.Body}, outcome
	}
	_ = resp.Body.Close()
	return result{verdict: verdict.Ran, resp: resp, body: body}, outcome
}

// failed judges an exchange without a whole answer.
func (q *request) failed(ctx context.Context, choice place.Choice, err error) (result, fleet.Outcome) {
	v := verdict.Of(err)
	outcome := fleet.Outcome{Failed: true}
	switch {
	case ctx.Err() != nil:
		outcome.Cancelled = true
	case v == verdict.NotRun:
		outcome.Unreachable = true
	case target.EndedByTarget(err):
		go q.suspect(choice)
	}
	return result{verdict: v, err: err}, outcome
}

// crashCheckTimeout bounds the check whether a target that broke off still listens.
const crashCheckTimeout = 500 * time.Millisecond

// suspect finds out whether a target that broke off has crashed, and counts it.
func (q *request) suspect(choice place.Choice) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if q.h.Pool.Probe(ctx, choice.Addr) == nil {
		return
	}
	now := time.Now()
	total := q.h.Crashes.Crashed(q.fingerprint, now)
	q.h.Fleet.Fell(choice.Target, now)
	evCrash.Log(q.h.Log).Str("request", q.call.ID).Str("target", choice.ID).Int("crashes", total).Send()
}

// exchange returns the call of the chosen target.
func (q *request) exchange(choice place.Choice) *target.Call {
	header := make(http.Header, len(q.r.Header)+4)
	for name, values := range q.r.Header {
		header[name] = values
	}
	removeHopHeaders(header)
	q.h.Wire.Outgoing(header, choice.ID, time.Until(q.deadline))
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // none, in place of the library's
	}
	out := &http.Request{
		Method: q.r.Method, URL: &url.URL{Opaque: q.r.RequestURI}, Host: q.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	call := &target.Call{Addr: choice.Addr, Request: out, Unframed: true, Abrupt: true, Deadline: q.deadline}
	q.setBody(call)
	return call
}

func (q *request) setBody(call *target.Call) {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return
	}
	out := call.Request
	out.ContentLength = q.r.ContentLength
	if q.streamed {
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(q.body), q.r.Body))
		out.TransferEncoding = q.r.TransferEncoding
		call.StopBody = func() { _ = q.r.Body.Close() }
		return
	}
	out.ContentLength = int64(len(q.body))
	out.Body = io.NopCloser(bytes.NewReader(q.body))
	call.Inline = len(q.body) <= inlineLimit
}
