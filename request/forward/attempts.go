package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/metrics"
	"quetzalknot/process/pause"
	"quetzalknot/process/quarantine"
	"quetzalknot/request"
	"quetzalknot/request/hedge"
	"quetzalknot/request/latency"
	"quetzalknot/request/retry"
	"quetzalknot/request/route"
	"quetzalknot/verdict"
	"quetzalknot/version/state"
)

// extraAttempts decides on retries and hedged attempts.
type extraAttempts struct {
	retry *retry.Retrier
	hedge *hedge.Hedger
	times *latency.Tracker
}

func newExtraAttempts(times *latency.Tracker, set *metrics.Set, log zerolog.Logger) extraAttempts {
	return extraAttempts{retry: retry.New(times, set, log), hedge: hedge.New(times, set, log), times: times}
}

// requestAttempts runs the attempts of one request.
type requestAttempts struct {
	*Handler
	r            *http.Request
	info         *request.Info
	snap         *state.Snapshot
	triedTargets []string
	// mayHaveRun is set when a failed attempt may have run. The caller is not told
	// not-run after that.
	mayHaveRun bool
}

// forward runs attempts until one succeeds or no further one is allowed, and writes the
// response. It returns the verdict sent to the caller.
func (h *Handler) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, info *request.Info, snap *state.Snapshot) verdict.Verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.admit.AssignRegion(info, snap)
	h.extra.retry.AddRequest(info)
	h.extra.hedge.AddRequest(info)
	s := &requestAttempts{Handler: h, r: r, info: info, snap: snap}
	for {
		choice, err := h.admit.Acquire(ctx, info, snap, s.targetsToAvoid())
		if err != nil {
			return s.fail(w, http.StatusServiceUnavailable, err)
		}
		resp, err := s.attemptTarget(ctx, choice)
		if err == nil {
			return resp.writeTo(w)
		}
		if !s.shouldRetry(ctx, err) {
			return s.fail(w, http.StatusBadGateway, err)
		}
	}
}

// targetsToAvoid returns the targets to use only as a last resort: those already tried
// and, for a suspect, those on which other hosts run their suspects.
func (s *requestAttempts) targetsToAvoid() []string {
	if !s.isSuspect() {
		return s.triedTargets
	}
	avoided := slices.Clone(s.triedTargets)
	for i, t := range s.info.Service.Targets {
		if !s.opts.OwnsSuspects(i) {
			avoided = append(avoided, t.Name)
		}
	}
	return avoided
}

func (s *requestAttempts) isSuspect() bool {
	return s.opts.Quarantine.State(s.info.Fingerprint) == quarantine.Suspect
}

// attemptTarget sends the request to the chosen target, and to a second one if it is
// hedged. Suspects are not hedged, so that a crash of a target identifies the request
// that caused it.
func (s *requestAttempts) attemptTarget(ctx context.Context, choice route.Choice) (*response, error) {
	s.triedTargets = append(s.triedTargets, choice.Target.Name)
	if !s.isSuspect() && (s.r.Body == nil || s.r.Body == http.NoBody) {
		if delay, ok := s.extra.hedge.Delay(s.info); ok {
			return s.exchangeHedged(ctx, choice, delay)
		}
	}
	return s.exchangeTimed(ctx, choice)
}

// exchangeTimed sends the request to one target and records the run time if it
// succeeds.
func (s *requestAttempts) exchangeTimed(ctx context.Context, choice route.Choice) (*response, error) {
	start := time.Now()
	resp, err := s.exchange(ctx, s.r, s.info, choice)
	if err == nil {
		now := time.Now()
		s.extra.times.Observe(s.info, now.Sub(start), now)
	}
	return resp, err
}

// shouldRetry reports whether another attempt is allowed, after waiting for the backoff
// and the retry budget.
func (s *requestAttempts) shouldRetry(ctx context.Context, err error) bool {
	v := verdict.Of(err)
	if v != verdict.NotRun {
		s.mayHaveRun = true
	}
	failure := retry.Failure{Verdict: v, Attempts: len(s.triedTargets), Replayable: rewindBody(s.r)}
	for {
		wait, decision := s.extra.retry.Next(s.info, failure, time.Now())
		if decision == retry.Stop || !pause.For(ctx, wait) {
			return false
		}
		if decision == retry.Send {
			return true
		}
		failure.Waited += wait
	}
}

// fail writes the error of the last attempt with a verdict that holds for all attempts.
func (s *requestAttempts) fail(w http.ResponseWriter, status int, err error) verdict.Verdict {
	if s.mayHaveRun {
		err = verdict.Wrap(verdict.MayHaveRun, "after an earlier attempt", err)
	}
	return failWith(w, statusOf(err, status), err)
}
