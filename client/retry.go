package client

import (
	"net/http"
	"strconv"
	"time"

	"quetzalknot/verdict"
)

// decision is the verdict of an attempt and whether to retry.
type decision struct {
	verdict verdict.Verdict
	// retry is true when another attempt may follow after delay.
	retry bool
	delay time.Duration
}

// decide returns whether and when to retry after an attempt.
func (c *call) decide(resp *http.Response, err error) decision {
	v, delay, retryable := outcome(resp, err)
	if v == verdict.MayHaveRun {
		c.mayHaveRun = true
	}
	safe := v == verdict.NotRun || idempotent(c.req.Method) || c.key != ""
	replayable := !c.hasBody() || c.req.GetBody != nil
	retry := retryable && safe && replayable && c.attemptCount < c.client.options.Attempts
	return decision{verdict: v, retry: retry, delay: withJitter(delay)}
}

// outcome returns the verdict of an attempt, the delay before a retry, and whether
// a retry may succeed.
func outcome(resp *http.Response, err error) (v verdict.Verdict, delay time.Duration, retryable bool) {
	if err != nil {
		return verdict.Of(err), 0, true
	}
	v = verdict.Parse(resp.Header.Get(verdict.Header))
	switch v {
	case verdict.Ran:
		return v, 0, false
	case verdict.NotRun:
		delay, retryable = retryAfter(resp)
		return v, delay, retryable
	default:
		return v, 0, resp.StatusCode >= http.StatusInternalServerError
	}
}

// retryAfter returns the delay in the Retry-After header of a response to a request that was
// not run. It returns false without a valid header, which means that a retry would fail too.
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
