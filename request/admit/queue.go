package admit

import (
	"container/list"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/request"
	"quetzalknot/request/route"
	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

// serviceQueueLimit is how many requests of one service may wait on one host. When it
// is reached, a short request evicts the long request that arrived last.
const serviceQueueLimit = 512

// waiter is one request that needs a slot.
type waiter struct {
	info      *request.Info
	snap      *state.Snapshot
	tried     []string
	arrivedAt time.Time
	// lastStart is the latest time at which the request can start and still meet its
	// deadline.
	lastStart time.Time
	// result receives exactly one value once the waiter has been queued.
	result chan waitResult
	// element is the waiter's element in its subqueue; nil when it is not queued.
	element *list.Element
}

// waitResult is the outcome of waiting: a target with a reserved slot, or the reason of
// the refusal.
type waitResult struct {
	choice route.Choice
	reason Reason
}

func newWaiter(info *request.Info, snap *state.Snapshot, tried []string, expected time.Duration) *waiter {
	return &waiter{
		info: info, snap: snap, tried: tried, arrivedAt: time.Now(),
		lastStart: info.Deadline.Add(-expected), result: make(chan waitResult, 1),
	}
}

func (w *waiter) cannotMeetDeadline(now time.Time) bool { return !now.Before(w.lastStart) }

// subqueueKey identifies a subqueue. Requests for different regions wait for different
// targets, so they must not block one another.
type subqueueKey struct {
	class  string
	region string
}

// subqueue is a first-in-first-out queue of the waiters of one class and region.
type subqueue struct {
	long    bool
	waiters list.List
}

// serviceQueue holds the waiting requests of one service.
type serviceQueue struct {
	service string
	chooser Chooser
	log     zerolog.Logger

	mu        sync.Mutex
	subqueues map[subqueueKey]*subqueue
	// dispatchOrder holds the subqueues of short classes, then those of long classes,
	// each in order of first use.
	dispatchOrder []*subqueue
	// shortWaiting and longWaiting count the waiters of each kind.
	shortWaiting int
	longWaiting  int
	// longInFlight is how many slots the long requests of this host hold.
	longInFlight int
	longLimit    longLimit
	// shortGrants counts the slots granted to short requests, while long ones waited, since
	// the last slot granted to a long request.
	shortGrants int
	// dispatching is true while the dispatcher runs.
	dispatching bool
	// arrived wakes the dispatcher for a new waiter.
	arrived chan struct{}
}

func newServiceQueue(service string, chooser Chooser, log zerolog.Logger) *serviceQueue {
	return &serviceQueue{
		service: service, chooser: chooser, log: log,
		longLimit: newLongLimit(time.Now()),
		subqueues: make(map[subqueueKey]*subqueue), arrived: make(chan struct{}, 1),
	}
}

// tryAcquire reserves a slot without waiting, unless another request has priority.
func (q *serviceQueue) tryAcquire(w *waiter) (route.Choice, bool) {
	q.mu.Lock()
	mustWait := q.mustWait(w)
	q.mu.Unlock()
	if mustWait {
		return route.Choice{}, false
	}
	choice, err := q.chooser.Choose(w.info, w.snap, w.tried)
	if err != nil {
		return route.Choice{}, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.recordGrant(w, choice), true
}

// mustWait reports whether other requests have priority over this one, or the limit of
// long requests is reached.
func (q *serviceQueue) mustWait(w *waiter) bool {
	if w.info.Class.Long && (q.shortWaiting > 0 || !q.longLimit.allows(q.longInFlight, w.arrivedAt)) {
		return true
	}
	if !w.info.Class.Long && q.longHasPriority() {
		return true
	}
	sub := q.subqueues[subqueueKeyOf(w)]
	return sub != nil && sub.waiters.Len() > 0
}

func subqueueKeyOf(w *waiter) subqueueKey {
	return subqueueKey{class: w.info.Class.Name, region: w.info.Region}
}

// enqueue adds the waiter to its subqueue. It returns the reason of the refusal when
// the queue is full, and "" otherwise.
func (q *serviceQueue) enqueue(w *waiter) Reason {
	q.mu.Lock()
	defer q.mu.Unlock()
	sub := q.subqueue(w)
	if sub.waiters.Len() >= queueLimitOf(w.info.Class) {
		return ReasonFull
	}
	if q.shortWaiting+q.longWaiting >= serviceQueueLimit && (sub.long || !q.evictNewestLong()) {
		return ReasonFull
	}
	w.element = sub.waiters.PushBack(w)
	q.countWaiting(sub, 1)
	q.wakeDispatcher()
	return ""
}

// subqueue returns the waiter's subqueue, and creates it on first use.
func (q *serviceQueue) subqueue(w *waiter) *subqueue {
	key := subqueueKeyOf(w)
	if existing := q.subqueues[key]; existing != nil {
		return existing
	}
	sub := &subqueue{long: w.info.Class.Long}
	q.subqueues[key] = sub
	at := len(q.dispatchOrder)
	if !sub.long {
		for at > 0 && q.dispatchOrder[at-1].long {
			at--
		}
	}
	q.dispatchOrder = append(q.dispatchOrder, nil)
	copy(q.dispatchOrder[at+1:], q.dispatchOrder[at:])
	q.dispatchOrder[at] = sub
	return sub
}

func queueLimitOf(c config.Class) int {
	if c.QueueLimit > 0 {
		return c.QueueLimit
	}
	return config.DefaultQueueLimit
}

// evictNewestLong refuses the waiting long request that arrived last. It reports
// whether there was one.
func (q *serviceQueue) evictNewestLong() bool {
	var last *waiter
	for _, sub := range q.dispatchOrder {
		if !sub.long || sub.waiters.Len() == 0 {
			continue
		}
		if w := sub.waiters.Back().Value.(*waiter); last == nil || w.arrivedAt.After(last.arrivedAt) {
			last = w
		}
	}
	if last == nil {
		return false
	}
	q.remove(last)
	last.result <- waitResult{reason: ReasonEvicted}
	return true
}

// abandon removes the waiter because of reason. If the waiter has been refused already,
// abandon returns that result; if it has been granted a slot, abandon releases the
// slot.
func (q *serviceQueue) abandon(w *waiter, reason Reason) waitResult {
	q.mu.Lock()
	if w.element != nil {
		q.remove(w)
		q.mu.Unlock()
		return waitResult{reason: reason}
	}
	q.mu.Unlock()
	result := <-w.result
	if result.reason != "" {
		return result
	}
	result.choice.Release()
	return waitResult{reason: reason}
}

func (q *serviceQueue) remove(w *waiter) {
	sub := q.subqueues[subqueueKeyOf(w)]
	sub.waiters.Remove(w.element)
	w.element = nil
	q.countWaiting(sub, -1)
}

func (q *serviceQueue) countWaiting(sub *subqueue, n int) {
	if sub.long {
		q.longWaiting += n
		return
	}
	q.shortWaiting += n
}

func (q *serviceQueue) hasWaiters() bool { return q.waiting() > 0 }

func (q *serviceQueue) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.shortWaiting + q.longWaiting
}
