// Package retry decides whether and when a failed attempt is followed by another.
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
	// maxAttempts bounds the attempts of one request that may have run; maxNotRun
	// those of one that surely did not.
	maxAttempts = 3
	maxNotRun   = 8
	// budgetPatience is how long a request that was not run waits for the budget.
	budgetPatience = 500 * time.Millisecond
	// firstBackoff is the mean wait before the second attempt; each further one is
	// backoffFactor times as long, up to maxBackoff. jitter is the share by which a
	// wait differs from its mean at most.
	firstBackoff  = 10 * time.Millisecond
	backoffFactor = 4
	maxBackoff    = 200 * time.Millisecond
	jitter        = 0.5
)

// Reason says why a request is not retried.
type Reason string

// The reasons.
const (
	ReasonVerdict  Reason = "may have run and is not idempotent"
	ReasonAttempts Reason = "attempts used up"
	ReasonBody     Reason = "body cannot be sent again"
	ReasonDeadline Reason = "deadline cannot be met"
	ReasonBudget   Reason = "retry budget of the service is used up"
)

// Failure is the failed attempt that a decision is about.
type Failure struct {
	Verdict verdict.Verdict
	// Attempts is how many attempts the request has had.
	Attempts int
	// Replayable is true when the body, if any, can be sent again whole.
	Replayable bool
	// Waited is how long the request has waited for the budget since the attempt.
	Waited time.Duration
}

// Decision says what follows a failed attempt.
type Decision uint8

// The decisions.
const (
	// Stop means that no attempt follows.
	Stop Decision = iota
	// Send means that an attempt follows after the wait.
	Send
	// AskAgain means that the budget may allow an attempt after the wait.
	AskAgain
)

// Retrier decides on retries within a budget for each service. It is safe for
// concurrent use.
type Retrier struct {
	budget  *budget.Budget
	times   *latency.Tracker
	log     zerolog.Logger
	retried *expvar.Int
	starved *expvar.Int
}

// New returns a Retrier with full budgets. It adds its figures to m.
func New(times *latency.Tracker, m *metrics.Set, log zerolog.Logger) *Retrier {
	return &Retrier{
		budget: budget.New(budget.Burst), times: times, log: log,
		retried: m.Counter("retry.retried_attempts"), starved: m.Counter("retry.refused_by_budget_attempts"),
	}
}

// Begin notes the first attempt of a request, which earns a share of a retry.
func (r *Retrier) Begin(info *request.Info) {
	share := info.Service.RetryShare
	if share == 0 {
		share = config.DefaultRetryShare
	}
	r.budget.Earn(info.Service.Name, share)
}

// Next decides on another attempt after a failed one, and returns how long to wait
// before it. A request that was not run waits a while for an empty budget, since
// the next attempt costs nothing but the wait.
func (r *Retrier) Next(info *request.Info, f Failure, now time.Time) (time.Duration, Decision) {
	wait := waitBefore(f.Attempts)
	reason := r.reasonAgainst(info, f, now.Add(wait))
	switch {
	case reason == "":
		r.retried.Add(1)
		evRetry.Log(r.log).Str("request", info.ID).Str("service", info.Service.Name).Int("attempts", f.Attempts).
			Stringer("verdict", f.Verdict).Int64("wait_us", (f.Waited + wait).Microseconds()).Send()
		return wait, Send
	case reason == ReasonBudget && f.Verdict == verdict.NotRun && f.Waited+wait <= budgetPatience:
		return wait, AskAgain
	case reason == ReasonBudget:
		r.starved.Add(1)
	}
	evNoRetry.Log(r.log).Str("request", info.ID).Str("service", info.Service.Name).Int("attempts", f.Attempts).
		Stringer("verdict", f.Verdict).Str("reason", string(reason)).Send()
	return 0, Stop
}

// reasonAgainst returns why there is no attempt at start, or "" after it took the
// attempt from the budget.
func (r *Retrier) reasonAgainst(info *request.Info, f Failure, start time.Time) Reason {
	switch {
	case f.Verdict != verdict.NotRun && !(f.Verdict == verdict.MayHaveRun && info.Idempotent):
		return ReasonVerdict
	case f.Attempts >= attemptsAllowed(f.Verdict):
		return ReasonAttempts
	case !f.Replayable:
		return ReasonBody
	case !start.Add(r.times.Expected(info)).Before(info.Deadline):
		return ReasonDeadline
	case !r.budget.Take(info.Service.Name):
		return ReasonBudget
	default:
		return ""
	}
}

func attemptsAllowed(v verdict.Verdict) int {
	if v == verdict.NotRun {
		return maxNotRun
	}
	return maxAttempts
}

// waitBefore draws the wait before the attempt that follows this many.
func waitBefore(attempts int) time.Duration {
	b := &backoff.ExponentialBackOff{
		InitialInterval: firstBackoff, RandomizationFactor: jitter, Multiplier: backoffFactor, MaxInterval: maxBackoff,
	}
	wait := b.NextBackOff()
	for range attempts - 1 {
		wait = b.NextBackOff()
	}
	return wait
}
