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

// extra decides on attempts beyond the first.
type extra struct {
	retry *retry.Retrier
	hedge *hedge.Hedger
	times *latency.Tracker
}

func newExtra(times *latency.Tracker, set *metrics.Set, log zerolog.Logger) extra {
	return extra{retry: retry.New(times, set, log), hedge: hedge.New(times, set, log), times: times}
}

// series is the attempts of one request.
type series struct {
	*Handler
	r     *http.Request
	info  *request.Info
	snap  *state.Snapshot
	tried []string
	// mayHaveRun is true once an attempt failed that may have run. From then on
	// the caller is never told not-run.
	mayHaveRun bool
}

// forward runs attempts until one is answered or no further one is allowed, and
// writes the answer. It returns the verdict that the caller was told.
func (h *Handler) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, info *request.Info, snap *state.Snapshot) verdict.Verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.admit.Begin(info, snap)
	h.extra.retry.Begin(info)
	h.extra.hedge.Begin(info)
	s := &series{Handler: h, r: r, info: info, snap: snap}
	for {
		choice, err := h.admit.Acquire(ctx, info, snap, s.avoided())
		if err != nil {
			return s.fail(w, http.StatusServiceUnavailable, err)
		}
		answer, err := s.tryTarget(ctx, choice)
		if err == nil {
			return answer.copyTo(w)
		}
		if !s.again(ctx, err) {
			return s.fail(w, http.StatusBadGateway, err)
		}
	}
}

// avoided returns the targets that come last: those that were tried and, for a suspect,
// those on which other hosts run their suspects.
func (s *series) avoided() []string {
	if !s.suspect() {
		return s.tried
	}
	avoided := slices.Clone(s.tried)
	for i, t := range s.info.Service.Targets {
		if !s.opts.Owned(i) {
			avoided = append(avoided, t.Name)
		}
	}
	return avoided
}

func (s *series) suspect() bool {
	return s.opts.Quarantine.State(s.info.Fingerprint) == quarantine.Suspect
}

// tryTarget sends the request once, or twice where it is hedged. A suspect runs once at
// a time, so that a crash tells which request it was.
func (s *series) tryTarget(ctx context.Context, choice route.Choice) (*answer, error) {
	s.tried = append(s.tried, choice.Target.Name)
	if !s.suspect() && (s.r.Body == nil || s.r.Body == http.NoBody) {
		if delay, ok := s.extra.hedge.Delay(s.info); ok {
			return s.hedged(ctx, choice, delay)
		}
	}
	return s.timed(ctx, choice)
}

// timed exchanges the request with one target and notes its run time.
func (s *series) timed(ctx context.Context, choice route.Choice) (*answer, error) {
	start := time.Now()
	answer, err := s.exchange(ctx, s.r, s.info, choice)
	if err == nil {
		now := time.Now()
		s.extra.times.Observe(s.info, now.Sub(start), now)
	}
	return answer, err
}

// again decides on a further attempt and waits for its time.
func (s *series) again(ctx context.Context, err error) bool {
	v := verdict.Of(err)
	if v != verdict.NotRun {
		s.mayHaveRun = true
	}
	failure := retry.Failure{Verdict: v, Attempts: len(s.tried), Replayable: canSendAgain(s.r)}
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

// fail writes the failure of the last attempt with a verdict for all of them.
func (s *series) fail(w http.ResponseWriter, status int, err error) verdict.Verdict {
	if s.mayHaveRun {
		err = verdict.Wrap(verdict.MayHaveRun, "after an earlier attempt", err)
	}
	return failWith(w, statusOf(err, status), err)
}
