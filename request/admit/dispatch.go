package admit

import (
	"sync"
	"time"

	"quetzalknot/process/health"
	"quetzalknot/request/route"
)

const (
	// recheckInterval is how often the heads are offered room without a signal,
	// since health and headroom change without one.
	recheckInterval = 100 * time.Millisecond
	// shortGrantsPerLong is how many slots short work may take in a row while long
	// work waits and holds none.
	shortGrantsPerLong = 16
)

// wakeDispatcher starts the dispatcher, or tells the running one of a new waiter.
func (q *queue) wakeDispatcher() {
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

// dispatch hands out room until nobody waits.
func (q *queue) dispatch() {
	timer := time.NewTicker(recheckInterval)
	defer timer.Stop()
	for {
		changed := q.chooser.Changed(q.service)
		if q.handOut(changed) {
			return
		}
		select {
		case <-changed:
		case <-q.arrived:
		case <-timer.C:
		}
	}
}

// handOut offers room to the heads of the lanes and reports whether the
// dispatcher may end because nobody waits. It stops early when room appeared
// after changed was taken.
func (q *queue) handOut(changed <-chan struct{}) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for q.serveOne(now, changed) {
	}
	if q.shortWaiting+q.longWaiting > 0 {
		return false
	}
	q.dispatching = false
	return true
}

// serveOne gives a slot to the head of the first lane that can use one. It
// reports whether it did.
func (q *queue) serveOne(now time.Time, changed <-chan struct{}) bool {
	longFirst := q.longDue()
	return q.serveLanes(now, longFirst, nil) || q.serveLanes(now, !longFirst, changed)
}

// longDue reports whether the next slot is offered to long work first: it waits,
// this host runs none of it, and short work has had its turns.
func (q *queue) longDue() bool {
	return q.longWaiting > 0 && q.longInFlight == 0 && q.shortGrants >= shortGrantsPerLong
}

func (q *queue) serveLanes(now time.Time, long bool, changed <-chan struct{}) bool {
	for _, l := range q.order {
		if l.long == long && q.serveHead(l, now, changed) {
			return true
		}
	}
	return false
}

// serveHead offers room to the first waiter of a lane that can still make its
// deadline. Room that appeared after changed was taken is left alone while work of
// the other kind waits: it goes first and has not been offered this room.
func (q *queue) serveHead(l *lane, now time.Time, changed <-chan struct{}) bool {
	for l.waiters.Len() > 0 && (!l.long || q.longLimit.allows(q.longInFlight, now)) {
		w := l.waiters.Front().Value.(*waiter)
		if w.late(now) {
			q.remove(w)
			w.granted <- grant{reason: ReasonDeadline}
			continue
		}
		choice, err := q.chooser.Choose(w.info, w.snap, w.tried)
		if err != nil {
			return false
		}
		if q.otherKindWaits(l) && closed(changed) {
			evReturned.Log(q.log).Str("request", w.info.ID).Str("service", q.service).
				Str("class", w.info.Class.Name).Str("target", choice.Target.Name).Send()
			choice.Release()
			return false
		}
		if waited := now.Sub(w.since); !l.long && waited > shortWaitTolerance {
			q.longLimit.shortWaited(q.longInFlight, now)
		}
		q.remove(w)
		w.granted <- grant{choice: q.count(w, choice)}
		return true
	}
	return false
}

func (q *queue) otherKindWaits(l *lane) bool {
	if l.long {
		return q.shortWaiting > 0
	}
	return q.longWaiting > 0
}

func closed(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	default:
		return false
	}
}

// count notes which kind of work got a slot and, for long work, when it ends.
func (q *queue) count(w *waiter, choice route.Choice) route.Choice {
	if !w.info.Class.Long {
		if q.longWaiting > 0 {
			q.shortGrants++
		}
		return choice
	}
	q.shortGrants = 0
	q.longInFlight++
	return onDone(choice, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.longInFlight--
	})
}

// onDone returns a choice that calls f once before its slot is given back.
func onDone(choice route.Choice, f func()) route.Choice {
	done := choice.Done
	once := sync.OnceFunc(f)
	choice.Done = func(o health.Outcome) {
		once()
		done(o)
	}
	choice.Release = func() { choice.Done(health.Outcome{Cancelled: true}) }
	return choice
}
