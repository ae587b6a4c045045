// Package admit lets a request wait in the queue of its class until a target has
// room for it.
//
// Each service has bounded first-in-first-out lanes, one for each class and
// region. A dispatcher, which runs only while requests wait, offers freed room to
// the heads of the lanes, short work first.
//
// admit.go is the public interface, queue.go keeps the lanes of one service,
// dispatch.go hands out room, refusal.go says why a request was refused.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/metrics"
	"quetzalknot/request"
	"quetzalknot/request/route"
	"quetzalknot/version/state"
)

// Chooser takes a slot at a target for one attempt. *route.Router implements it.
type Chooser interface {
	// Choose never blocks. Its errors carry the verdict not-run.
	Choose(info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, error)
	// Changed returns a channel that is closed when room for the service may have appeared.
	Changed(service string) <-chan struct{}
}

// RunTimes estimates how long requests of a class run.
type RunTimes interface {
	// Expected returns the usual run time of a class, or 0 when it is unknown.
	Expected(info *request.Info) time.Duration
}

// Admitter admits requests to targets. It is safe for concurrent use.
type Admitter struct {
	chooser Chooser
	times   RunTimes
	log     zerolog.Logger
	counts  counters

	mu     sync.Mutex
	queues map[string]*queue
}

// New returns an Admitter without waiting requests. It adds its figures to m.
func New(chooser Chooser, times RunTimes, m *metrics.Set, log zerolog.Logger) *Admitter {
	a := &Admitter{chooser: chooser, times: times, log: log, counts: newCounters(m), queues: make(map[string]*queue)}
	m.Gauge("admission.waiting_requests", a.waiting)
	return a
}

// Acquire waits until a target has room and returns it with a slot held. It ends
// early when the request can no longer make its deadline, when ctx ends and when
// the queue overflows; the error is then a RefusedError with the verdict not-run.
func (a *Admitter) Acquire(ctx context.Context, info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, error) {
	w := newWaiter(info, snap, tried, a.times.Expected(info))
	if w.late(time.Now()) {
		return route.Choice{}, a.refuse(w, ReasonDeadline)
	}
	q := a.queue(info.Service.Name)
	if choice, ok := q.tryNow(w); ok {
		a.counts.direct.Add(1)
		return choice, nil
	}
	if reason := q.enqueue(w); reason != "" {
		return route.Choice{}, a.refuse(w, reason)
	}
	evQueued.Log(a.log).Str("request", info.ID).Str("service", info.Service.Name).
		Str("class", info.Class.Name).Int("tried", len(tried)).Send()
	return a.wait(ctx, q, w)
}

// TryAcquire takes a slot only when one is free and nobody waits for it.
func (a *Admitter) TryAcquire(info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, bool) {
	w := newWaiter(info, snap, tried, a.times.Expected(info))
	if w.late(time.Now()) {
		return route.Choice{}, false
	}
	q := a.queue(info.Service.Name)
	if q.anyWaiting() {
		return route.Choice{}, false
	}
	return q.tryNow(w)
}

func (a *Admitter) wait(ctx context.Context, q *queue, w *waiter) (route.Choice, error) {
	timer := time.NewTimer(time.Until(w.lastStart))
	defer timer.Stop()
	var outcome grant
	select {
	case outcome = <-w.granted:
	case <-ctx.Done():
		outcome = q.leave(w, ReasonCancelled)
	case <-timer.C:
		outcome = q.leave(w, ReasonDeadline)
	}
	if outcome.reason != "" {
		return route.Choice{}, a.refuse(w, outcome.reason)
	}
	waited := time.Since(w.since)
	a.counts.waited.Add(1)
	a.counts.waitMicros.Add(waited.Microseconds())
	evDequeued.Log(a.log).Str("request", w.info.ID).Str("service", w.info.Service.Name).Str("class", w.info.Class.Name).
		Str("target", outcome.choice.Target.Name).Int64("waited_us", waited.Microseconds()).Send()
	return outcome.choice, nil
}

func (a *Admitter) queue(service string) *queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[service]
	if q == nil {
		q = newQueue(service, a.chooser, a.log)
		a.queues[service] = q
	}
	return q
}

func (a *Admitter) waiting() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := 0
	for _, q := range a.queues {
		total += q.length()
	}
	return int64(total)
}
