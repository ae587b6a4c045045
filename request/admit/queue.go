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

// serviceQueueLimit is how many requests of one service wait on one host. Above
// it a short request takes the place of the long one that came last.
const serviceQueueLimit = 512

// waiter is one request that wants a slot.
type waiter struct {
	info  *request.Info
	snap  *state.Snapshot
	tried []string
	since time.Time
	// lastStart is the latest time at which the request can still make its deadline.
	lastStart time.Time
	// granted takes exactly one outcome once the waiter has been queued.
	granted chan grant
	// place is the waiter's element in its lane, nil when it is not queued.
	place *list.Element
}

// grant is the outcome of waiting: a choice, or the reason why there is none.
type grant struct {
	choice route.Choice
	reason Reason
}

func newWaiter(info *request.Info, snap *state.Snapshot, tried []string, expected time.Duration) *waiter {
	return &waiter{
		info: info, snap: snap, tried: tried, since: time.Now(),
		lastStart: info.Deadline.Add(-expected), granted: make(chan grant, 1),
	}
}

func (w *waiter) late(now time.Time) bool { return !now.Before(w.lastStart) }

// laneKey separates waiters that may block one another. Requests for another
// region wait for other targets.
type laneKey struct {
	class  string
	region string
}

// lane is a first-in-first-out queue of waiters of one class and region.
type lane struct {
	long    bool
	waiters list.List
}

// queue keeps the waiting requests of one service.
type queue struct {
	service string
	chooser Chooser
	log     zerolog.Logger

	mu    sync.Mutex
	lanes map[laneKey]*lane
	// order holds the lanes, short ones first, in order of their first use.
	order []*lane
	// shortWaiting and longWaiting count the waiters.
	shortWaiting int
	longWaiting  int
	// longInFlight is how many slots long work of this host holds.
	longInFlight int
	longLimit    longLimit
	// shortGrants counts the slots given to short work since long work last got one.
	shortGrants int
	// dispatching is true while the dispatcher runs.
	dispatching bool
	// arrived wakes the dispatcher for a new waiter.
	arrived chan struct{}
}

func newQueue(service string, chooser Chooser, log zerolog.Logger) *queue {
	return &queue{
		service: service, chooser: chooser, log: log,
		longLimit: newLongLimit(time.Now()),
		lanes:     make(map[laneKey]*lane), arrived: make(chan struct{}, 1),
	}
}

// tryNow takes a slot at once unless an earlier waiter has a better claim to it.
func (q *queue) tryNow(w *waiter) (route.Choice, bool) {
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
	return q.count(w, choice), true
}

// mustWait reports whether the request stands behind another one.
func (q *queue) mustWait(w *waiter) bool {
	if w.info.Class.Long && (q.shortWaiting > 0 || !q.longLimit.allows(q.longInFlight, w.since)) {
		return true
	}
	if !w.info.Class.Long && q.longDue() {
		return true
	}
	l := q.lanes[keyOf(w)]
	return l != nil && l.waiters.Len() > 0
}

func keyOf(w *waiter) laneKey {
	return laneKey{class: w.info.Class.Name, region: w.info.Region}
}

// enqueue adds the waiter to its lane. It returns the reason when there is no place.
func (q *queue) enqueue(w *waiter) Reason {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lane(w)
	if l.waiters.Len() >= limitOf(w.info.Class) {
		return ReasonFull
	}
	if q.shortWaiting+q.longWaiting >= serviceQueueLimit && (l.long || !q.displaceLong()) {
		return ReasonFull
	}
	w.place = l.waiters.PushBack(w)
	q.countWaiting(l, 1)
	q.wakeDispatcher()
	return ""
}

func (q *queue) lane(w *waiter) *lane {
	key := keyOf(w)
	if l := q.lanes[key]; l != nil {
		return l
	}
	l := &lane{long: w.info.Class.Long}
	q.lanes[key] = l
	at := len(q.order)
	if !l.long {
		for at > 0 && q.order[at-1].long {
			at--
		}
	}
	q.order = append(q.order, nil)
	copy(q.order[at+1:], q.order[at:])
	q.order[at] = l
	return l
}

func limitOf(c config.Class) int {
	if c.QueueLimit > 0 {
		return c.QueueLimit
	}
	return config.DefaultQueueLimit
}

// displaceLong refuses the long request that came last and reports whether there was one.
func (q *queue) displaceLong() bool {
	var last *waiter
	for _, l := range q.order {
		if !l.long || l.waiters.Len() == 0 {
			continue
		}
		if w := l.waiters.Back().Value.(*waiter); last == nil || w.since.After(last.since) {
			last = w
		}
	}
	if last == nil {
		return false
	}
	q.remove(last)
	last.granted <- grant{reason: ReasonEvicted}
	return true
}

// leave takes the waiter out of its lane. An outcome that came first is returned,
// but a slot that comes too late is given back.
func (q *queue) leave(w *waiter, reason Reason) grant {
	q.mu.Lock()
	if w.place != nil {
		q.remove(w)
		q.mu.Unlock()
		return grant{reason: reason}
	}
	q.mu.Unlock()
	outcome := <-w.granted
	if outcome.reason != "" {
		return outcome
	}
	outcome.choice.Release()
	return grant{reason: reason}
}

func (q *queue) remove(w *waiter) {
	l := q.lanes[keyOf(w)]
	l.waiters.Remove(w.place)
	w.place = nil
	q.countWaiting(l, -1)
}

func (q *queue) countWaiting(l *lane, n int) {
	if l.long {
		q.longWaiting += n
		return
	}
	q.shortWaiting += n
}

func (q *queue) anyWaiting() bool { return q.length() > 0 }

func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.shortWaiting + q.longWaiting
}
