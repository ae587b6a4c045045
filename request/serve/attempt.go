package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/connection/target"
	"quetzalknot/httpwire"
	"quetzalknot/process/crash"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/fleet"
	"quetzalknot/process/memory"
	"quetzalknot/request/place"
	"quetzalknot/verdict"

	"github.com/rs/zerolog"
)

var evCrash = eventlog.Define(4601, zerolog.WarnLevel, "target crashed while running a request")

const (
	// maxInlineBody is the largest body, in bytes, that is written before the response is read.
	maxInlineBody = 8 << 10
	// maxBufferedResponse is the largest response body, in bytes, that is held in memory.
	maxBufferedResponse = 512 << 10
)

var (
	errShed     = errors.New("target shed the request")
	errMoved    = errors.New("address belongs to another target")
	errMismatch = errors.New("response belongs to another request")
	errNoStamp  = errors.New("response lacks the target's stamp")
)

// result is the result of one attempt.
type result struct {
	verdict verdict.Verdict
	err     error
	resp    *http.Response
	body    []byte
	// remaining is the unread part of a response that is too large to hold in memory, else nil.
	remaining io.ReadCloser
}

// final reports whether the result ends the request, so that no retry is made.
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

// attemptLog holds the log fields of one attempt.
type attemptLog struct {
	target     string
	expected   time.Duration
	wait       time.Duration
	cached     bool
	considered int
	took       time.Duration
	outcome    string
}

// attempt sends the request to the selected target and records the outcome.
func (q *request) attempt(ctx context.Context, choice place.Choice) result {
	q.tried = append(q.tried, choice.ID)
	start := time.Now()
	res, outcome := q.send(ctx, choice)
	now := time.Now()
	outcome.Latency = now.Sub(start)
	outcome.Cancelled = outcome.Cancelled || (res.err != nil && ctx.Err() != nil)
	q.h.Chooser.Done(choice, q.route, outcome, len(res.body), now)
	q.mayHaveRun = q.mayHaveRun || res.verdict != verdict.NotRun
	entry := attemptLog{
		target: choice.ID, expected: choice.Expected, wait: choice.Wait, cached: choice.Cached, considered: choice.Considered,
		took: outcome.Latency, outcome: res.verdict.String(),
	}
	if res.err != nil {
		entry.outcome += ": " + res.err.Error()
	}
	q.attempts = append(q.attempts, entry)
	return res
}

// send makes the exchange with a target and classifies its response by the headers.
func (q *request) send(ctx context.Context, choice place.Choice) (result, fleet.Outcome) {
	call := q.newCall(choice)
	resp, err := q.h.Pool.Exchange(ctx, call)
	if err != nil {
		return q.classifyFailure(ctx, choice, err)
	}
	headers := q.h.Headers.ReadResponse(resp, q.callerHeaders.ID)
	outcome := fleet.Outcome{Load: headers.Load}
	// A response that names no request may be a late one to another, if there was one.
	own := headers.MatchesRequest || !call.Reused
	moved := own && headers.WrongTarget && headers.Target != choice.ID // the expected target's own 421 is a response
	notRun := own && headers.NotRun
	if own && !headers.WrongTarget {
		outcome.Notice = headers.Notice
	}
	if !headers.MatchesRequest {
		resp.Close = true // the response to this request may follow
	}
	switch {
	case !headers.MatchesRequest && !notRun && !moved:
		_ = resp.Body.Close()
		outcome.Failed = true
		return result{verdict: verdict.MayHaveRun, err: errMismatch}, outcome
	case moved:
		outcome.Failed, outcome.Unreachable = true, true
		return q.readRefusal(ctx, choice, resp, errMoved, outcome)
	case notRun:
		outcome.Shed = true
		return q.readRefusal(ctx, choice, resp, errShed, outcome)
	}
	return q.readResponse(ctx, choice, resp, headers, outcome)
}

// readRefusal reads the body of a response which says that the request was not run, so that the connection can be reused.
// A response that turns out to be invalid says nothing.
func (q *request) readRefusal(ctx context.Context, choice place.Choice, resp *http.Response, reason error, outcome fleet.Outcome) (result, fleet.Outcome) {
	_, err := io.CopyN(io.Discard, resp.Body, maxBufferedResponse)
	_ = resp.Body.Close()
	if errors.Is(err, httpwire.ErrInvalid) {
		return q.classifyFailure(ctx, choice, err)
	}
	return result{verdict: verdict.NotRun, err: reason}, outcome
}

