package client

import (
	"net/http"
	"strconv"
	"time"

	"quetzalknot/verdict"
)

// step says what follows an attempt.
type step struct {
	verdict verdict.Verdict
	// again is true when the request may be sent once more, after a wait.
	again bool
	after time.Duration
}

// next decides what follows an attempt.
func (s *sending) next(resp *http.Response, err error) step {
	v, after, helps := outcome(resp, err)
	if v == verdict.MayHaveRun {
		s.ran = true
	}
	repeatable := v == verdict.NotRun || idempotent(s.req.Method) || s.key != ""
	replayable := !s.hasBody() || s.req.GetBody != nil
	again := helps && repeatable && replayable && s.sent < s.client.options.Attempts
	return step{verdict: v, again: again, after: jittered(after)}
}

// outcome returns the verdict of one attempt, how long to wait before another
// one, and whether another one can help.
func outcome(resp *http.Response, err error) (v verdict.Verdict, after time.Duration, helps bool) {
	if err != nil {
		return verdict.Of(err), 0, true
	}
	v = verdict.Parse(resp.Header.Get(verdict.Header))
	switch v {
	case verdict.Ran:
		return v, 0, false
	case verdict.NotRun:
		after, helps = retryAfter(resp)
		return v, after, helps
	default:
		return v, 0, resp.StatusCode >= http.StatusInternalServerError
	}
}

// retryAfter returns the wait that a refusal asks for. Without one a retry is no help.
func retryAfter(resp *http.Response) (time.Duration, bool) {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0, false
	}
	return time.Duration(seconds) * time.Second, true
}

func idempotent(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}
