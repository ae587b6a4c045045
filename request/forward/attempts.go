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
	a := &requestAttempts{Handler: h, r: r, info: info, snap: snap}
	for {
		choice, err := h.admit.Acquire(ctx, info, snap, a.targetsToAvoid())
		if err != nil {
			return a.fail(w, http.StatusServiceUnavailable, err)
		}
		resp, err := a.attemptTarget(ctx, choice)
		if err == nil {
			return resp.writeTo(w)
		}
		if !a.shouldRetry(ctx, err) {
			return a.fail(w, http.StatusBadGateway, err)
		}
	}
}

// targetsToAvoid returns the targets to use only as a last resort: those already tried
// and, for a suspect, those on which other hosts run their suspects.
func (a *requestAttempts) targetsToAvoid() []string {
	if !a.isSuspect() {
		return a.triedTargets
	}
	avoided := slices.Clone(a.triedTargets)
	for i, t := range a.info.Service.Targets {
		if !a.opts.OwnsSuspects(i) {
			avoided = append(avoided, t.Name)
		}
	}
	return avoided
}

func (a *requestAttempts) isSuspect() bool {
	return a.opts.Quarantine.State(a.info.Fingerprint) == quarantine.Suspect
}

// attemptTarget sends the request to the chosen target, and to a second one if it is
// hedged. Suspects are not hedged, so that a crash of a target identifies the request
// that caused it.
func (a *requestAttempts) attemptTarget(ctx context.Context, choice route.Choice) (*response, error) {
	a.triedTargets = append(a.triedTargets, choice.Target.Name)
	if !a.isSuspect() && (a.r.Body == nil || a.r.Body == http.NoBody) {
		if delay, ok := a.extra.hedge.Delay(a.info); ok {
			return a.exchangeHedged(ctx, choice, delay)
		}
	}
	return a.exchangeTimed(ctx, choice)
}

// exchangeTimed sends the request to one target and records the run time if it
// succeeds.
func (a *requestAttempts) exchangeTimed(ctx context.Context, choice route.Choice) (*response, error) {
	start := time.Now()
	resp, err := a.exchange(ctx, a.r, a.info, choice)
	if err == nil {
		now := time.Now()
		a.extra.times.Observe(a.info, now.Sub(start), now)
	}
	return resp, err
}

// shouldRetry reports whether another attempt is allowed, after waiting for the backoff
// and the retry budget.
func (a *requestAttempts) shouldRetry(ctx context.Context, err error) bool {
	v := verdict.Of(err)
	if v != verdict.NotRun {
		a.mayHaveRun = true
	}
	failure := retry.Failure{Verdict: v, Attempts: len(a.triedTargets), Replayable: rewindBody(a.r)}
	for {
		wait, decision := a.extra.retry.Next(a.info, failure, time.Now())
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
func (a *requestAttempts) fail(w http.ResponseWriter, status int, err error) verdict.Verdict {
	if a.mayHaveRun {
		err = verdict.Wrap(verdict.MayHaveRun, "after an earlier attempt", err)
	}
	return failWith(w, statusOf(err, status), err)
}