// readResponse reads the body of a response that a target made to this request.
func (q *request) readResponse(ctx context.Context, choice place.Choice, resp *http.Response, headers TargetHeaders, outcome fleet.Outcome) (result, fleet.Outcome) {
	if !headers.Stamped {
		_ = resp.Body.Close()
		outcome.Failed = true
		return result{verdict: verdict.MayHaveRun, err: errNoStamp}, outcome
	}
	body, complete, err := q.readResponseBody(resp)
	if err != nil {
		_ = resp.Body.Close()
		res, out := q.classifyFailure(ctx, choice, err)
		if !errors.Is(err, httpwire.ErrInvalid) {
			out.Load, out.Notice = outcome.Load, outcome.Notice
		}
		return res, out
	}
	outcome.Failed = resp.StatusCode >= http.StatusInternalServerError
	if !complete {
		remaining := &watchedBody{ReadCloser: resp.Body, q: q, choice: choice, readAt: time.Now()}
		return result{verdict: verdict.Ran, resp: resp, body: body, remaining: remaining}, outcome
	}
	q.h.Crashes.RecordSuccess(q.fingerprint, time.Now())
	_ = resp.Body.Close()
	return result{verdict: verdict.Ran, resp: resp, body: body}, outcome
}

// watchedBody is the rest of a response that is streamed to the caller. Its end shows that the request does not crash its
// target, and a broken connection may show that it does.
type watchedBody struct {
	io.ReadCloser
	q      *request
	choice place.Choice
	done   bool
	// slow is true once the caller has left the response unread for slowRead, and readAt is when it was read last.
	slow   bool
	readAt time.Time
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.noteRead()
	n, err := b.ReadCloser.Read(p)
	b.readAt = time.Now()
	if err != nil && !b.done {
		b.done = true
		if err == io.EOF {
			b.q.h.Crashes.RecordSuccess(b.q.fingerprint, time.Now())
		} else if target.ClosedByTarget(err) && !b.slow {
			go b.q.checkCrash(b.choice)
		}
	}
	return n, err
}

// classifyFailure returns the result and the outcome of an exchange that failed before the
// response was complete.
func (q *request) classifyFailure(ctx context.Context, choice place.Choice, err error) (result, fleet.Outcome) {
	v := verdict.Of(err)
	outcome := fleet.Outcome{Failed: true}
	if v != verdict.NotRun && (target.ClosedByTarget(err) || target.ClosedBeforeCancel(err)) {
		go q.checkCrash(choice) // also if the caller has left or the time is up meanwhile
	}
	switch {
	case ctx.Err() != nil, errors.Is(err, memory.ErrShort):
		outcome.Cancelled = true // it says nothing of the target
	case v == verdict.NotRun:
		outcome.Unreachable = true
	}
	return result{verdict: v, err: err}, outcome
}

// crashCheckTimeout limits the check whether a target that broke the connection still
// listens.
const crashCheckTimeout = 500 * time.Millisecond

// checkCrash records a crash if a target that broke the connection has crashed.
func (q *request) checkCrash(choice place.Choice) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	err := q.h.Pool.Probe(ctx, choice.Addr)
	if err == nil {
		return
	}
	now := time.Now()
	crashed := hasCrashed(err, q.h.Fleet.IsLeaving(choice.Target))
	q.h.Fleet.MarkDown(choice.Target, now)
	if !crashed {
		return
	}
	incarnation := choice.Incarnation()
	total := q.h.Crashes.RecordCrash(q.fingerprint, crash.Crash{Target: incarnation, Request: q.callerHeaders.ID, Caller: q.callerHash()}, now)
	evCrash.Log(q.h.Log).Str("request", q.callerHeaders.ID).Str("target", incarnation).Uint64("fingerprint", q.fingerprint).
		Str("caller", callerNetwork(q.r.RemoteAddr)).Str("path", pathOf(q.r)).Int("crashes", total).Send()
}

// hasCrashed reports whether a target has crashed that broke a connection and then did not accept one, which failed
// with an error. A target that is leaving was going to end, and where nothing refuses the connection its host is lost.
func hasCrashed(dialed error, leaving bool) bool {
	return !leaving && errors.Is(dialed, syscall.ECONNREFUSED)
}

// newCall returns the call that sends the request to the selected target.
func (q *request) newCall(choice place.Choice) *target.Call {
	header := make(http.Header, len(q.r.Header)+4)
	for name, values := range q.r.Header {
		header[name] = values
	}
	removeHopHeaders(header)
	q.h.Headers.SetRequestHeaders(header, choice.ID, time.Until(q.deadline))
	q.setWorkspace(header)
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // suppresses the default of net/http
	}
	out := &http.Request{
		Method: q.r.Method, URL: targetURL(pathAndQuery(q.r)), Host: q.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	call := &target.Call{Addr: choice.Addr, Request: out, AllowUnframed: true, CloseOnCancel: true, Deadline: q.deadline}
	q.setBody(call)
	return call
}

// setBody sets the body of a call: buffered, or streamed from the caller.
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
	target.SetBody(out, q.body)
	call.Inline = len(q.body) <= maxInlineBody
}
