package forward

import (
	"context"
	"sync/atomic"
	"time"

	"quetzalknot/process/health"
	"quetzalknot/request/route"
	"quetzalknot/verdict"
)

// racer is one of the attempts that run beside each other.
type racer struct {
	target string
	second bool
	cancel context.CancelFunc
	// lost is set before the attempt is cancelled because the other was answered.
	lost atomic.Bool
}

// finish is the end of a racer's attempt.
type finish struct {
	racer  *racer
	answer *answer
	err    error
}

// hedged runs an attempt and, when it is slow, a second one beside it at another
// target. The first answer counts; the other attempt is cancelled and keeps its
// slot until its target has ended it.
func (s *series) hedged(ctx context.Context, choice route.Choice, delay time.Duration) (*answer, error) {
	finishes := make(chan finish, 2)
	first := s.race(ctx, choice, finishes, false)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case f := <-finishes:
		return f.answer, f.err
	case <-timer.C:
	}
	second := s.startSecond(ctx, choice.Target.Name, delay, finishes)
	if second == nil {
		f := <-finishes
		return f.answer, f.err
	}
	return s.settle(finishes, first, second)
}

// startSecond starts the second attempt when the budget and the slots allow it.
func (s *series) startSecond(ctx context.Context, first string, delay time.Duration, finishes chan finish) *racer {
	if !s.extra.hedge.Take(s.info) {
		return nil
	}
	choice, ok := s.admit.TryAcquire(s.info, s.snap, s.avoided())
	if ok && choice.Target.Name == first {
		choice.Release()
		ok = false
	}
	if !ok {
		s.extra.hedge.NoRoom(s.info)
		return nil
	}
	s.tried = append(s.tried, choice.Target.Name)
	s.extra.hedge.Sent(s.info, first, choice.Target.Name, delay)
	return s.race(ctx, choice, finishes, true)
}

func (s *series) race(ctx context.Context, choice route.Choice, finishes chan<- finish, second bool) *racer {
	ctx, cancel := context.WithCancel(ctx)
	r := &racer{target: choice.Target.Name, second: second, cancel: cancel}
	choice = s.watch(r, choice)
	go func() {
		answer, err := s.timed(ctx, choice)
		finishes <- finish{racer: r, answer: answer, err: err}
	}()
	return r
}

// watch makes an attempt that was cancelled in favour of the other count against
// its target, so that hedging does not hide slow targets. How long the target would
// have taken is not known, and a bound from below would pass for its run time.
func (s *series) watch(r *racer, choice route.Choice) route.Choice {
	return choice.WithOutcome(func(o health.Outcome) health.Outcome {
		if !r.lost.Load() {
			return o
		}
		return health.Outcome{Verdict: o.Verdict, Failed: true}
	})
}

// settle waits for the first answer and cancels the other attempt. When both
// fail, it returns the error that claims less.
func (s *series) settle(finishes <-chan finish, first, second *racer) (*answer, error) {
	f := <-finishes
	if f.err != nil {
		failed := f
		if f = <-finishes; f.err != nil {
			return nil, weaker(failed.err, f.err)
		}
		s.extra.hedge.Settled(s.info, f.racer.target, f.racer.second)
		return f.answer, nil
	}
	s.extra.hedge.Settled(s.info, f.racer.target, f.racer.second)
	loser := first
	if f.racer == first {
		loser = second
	}
	loser.lost.Store(true)
	loser.cancel()
	go func() {
		if late := <-finishes; late.err == nil {
			late.answer.drop()
		}
	}()
	return f.answer, nil
}

// weaker returns the error whose verdict claims less.
func weaker(a, b error) error {
	if verdict.Of(a) == verdict.NotRun {
		return b
	}
	return a
}
