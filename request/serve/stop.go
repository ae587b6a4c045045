package serve

import "time"

// lateFactor is how many times its expected time a request must have left that is sent to a target in
// the second half of a stop, since its target may be slower than expected.
const lateFactor = 2

// stopWindow is the time from the start of a planned stop until requests are ended.
type stopWindow struct{ start, end time.Time }

// Stop begins a planned stop. A request is then sent to a target only if its response can be expected by
// end; others are refused. At end, each request that is still in flight gets its final response: that it
// has not run, or that it may have.
func (h *Handler) Stop(end time.Time) {
	now := time.Now()
	if !h.stop.CompareAndSwap(nil, &stopWindow{start: now, end: end}) {
		return
	}
	time.AfterFunc(end.Sub(now), h.ending.End)
}

// timeLeft returns how long a request with a deadline that is sent to a target now may take, and whether it must
// be refused if it is expected to take longer. w is nil while the host does not stop.
func (w *stopWindow) timeLeft(deadline, now time.Time) (left time.Duration, mustFit bool) {
	left = deadline.Sub(now)
	if w == nil {
		return left, false
	}
	untilEnd := w.end.Sub(now)
	if now.Sub(w.start) > untilEnd {
		untilEnd /= lateFactor
	}
	return min(left, untilEnd), true
}
