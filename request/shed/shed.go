// Package shed decides whether a request may wait for a slot at a target or is rejected for lack of capacity.
//
// shed.go is the decision, a pure function. tracker.go keeps what was asked and served lately by service, route and
// workspace, from which the decision's inputs are derived.
package shed

import "time"

const (
	// CallerRTT is the assumed round-trip time between caller and host. It counts towards the latency objective.
	CallerRTT = 20 * time.Millisecond
	// maxWaitUrgent and maxWaitOther are the longest waits accepted for requests that will miss their objective, as
	// multiples of the objective, while requests are not ordered.
	maxWaitUrgent, maxWaitOther = 3.0, 1.0
	// minPressure is the pressure of a service from which on its requests are ordered. It is above what short bursts cause
	// while there is capacity for all.
	minPressure = 0.05
)

// Reason says why a request is rejected.
type Reason uint8

const (
	// ReasonNone: the request is not rejected.
	ReasonNone Reason = iota
	// ReasonWait: the request would miss its objective and wait too long. Applies while requests are not ordered.
	ReasonWait
	// ReasonDeadline: the request would not end in the time left.
	ReasonDeadline
	// ReasonPriority: the wait is left to requests of higher priority.
	ReasonPriority
	// ReasonShare: the wait is left to workspaces that use less of the service.
	ReasonShare
	// ReasonSlot: the request is long, and a request of higher priority needs the last free slot.
	ReasonSlot
)

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	return [...]string{"none", "wait", "deadline", "priority", "share", "slot"}[r]
}

// Target holds the estimates for a request at a target.
type Target struct {
	// Expected is the expected time until the response, and Wait the part of it before a slot is free.
	Expected, Wait time.Duration
	// Spare is the number of slots that stay free while the request runs.
	Spare float64
}

// Request holds what the decision depends on besides the targets and the standing.
type Request struct {
	// Objective is the latency objective of the route; 0 means none.
	Objective time.Duration
	// TimeLeft is the time until the deadline; 0 means that there is none.
	TimeLeft time.Duration
	// RunTime is the expected run time: of the route for the standing, at the best target for the decision.
	RunTime time.Duration
	// Unmeasured is true while RunTime is only assumed, since no run of the route has been observed.
	Unmeasured bool
	// MustFit rejects the request unless it is expected to end in TimeLeft.
	MustFit bool
	// Retry is true for attempts after the first one.
	Retry bool
	// TopPriority is true if no route of the service has a higher priority.
	TopPriority bool
}

// Standing is the position of a request among those asked for lately at its service. The zero value means that
// requests are not ordered.
type Standing struct {
	// Ordered is true if requests of the service belong to workspaces.
	Ordered bool
	// Pressure is the weight of recent requests that were late, rejected or shed, relative to those asked for; it may
	// exceed 1.
	Pressure float64
	// Level is the number of higher priorities that were asked for lately.
	Level int
	// Limit is the longest wait that the request's level and share allow.
	Limit time.Duration
	// HigherSlack is the shortest time that requests of higher priority can wait; 0 if there are none.
	HigherSlack time.Duration
	// Share is the workspace's part of the recent work as a multiple of an equal share.
	Share float64
	// RouteServed and WorkspaceServed are the shares of the requests of the route and of the workspace that were
	// served lately, as multiples of that of all requests.
	RouteServed, WorkspaceServed float64
	// Starving is true if one of them is so low that the request goes before others.
	Starving bool
}

// Active reports whether requests are ordered now.
func (s Standing) Active() bool { return s.Ordered && s.Pressure >= minPressure }

// Decision is the result of Decide.
type Decision struct {
	// Accepted is true if the request is to be sent: to the fastest target if UseFastest is true, else to the best.
	Accepted, UseFastest bool
	// Reason is the reason of a rejection.
	Reason Reason
	// RetryAfter is the least time after which a retry may be accepted; 0 if it is not known.
	RetryAfter time.Duration
}

// Decide decides about a request from the estimates for the target of the lowest cost and for the fastest one.
func Decide(req Request, best, fastest Target, s Standing) Decision {
	if !s.Active() {
		return decideUnordered(req, best, fastest)
	}
	reason := check(req, best, s)
	if reason == ReasonNone {
		return Decision{Accepted: true}
	}
	if check(req, fastest, s) == ReasonNone {
		return Decision{Accepted: true, UseFastest: true}
	}
	return Decision{Reason: reason, RetryAfter: max(0, min(best.Wait, fastest.Wait)-s.Limit)}
}

// decideUnordered decides about requests that are not ordered.
func decideUnordered(req Request, best, fastest Target) Decision {
	reason := checkUnordered(req, best)
	if reason == ReasonNone {
		return Decision{Accepted: true}
	}
	if fastest.Wait > 0 || !fits(req, fastest) {
		return Decision{Reason: reason}
	}
	return Decision{Accepted: true, UseFastest: true}
}

// checkUnordered reports why a request may not be sent to a target. A request that will miss its objective takes slots
// from others, so it may wait only for a limited time, which is longer for urgent requests. A request that cannot be
// completed in the time left is not sent. Retries may wait for any time.
func checkUnordered(req Request, t Target) Reason {
	if !fits(req, t) {
		return ReasonDeadline
	}
	if t.Wait <= 0 || req.Retry {
		return ReasonNone
	}
	if req.TimeLeft > 0 && t.Expected > req.TimeLeft {
		return ReasonDeadline
	}
	if req.Objective == 0 || t.Expected+CallerRTT <= req.Objective {
		return ReasonNone
	}
	maxWait := maxWaitOther
	if req.TopPriority {
		maxWait = maxWaitUrgent
	}
	if t.Wait <= time.Duration(maxWait*float64(req.Objective)) {
		return ReasonNone
	}
	return ReasonWait
}

// check reports why a request may not be sent to a target while requests are ordered.
func check(req Request, t Target, s Standing) Reason {
	switch {
	case !fits(req, t) || req.TimeLeft > 0 && t.Expected > req.TimeLeft && (t.Wait > 0 || !req.Unmeasured):
		return ReasonDeadline
	case req.Retry: // its first attempt has already used capacity
		return ReasonNone
	case t.Wait <= 0 && t.Spare < 1 && s.HigherSlack > 0 && req.RunTime > s.HigherSlack && !s.Starving:
		return ReasonSlot
	case t.Wait <= 0 || t.Wait <= s.Limit:
		return ReasonNone
	case s.Share > 1 && !s.Starving:
		return ReasonShare
	default:
		return ReasonPriority
	}
}

// fits reports whether a request that must end in the time left is expected to.
func fits(req Request, t Target) bool { return !req.MustFit || t.Expected <= req.TimeLeft }

// CanSkipRest reports whether the best target may be taken without the estimates of the remaining ones.
func CanSkipRest(req Request, best Target, s Standing) bool {
	if s.Active() {
		return best.Wait <= 0 && check(req, best, s) == ReasonNone
	}
	return checkUnordered(req, best) == ReasonNone
}

// Late reports whether no target could respond within the objective because all have to queue the request.
func Late(req Request, fastest Target) bool {
	return fastest.Wait > 0 && req.Objective > 0 && fastest.Expected+CallerRTT > req.Objective
}
