package forward

import (
	"context"
	"sync/atomic"
	"time"

	"quetzalknot/process/health"
	"quetzalknot/request/route"
	"quetzalknot/verdict"
)

// concurrentAttempt is the first attempt of a hedged request or its hedge.
type concurrentAttempt struct {
	target  string
	isHedge bool
	cancel  context.CancelFunc
	// superseded is set before the attempt is cancelled because the other one
	// succeeded.
	superseded atomic.Bool
}

// attemptResult is the response or the error of a concurrentAttempt.
type attemptResult struct {
	attempt  *concurrentAttempt
	response *response
	err      error
}

// exchangeHedged sends the request to the chosen target and, if there is no response
// after delay, to a second target (a hedged request). The first successful response is
// used; the other attempt is cancelled and keeps its slot until its target has ended
// the request.
func (a *requestAttempts) exchangeHedged(ctx context.Context, choice route.Choice, delay time.Duration) (*response, error) {
	results := make(chan attemptResult, 2)
	first := a.startAttempt(ctx, choice, results, false)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case result := <-results:
		return result.response, result.err
	case <-timer.C:
	}
	hedge := a.startHedge(ctx, choice.Target.Name, delay, results)
	if hedge == nil {
		result := <-results
		return result.response, result.err
	}
	return a.awaitFirst(results, first, hedge)
}

// startHedge starts the second attempt. It returns nil if the hedge budget is used up
// or no other target has a free slot.
func (a *requestAttempts) startHedge(ctx context.Context, first string, delay time.Duration, results chan attemptResult) *concurrentAttempt {
	if !a.extra.hedge.Take(a.info) {
		return nil
	}
	choice, ok := a.admit.TryAcquire(a.info, a.snap, a.targetsToAvoid())
	if ok && choice.Target.Name == first {
		choice.Release()
		ok = false
	}
	if !ok {
		a.extra.hedge.NoFreeSlot(a.info)
		return nil
	}
	a.triedTargets = append(a.triedTargets, choice.Target.Name)
	a.extra.hedge.Sent(a.info, first, choice.Target.Name, delay)
	return a.startAttempt(ctx, choice, results, true)
}

// startAttempt runs an attempt in its own goroutine, which sends the result to results.
func (a *requestAttempts) startAttempt(ctx context.Context, choice route.Choice, results chan<- attemptResult, isHedge bool) *concurrentAttempt {
	ctx, cancel := context.WithCancel(ctx)
	attempt := &concurrentAttempt{target: choice.Target.Name, isHedge: isHedge, cancel: cancel}
	choice = a.failIfSuperseded(attempt, choice)
	go func() {
		resp, err := a.exchangeTimed(ctx, choice)
		results <- attemptResult{attempt: attempt, response: resp, err: err}
	}()
	return attempt
}

// failIfSuperseded reports a superseded attempt to the health tracking of its target as
// failed, so that hedging does not hide slow targets. Its outcome has no run time: the
// time until it was cancelled is only a lower bound.
func (a *requestAttempts) failIfSuperseded(attempt *concurrentAttempt, choice route.Choice) route.Choice {
	return choice.WithOutcome(func(o health.Outcome) health.Outcome {
		if !attempt.superseded.Load() {
			return o
		}
		return health.Outcome{Verdict: o.Verdict, Failed: true}
	})
}

// awaitFirst waits for the first successful response and cancels the other attempt.
// When both attempts fail, it returns the error with the less certain verdict.
func (a *requestAttempts) awaitFirst(results <-chan attemptResult, first, hedge *concurrentAttempt) (*response, error) {
	result := <-results
	if result.err != nil {
		failed := result
		if result = <-results; result.err != nil {
			return nil, lessCertain(failed.err, result.err)
		}
		a.extra.hedge.Answered(a.info, result.attempt.target, result.attempt.isHedge)
		return result.response, nil
	}
	a.extra.hedge.Answered(a.info, result.attempt.target, result.attempt.isHedge)
	loser := first
	if result.attempt == first {
		loser = hedge
	}
	loser.superseded.Store(true)
	loser.cancel()
	go func() {
		if late := <-results; late.err == nil {
			late.response.close()
		}
	}()
	return result.response, nil
}

// lessCertain returns the error with the less certain verdict: may-have-run rather than
// not-run.
func lessCertain(a, b error) error {
	if verdict.Of(a) == verdict.NotRun {
		return b
	}
	return a
}
