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
		{"not run, any method", false, Failure{verdict.NotRun, 1, true}, time.Second, ""},
		{"may have run, idempotent", true, Failure{verdict.MayHaveRun, 1, true}, time.Second, ""},
		{"may have run, not idempotent", false, Failure{verdict.MayHaveRun, 1, true}, time.Second, ReasonVerdict},
		{"ran", true, Failure{verdict.Ran, 1, true}, time.Second, ReasonVerdict},
		{"body consumed", true, Failure{verdict.NotRun, 1, false}, time.Second, ReasonBody},
		{"third attempt failed", true, Failure{verdict.NotRun, 3, true}, time.Second, ReasonAttempts},
		{"too late", true, Failure{verdict.NotRun, 1, true}, 100 * time.Millisecond, ReasonDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var log bytes.Buffer
			info := &request.Info{Service: &config.Service{Name: "bokun"}, Class: config.Class{ExpectedMS: 100}, Idempotent: c.idempotent, Deadline: now.Add(c.left)}
			wait, ok := newRetrier(&log).Next(info, c.failure, now)
			if ok != (c.want == "") || !strings.Contains(log.String(), string(c.want)) {
				t.Fatalf("allowed = %t, log %s", ok, log.String())
			}
			if ok && (wait < firstBackoff/2 || wait > firstBackoff*3/2) {
				t.Fatalf("wait = %s", wait)
			}
		})
	}
}

// TestNoRetryStorm fails every attempt, as when a whole region is lost.
func TestNoRetryStorm(t *testing.T) {
	now := time.Unix(0, 0)
	r := newRetrier(&bytes.Buffer{})
	svc := &config.Service{Name: "bokun", RetryShare: 0.2}
	const requests = 5000
	attempts := 0
	for range requests {
		info := &request.Info{Service: svc, Idempotent: true, Deadline: now.Add(time.Minute)}
		r.Begin(info)
		for n := 1; ; n++ {
			attempts++
			if _, again := r.Next(info, Failure{verdict.NotRun, n, true}, now); !again {
				break
			}
		}
	}
	if limit := requests*12/10 + budget.Burst; attempts > limit || attempts < limit-1 {
		t.Fatalf("%d attempts for %d requests, want at most %d and all of them", attempts, requests, limit)
	}
}
