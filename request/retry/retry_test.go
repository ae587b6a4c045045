package retry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/metrics"
	"quetzalknot/request"
	"quetzalknot/request/budget"
	"quetzalknot/request/latency"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
)

func newRetrier(log *bytes.Buffer) *Retrier {
	return New(latency.NewTracker(), metrics.NewSet(), zerolog.New(log))
}

func TestWhenARetryIsAllowed(t *testing.T) {
	now := time.Unix(0, 0)
	cases := []struct {
		name       string
		idempotent bool
		failure    Failure
		left       time.Duration
		want       Reason
	}{
		{"not run, any method", false, Failure{Verdict: verdict.NotRun, Attempts: 1, Replayable: true}, time.Second, ""},
		{"may have run, idempotent", true, Failure{Verdict: verdict.MayHaveRun, Attempts: 1, Replayable: true}, time.Second, ""},
		{"may have run, not idempotent", false, Failure{Verdict: verdict.MayHaveRun, Attempts: 1, Replayable: true}, time.Second, ReasonVerdict},
		{"ran", true, Failure{Verdict: verdict.Ran, Attempts: 1, Replayable: true}, time.Second, ReasonVerdict},
		{"body consumed", true, Failure{Verdict: verdict.NotRun, Attempts: 1, Replayable: false}, time.Second, ReasonBody},
		{"third attempt may have run", true, Failure{Verdict: verdict.MayHaveRun, Attempts: 3, Replayable: true}, time.Second, ReasonAttempts},
		{"third attempt not run", true, Failure{Verdict: verdict.NotRun, Attempts: 3, Replayable: true}, time.Second, ""},
		{"eighth attempt not run", true, Failure{Verdict: verdict.NotRun, Attempts: 8, Replayable: true}, time.Second, ReasonAttempts},
		{"too late", true, Failure{Verdict: verdict.NotRun, Attempts: 1, Replayable: true}, 100 * time.Millisecond, ReasonDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var log bytes.Buffer
			info := &request.Info{Service: &config.Service{Name: "bokun"}, Class: config.Class{ExpectedMS: 100}, Idempotent: c.idempotent, Deadline: now.Add(c.left)}
			wait, decision := newRetrier(&log).Next(info, c.failure, now)
			ok := decision == Send
			if ok != (c.want == "") || !strings.Contains(log.String(), string(c.want)) {
				t.Fatalf("allowed = %t, log %s", ok, log.String())
			}
			if ok && c.failure.Attempts == 1 && (wait < firstBackoff/2 || wait > firstBackoff*3/2) {
				t.Fatalf("wait = %s", wait)
			}
		})
	}
}

// TestNoRetryStorm fails every attempt, as in the loss of a whole region, and checks
// that retries stay within the budget and use all of it.
func TestNoRetryStorm(t *testing.T) {
	now := time.Unix(0, 0)
	r := newRetrier(&bytes.Buffer{})
	svc := &config.Service{Name: "bokun", RetryShare: 0.2}
	const requests = 5000
	attempts := 0
	for range requests {
		info := &request.Info{Service: svc, Idempotent: true, Deadline: now.Add(time.Minute)}
		r.AddRequest(info)
		for f := (Failure{Verdict: verdict.NotRun, Replayable: true}); ; {
			attempts++
			f.Attempts++
			f.Waited = 0
			if nextFinal(r, info, f, now) == Stop {
				break
			}
		}
	}
	if limit := requests*12/10 + budget.Burst; attempts > limit || attempts < limit-1 {
		t.Fatalf("%d attempts for %d requests, want at most %d and at least one less than that", attempts, requests, limit)
	}
}

// nextFinal calls Next until the decision is not WaitForBudget.
func nextFinal(r *Retrier, info *request.Info, f Failure, now time.Time) Decision {
	for {
		wait, decision := r.Next(info, f, now.Add(f.Waited))
		if decision != WaitForBudget {
			return decision
		}
		f.Waited += wait
	}
}

// TestNotRunWaitsForTheBudget checks with an empty budget that a request that was not
// run waits for a bounded time, and that one that may have run does not wait.
func TestNotRunWaitsForTheBudget(t *testing.T) {
	now := time.Unix(0, 0)
	var log bytes.Buffer
	r := newRetrier(&log)
	info := &request.Info{Service: &config.Service{Name: "bokun", RetryShare: 1}, Idempotent: true, Deadline: now.Add(time.Minute)}
	for r.budget.Take("bokun") {
	}
	notRun := Failure{Verdict: verdict.NotRun, Attempts: 1, Replayable: true}
	if _, d := r.Next(info, notRun, now); d != WaitForBudget {
		t.Errorf("not run with an empty budget: decision %d, want %d", d, WaitForBudget)
	}
	if d := nextFinal(r, info, notRun, now); d != Stop {
		t.Errorf("after the maximum wait: decision %d, want %d", d, Stop)
	}
	mayHaveRun := Failure{Verdict: verdict.MayHaveRun, Attempts: 1, Replayable: true}
	if _, d := r.Next(info, mayHaveRun, now); d != Stop {
		t.Errorf("may have run with an empty budget: decision %d, want %d", d, Stop)
	}
	r.AddRequest(info)
	if _, d := r.Next(info, notRun, now); d != Send {
		t.Errorf("with a new token: decision %d, want %d", d, Send)
	}
}
