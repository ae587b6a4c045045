// Package admit performs admission control: a request waits in the queue of its class
// until a target has a free slot for it.
//
// Each service has bounded first-in-first-out subqueues, one for each class and region.
// A dispatcher, which runs only while requests wait, grants freed slots to the heads of
// the subqueues, short requests first.
//
// admit.go is the public interface, queue.go holds the subqueues of one service,
// dispatch.go grants slots, longlimit.go limits the long requests in flight, refusal.go
// defines the errors of refused requests.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/metrics"
	"quetzalknot/request"
	"quetzalknot/request/latency"
	"quetzalknot/request/route"
	"quetzalknot/version/state"
)

// Chooser reserves a slot at a target for one attempt. *route.Router implements it.
type Chooser interface {
	// Choose never blocks. Its errors carry the verdict not-run.
	Choose(info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, error)
	// Changed returns a channel that is closed when a slot of the service may have
	// become free.
	Changed(service string) <-chan struct{}
}

// Option configures an Admitter.
type Option func(*Admitter)

// WithRegionAssigner sets the function that assigns a region to each request before its
// first attempt.
func WithRegionAssigner(assign func(info *request.Info, snap *state.Snapshot)) Option {
	return func(a *Admitter) { a.assignRegion = assign }
}

// Admitter admits requests to targets. It is safe for concurrent use.
type Admitter struct {
	chooser      Chooser
	runTimes     *latency.Tracker
	log          zerolog.Logger
	metrics      admissionMetrics
	assignRegion func(info *request.Info, snap *state.Snapshot)

	mu     sync.Mutex
	queues map[string]*serviceQueue
}

// New returns an Admitter without waiting requests. It registers its metrics with m.
func New(chooser Chooser, times *latency.Tracker, m *metrics.Set, log zerolog.Logger, options ...Option) *Admitter {
	a := &Admitter{chooser: chooser, runTimes: times, log: log, metrics: newAdmissionMetrics(m), queues: make(map[string]*serviceQueue)}
	for _, option := range options {
		option(a)
	}
	m.Gauge("admission.waiting_requests", a.waiting)
	return a
}

// RunTimes returns the tracker of run times against which deadlines are checked.
func (a *Admitter) RunTimes() *latency.Tracker { return a.runTimes }

// AssignRegion assigns the region of a request before its first attempt.
func (a *Admitter) AssignRegion(info *request.Info, snap *state.Snapshot) {
	if a.assignRegion != nil {
		a.assignRegion(info, snap)
	}
}

// Acquire waits until a target has a free slot and returns that target with the slot
// reserved. It returns early when the request can no longer meet its deadline, when ctx
// ends or when the queue overflows; the error is then a RefusedError with the verdict
// not-run.
func (a *Admitter) Acquire(ctx context.Context, info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, error) {
	w := newWaiter(info, snap, tried, a.runTimes.Expected(info, time.Now()))
	if w.cannotMeetDeadline(time.Now()) {
		return route.Choice{}, a.refuse(w, ReasonDeadline)
	}
	q := a.queue(info.Service.Name)
	if choice, ok := q.tryAcquire(w); ok {
		a.metrics.direct.Add(1)
		return choice, nil
	}
	if reason := q.enqueue(w); reason != "" {
		return route.Choice{}, a.refuse(w, reason)
	}
	evQueued.Log(a.log).Str("request", info.ID).Str("service", info.Service.Name).
		Str("class", info.Class.Name).Int("tried", len(tried)).Send()
	return a.wait(ctx, q, w)
}

// TryAcquire reserves a slot only if one is free, no request waits in the queue of the
// service, and the request can still meet its deadline. It never waits.
func (a *Admitter) TryAcquire(info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, bool) {
	w := newWaiter(info, snap, tried, a.runTimes.Expected(info, time.Now()))
	if w.cannotMeetDeadline(time.Now()) {
		return route.Choice{}, false
	}
	q := a.queue(info.Service.Name)
	if q.hasWaiters() {
		return route.Choice{}, false
	}
	return q.tryAcquire(w)
}

func (a *Admitter) wait(ctx context.Context, q *serviceQueue, w *waiter) (route.Choice, error) {
	timer := time.NewTimer(time.Until(w.lastStart))
	defer timer.Stop()
	var result waitResult
	select {
	case result = <-w.result:
	case <-ctx.Done():
		result = q.abandon(w, ReasonCancelled)
	case <-timer.C:
		result = q.abandon(w, ReasonDeadline)
	}
	if result.reason != "" {
		return route.Choice{}, a.refuse(w, result.reason)
	}
	waited := time.Since(w.arrivedAt)
	a.metrics.waited.Add(1)
	a.metrics.waitMicros.Add(waited.Microseconds())
	evDequeued.Log(a.log).Str("request", w.info.ID).Str("service", w.info.Service.Name).Str("class", w.info.Class.Name).
		Str("target", result.choice.Target.Name).Int64("waited_us", waited.Microseconds()).Send()
	return result.choice, nil
}

func (a *Admitter) queue(service string) *serviceQueue {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[service]
	if q == nil {
		q = newServiceQueue(service, a.chooser, a.log)
		a.queues[service] = q
	}
	return q
}

func (a *Admitter) waiting() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := 0
	for _, q := range a.queues {
		total += q.waiting()
	}
	return int64(total)
}
