package admit

import (
	"time"

	"quetzalknot/request/route"
)

const (
	// recheckInterval is how often the dispatcher retries the heads without a signal.
	// Changes of target health and of the headroom of targets send none.
	recheckInterval = 100 * time.Millisecond
	// shortGrantsPerLong is how many slots short requests may take in a row while long
	// requests wait and hold none.
	shortGrantsPerLong = 16
)

// wakeDispatcher starts the dispatcher, or notifies the running one of a new waiter.
func (q *serviceQueue) wakeDispatcher() {
	if !q.dispatching {
		q.dispatching = true
		go q.dispatch()
		return
	}
	select {
	case q.arrived <- struct{}{}:
	default:
	}
}

// dispatch grants slots until no request waits.
func (q *serviceQueue) dispatch() {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		changed := q.chooser.Changed(q.service)
		if q.grantFreeSlots(changed) {
			return
		}
		select {
		case <-changed:
		case <-q.arrived:
		case <-ticker.C:
		}
	}
}

// grantFreeSlots grants slots to the heads of the subqueues until none can use one. It
// returns true when the dispatcher must end because no request waits. When requests of
// both kinds wait and a slot has become free after changed was obtained, it stops
// early, so that the kind with priority is offered that slot first.
func (q *serviceQueue) grantFreeSlots(changed <-chan struct{}) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for q.grantNext(now, changed) {
	}
	if q.shortWaiting+q.longWaiting > 0 {
		return false
	}
	q.dispatching = false
	return true
}

// grantNext grants a slot to the first head that can use one. It reports whether it
// did.
func (q *serviceQueue) grantNext(now time.Time, changed <-chan struct{}) bool {
	longFirst := q.longHasPriority()
	return q.grantByKind(now, longFirst, nil) || q.grantByKind(now, !longFirst, changed)
}

// longHasPriority reports whether the next slot is offered to long requests first: some
// wait, this host runs none, and since the last long one short requests have taken
// shortGrantsPerLong slots while long ones waited.
func (q *serviceQueue) longHasPriority() bool {
	return q.longWaiting > 0 && q.longInFlight == 0 && q.shortGrants >= shortGrantsPerLong
}

// grantByKind grants a slot to the head of the first long subqueue, or of the first
// short one, that can use it.
func (q *serviceQueue) grantByKind(now time.Time, long bool, changed <-chan struct{}) bool {
	for _, sub := range q.dispatchOrder {
		if sub.long == long && q.grantHead(sub, now, changed) {
			return true
		}
	}
	return false
}

// grantHead grants a slot to the first waiter of a subqueue that can still meet its
// deadline. While requests of the other kind wait, it returns a slot that became free
// after changed was obtained: the other kind has priority and has not been offered that
// slot yet.
func (q *serviceQueue) grantHead(sub *subqueue, now time.Time, changed <-chan struct{}) bool {
	for sub.waiters.Len() > 0 && (!sub.long || q.longLimit.allows(q.longInFlight, now)) {
		w := sub.waiters.Front().Value.(*waiter)
		if w.cannotMeetDeadline(now) {
			q.remove(w)
			w.result <- waitResult{reason: ReasonDeadline}
			continue
		}
		choice, err := q.chooser.Choose(w.info, w.snap, w.tried)
		if err != nil {
			return false
		}
		if q.otherKindWaiting(sub) && isClosed(changed) {
			evSlotReturned.Log(q.log).Str("request", w.info.ID).Str("service", q.service).
				Str("class", w.info.Class.Name).Str("target", choice.Target.Name).Send()
			choice.Release()
			return false
		}
		if waited := now.Sub(w.arrivedAt); !sub.long && waited > shortWaitTolerance {
			q.longLimit.recordShortWait(q.longInFlight, now)
		}
		q.remove(w)
		w.result <- waitResult{choice: q.recordGrant(w, choice)}
		return true
	}
	return false
}

func (q *serviceQueue) otherKindWaiting(sub *subqueue) bool {
	if sub.long {
		return q.shortWaiting > 0
	}
	return q.longWaiting > 0
}

func isClosed(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	default:
		return false
	}
}

// recordGrant counts a granted slot by kind. For a long request it also returns a
// choice that counts the end of the request.
func (q *serviceQueue) recordGrant(w *waiter, choice route.Choice) route.Choice {
	if !w.info.Class.Long {
		if q.longWaiting > 0 {
			q.shortGrants++
		}
		return choice
	}
	q.shortGrants = 0
	q.longLimit.recordStart(q.longInFlight, time.Now())
	q.longInFlight++
	return choice.WithOnDone(func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.longInFlight--
	})
}
