package serve

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/process/drain"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/memory"
	"quetzalknot/request/place"
	"quetzalknot/request/shed"
	"quetzalknot/verdict"
)

var (
	evServed  = eventlog.Define(4602, zerolog.InfoLevel, "request served")
	evFailed  = eventlog.Define(4603, zerolog.WarnLevel, "request failed")
	evRefused = eventlog.Define(4604, zerolog.WarnLevel, "request not run")
)

// status maps the verdict of a request to the status of this host's own response. It is
// the only function that derives a status from a verdict.
func status(v verdict.Verdict, expired bool) int {
	switch {
	case v == verdict.NotRun:
		return http.StatusServiceUnavailable
	case expired:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// finish sends the final response after the last attempt.
func (q *request) finish(ctx context.Context, last result) {
	switch {
	case q.r.Context().Err() != nil:
		q.discardResponse(last)
		q.abort()
	case last.err == nil && last.resp != nil:
		q.relay(last)
	default:
		q.respond(status(q.verdict(), errors.Is(context.Cause(ctx), errDeadline)), last.err, evFailed)
	}
}

// abort ends a request whose caller has disconnected. It does not return.
func (q *request) abort() {
	q.log(evFailed, 0, errCallerGone)
	panic(http.ErrAbortHandler)
}

// refuse responds to a request that no target ran. It always returns false, which the
// functions that read the request return in turn.
func (q *request) refuse(status int, err error) bool {
	q.respond(status, err, evRefused)
	return false
}

// respond sends a response made by this host.
func (q *request) respond(status int, err error, ev eventlog.Event) {
	q.returnQuota()
	header := q.w.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		q.h.Headers.SetRetryAfter(header, q.retryAfter())
	}
	text := http.StatusText(status) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	q.w.WriteHeader(status)
	_, _ = io.WriteString(q.w, text) // the caller may have disconnected
	q.log(ev, status, err)
}

// relay sends the target's response to the caller.
func (q *request) relay(res result) {
	header := q.w.Header()
	removeHopHeaders(res.resp.Header)
	for name, values := range res.resp.Header {
		header[name] = values
	}
	if res.resp.Header["Content-Type"] == nil {
		header["Content-Type"] = nil // suppresses content sniffing
	}
	if res.remaining != nil {
		q.relayStream(res)
		return
	}
	if q.r.Method != http.MethodHead && bodyAllowed(res.resp.StatusCode) {
		header.Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	q.w.WriteHeader(res.resp.StatusCode)
	_, _ = q.w.Write(res.body) // the caller may have disconnected
	q.log(evServed, res.resp.StatusCode, nil)
}

// relayStream streams a response that is too large to hold in memory. If it breaks, the
// caller's connection is aborted, so that the caller does not take it as complete.
func (q *request) relayStream(res result) {
	// No more than this is used of res later, so that its body does not stay in memory while the rest is streamed.
	remaining, status := res.remaining, res.resp.StatusCode
	defer func() { _ = remaining.Close() }()
	q.w.WriteHeader(status)
	_, err := q.w.Write(res.body)
	if err == nil {
		err = q.copyResponse(remaining)
	}
	if err != nil {
		q.log(evFailed, status, err)
		panic(http.ErrAbortHandler)
	}
	q.log(evServed, status, nil)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// log writes the log line of the final response, with the values that led to it.
func (q *request) log(ev eventlog.Event, status int, err error) {
	line := ev.Log(q.h.Log).Str("request", q.callerHeaders.ID).Int("status", status).
		Int64("took_us", time.Since(q.started).Microseconds()).Stringer("verdict", verdictOf(ev, q))
	if q.config != nil {
		line = line.Uint64("version", q.config.Version)
	}
	if q.config != nil && q.h.StateAge != nil {
		line = line.Int64("state_age_ms", q.h.StateAge().Milliseconds())
	}
	if q.config != nil && q.h.NewestVersion != nil {
		if newest := q.h.NewestVersion(); newest > q.config.Version {
			line = line.Uint64("newest_version", newest)
		}
	}
	if q.route != nil {
		line = line.Str("route", q.route.Name).Str("kind", q.route.Kind).Str("service", q.service).Uint64("object", q.object).
			Int64("left_ms", q.deadline.Sub(q.started).Milliseconds())
	}
	if q.workspace != nil {
		line = line.Str("workspace", q.workspace.Name)
	}
	if len(q.attempts) > 0 {
		line = line.Array("attempts", attemptArray(q.attempts))
	}
	if c := q.refusedChoice; c != nil && c.ID != "" {
		line = line.Str("best", c.ID).Int64("expected_ms", c.Expected.Milliseconds()).Int64("wait_ms", c.Wait.Milliseconds()).Int("considered", c.Considered)
		if ev.Number == evRefused.Number && c.Decision.Reason != shed.ReasonNone {
			line = line.Object("shed", shedLog{c, q})
		}
	}
	if q.admission.retryAfter > 0 {
		line = line.Int64("retry_after_ms", q.admission.retryAfter.Milliseconds())
	}
	if q.crashes != "" {
		line = line.Str("crashes", q.crashes)
	}
	if err != nil {
		line = line.Str("error", err.Error())
	}
	line.Send()
	q.h.count(q, ev, status, err)
}

func verdictOf(ev eventlog.Event, q *request) verdict.Verdict {
	if ev.Number == evServed.Number {
		return verdict.Ran
	}
	return q.verdict()
}

// refusalReason returns a short name of the reason for a refusal, for metrics.
func refusalReason(status int, err error) string {
	if status == http.StatusRequestEntityTooLarge {
		return "body_too_large"
	}
	for _, known := range []struct {
		err  error
		name string
	}{
		{place.ErrOverloaded, "busy"}, {place.ErrNoTarget, "no_target"}, {errCrashLoop, "crashes"}, {errNoConfig, "no_config"},
		{errNoRoute, "no_route"}, {errUnknownKey, "unknown_key"}, {errKeysNotConfirmed, "keys_not_confirmed"}, {drain.ErrStopping, "stopping"}, {errDeadline, "out_of_time"}, {errCallerGone, "caller_gone"}, {errNoBudget, "no_budget"},
		{errRateLimit, "rate_limit"}, {memory.ErrShort, "memory"},
	} {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	return "malformed"
}

// count updates the metrics of final responses.
func (h *Handler) count(q *request, ev eventlog.Event, status int, err error) {
	kind := "none"
	if q.route != nil {
		kind = q.route.Kind
	}
	h.Metrics.Counter("serve." + kind + "." + strconv.Itoa(status)).Add(1)
	h.countKeys(q, ev, err)
	h.Metrics.Histogram("serve." + kind + ".latency").Observe(time.Since(q.started))
	if ev.Number == evRefused.Number {
		h.Metrics.Counter("serve.refused." + refusalReason(status, err)).Add(1)
		if c := q.refusedChoice; c != nil && c.Decision.Reason != shed.ReasonNone {
			h.Metrics.Counter("serve.shed." + c.Decision.Reason.String() + "." + c.Priorities()).Add(1)
		}
	}
	if ev.Number == evServed.Number && len(q.attempts) > 1 {
		h.Metrics.Counter("serve.retried").Add(1)
	}
}

type attemptArray []attemptLog

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (a attemptArray) MarshalZerologArray(array *zerolog.Array) {
	for _, entry := range a {
		array.Object(entry)
	}
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a attemptLog) MarshalZerologObject(e *zerolog.Event) {
	e.Str("target", a.target).Int64("expected_ms", a.expected.Milliseconds()).Int64("wait_ms", a.wait.Milliseconds()).
		Bool("warm", a.cached).Int("considered", a.considered).Int64("took_us", a.took.Microseconds()).Str("outcome", a.outcome)
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func removeHopHeaders(header http.Header) {
	for _, field := range header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
}

// isHopHeader reports whether removeHopHeaders removes a field, by its canonical name.
func isHopHeader(header http.Header, name string) bool {
	for _, field := range header["Connection"] {
		for named := range strings.SplitSeq(field, ",") {
			if strings.EqualFold(strings.TrimSpace(named), name) {
				return true
			}
		}
	}
	return slices.Contains(hopHeaders, name)
}
