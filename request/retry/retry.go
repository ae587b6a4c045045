// Package retry decides whether and when a failed attempt is retried.
package retry

import (
	"expvar"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/request"
	"quetzalknot/request/budget"
	"quetzalknot/request/latency"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
)

var (
	evRetry   = eventlog.Define(4211, zerolog.InfoLevel, "request is retried")
	evNoRetry = eventlog.Define(4212, zerolog.WarnLevel, "request is not retried")
)

const (
	// maxAttempts is the maximum number of attempts of a request that may have run, and
	// maxNotRunAttempts that of a request that was certainly not run.
	maxAttempts       = 3
	maxNotRunAttempts = 8
	// maxBudgetWait is how long a request that was not run waits for the retry budget.
	maxBudgetWait = 500 * time.Millisecond
	// firstBackoff is the mean wait before the second attempt. Each further wait is
	// backoffFactor times as long, up to maxBackoff. jitter is the maximum deviation
	// from the mean, as a share of it.
	firstBackoff  = 10 * time.Millisecond
	backoffFactor = 4
	maxBackoff    = 200 * time.Millisecond
	jitter        = 0.5
)

// Reason is why a request is not retried.
type Reason string

// The reasons for which a request is not retried.
const (
	ReasonVerdict  Reason = "may have run and is not idempotent"
	ReasonAttempts Reason = "attempts used up"
	ReasonBody     Reason = "body cannot be sent again"
	ReasonDeadline Reason = "deadline cannot be met"
	ReasonBudget   Reason = "retry budget of the service is used up"
)

// Failure describes the failed attempt to decide on.
type Failure struct {
	Verdict verdict.Verdict
	// Attempts is the number of attempts so far.
	Attempts int
	// Replayable is true when the request has no body or its complete body can be sent
	// again.
	Replayable bool
	// Waited is how long the request has waited for the retry budget since the attempt.
	Waited time.Duration
}

// Decision is the result of Retrier.Next.
type Decision uint8

// The decisions.
const (
	// Stop means that the request is not retried.
	Stop Decision = iota
	// Send means that an attempt follows after the wait.
	Send
	// WaitForBudget means that the budget is empty; call Next again after the wait.
	WaitForBudget
)

// Retrier decides on retries within a retry budget for each service. It is safe for
// concurrent use.
type Retrier struct {
	budget        *budget.Budget
	runTimes      *latency.Tracker
	log           zerolog.Logger
	retried       *expvar.Int
	budgetRefused *expvar.Int
}

// New returns a Retrier with full budgets. It registers its metrics with m.
func New(times *latency.Tracker, m *metrics.Set, log zerolog.Logger) *Retrier {
	return &Retrier{
		budget: budget.New(budget.Burst), runTimes: times, log: log,
		retried: m.Counter("retry.retried_attempts"), budgetRefused: m.Counter("retry.refused_by_budget_attempts"),
	}
}

// AddRequest counts the first attempt of a request, which adds a share of a retry to the
// budget of its service.
func (r *Retrier) AddRequest(info *request.Info) {
	share := info.Service.RetryShare
	if share == 0 {
		share = config.DefaultRetryShare
	}
	r.budget.AddRequest(info.Service.Name, share)
}

// Next decides on another attempt after a failed one, and returns how long to wait
// before it. When the budget is empty, a request that was not run waits up to
// maxBudgetWait for it: since no target has run it, another attempt costs it only the wait.
func (r *Retrier) Next(info *request.Info, f Failure, now time.Time) (time.Duration, Decision) {
	wait := backoffBefore(f.Attempts)
	reason := r.refusalReason(info, f, now.Add(wait))
	switch {
	case reason == "":
		r.retried.Add(1)
		evRetry.Log(r.log).Str("request", info.ID).Str("service", info.Service.Name).Int("attempts", f.Attempts).
			Stringer("verdict", f.Verdict).Int64("wait_us", (f.Waited + wait).Microseconds()).Send()
		return wait, Send
	case reason == ReasonBudget && f.Verdict == verdict.NotRun && f.Waited+wait <= maxBudgetWait:
		return wait, WaitForBudget
	case reason == ReasonBudget:
		r.budgetRefused.Add(1)
	}
	evNoRetry.Log(r.log).Str("request", info.ID).Str("service", info.Service.Name).Int("attempts", f.Attempts).
		Stringer("verdict", f.Verdict).Str("reason", string(reason)).Send()
	return 0, Stop
}

// refusalReason returns why no attempt may start at start. It returns "" if one may,
// and has then taken it from the budget.
func (r *Retrier) refusalReason(info *request.Info, f Failure, start time.Time) Reason {
	switch {
	case f.Verdict != verdict.NotRun && !(f.Verdict == verdict.MayHaveRun && info.Idempotent):
		return ReasonVerdict
	case f.Attempts >= maxAttemptsFor(f.Verdict):
		return ReasonAttempts
	case !f.Replayable:
		return ReasonBody
	case !start.Add(r.runTimes.Expected(info, start)).Before(info.Deadline):
		return ReasonDeadline
	case !r.budget.Take(info.Service.Name):
		return ReasonBudget
	default:
		return ""
	}
}

func maxAttemptsFor(v verdict.Verdict) int {
	if v == verdict.NotRun {
		return maxNotRunAttempts
	}
	return maxAttempts
}

// backoffBefore returns the randomised backoff before the attempt that follows the
// given number of attempts.
func backoffBefore(attempts int) time.Duration {
	b := &backoff.ExponentialBackOff{
		InitialInterval: firstBackoff, RandomizationFactor: jitter, Multiplier: backoffFactor, MaxInterval: maxBackoff,
	}
	wait := b.NextBackOff()
	for range attempts - 1 {
		wait = b.NextBackOff()
	}
	return wait
}
