package soak

import (
	"context"
	"strconv"
	"sync"
	"time"

	"quetzalknot/platform/standin"
)

const (
	// noticeSettle is how long after a target first reported a limit it applies, and how long after a fault of the
	// target's link nothing is checked.
	noticeSettle = 4 * time.Second
	// noticeMargin is how long a response may take before its notice counts at a host.
	noticeMargin = 500 * time.Millisecond
	// A target with a limit tolerates limitOverrun times what that allows and limitSlack requests in
	// limitWindow.
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
	// pauseTime is the time for which a target that turns requests away accepts none, and maxInPause how many
	// may reach it all the same.
	pauseTime  = 3 * time.Second
	maxInPause = 2
)

// limits are the limits, in requests a second, that targets report.
var limits = []string{"1", "0.5", "2", "5", "20", "0"}

// noticeChecker checks that hosts respect what targets say in their responses. It is safe for concurrent use.
type noticeChecker struct {
	checker *checker
	// links are the disturbances of the targets' links, by index.
	links *disturbances

	mu sync.Mutex
	// said is what each target says now, by its id.
	said map[string]*saying
}

// saying is what a target says from a fault's start to its end.
type saying struct {
	index int
	kind  Kind
	limit float64
	// namedAt is when a host first passed on a response of the target that says it.
	namedAt time.Time
	// informed is when each process of a host first passed on such a response, or was refused.
	informed map[hostProcess]time.Time
	arrivals []arrival
	// inPause counts the requests of each process in its pause.
	inPause  map[hostProcess]int
	violated bool
}

// hostProcess is a process of a host.
type hostProcess struct{ host, generation int }

// arrival is a request that reached a target.
type arrival struct {
	hostProcess
	at time.Time
}

func newNoticeChecker(c *checker) *noticeChecker {
	n := &noticeChecker{checker: c, links: newDisturbances(len(c.cluster.targets)), said: make(map[string]*saying)}
	for _, t := range c.cluster.targets {
		t.ObserveAll(func(id string) { n.arrived(t.ID, id, time.Now()) }, func(id string) { n.refused(t.ID, id, time.Now()) })
	}
	return n
}

// injectNotice makes a target say something of itself in its responses.
func (in *injector) injectNotice(ctx context.Context, f Fault) {
	i := f.Victim % len(in.targets)
	t, limit := in.targets[i], limits[f.Variant%len(limits)]
	in.checker.notices.begin(t.ID, i, f.Kind, limit)
	switch f.Kind {
	case TargetSaysLeaving:
		t.Say(standin.Notice{Leaving: true})
	case TargetLimits:
		t.Say(standin.Notice{Limit: limit})
	case TargetPauses:
		t.Say(standin.Notice{RetryAfter: strconv.FormatFloat(pauseTime.Seconds(), 'f', -1, 64)})
		t.SetBehaviour(standin.Shed, 0)
	}
	sleep(ctx, f.Duration)
	in.checker.notices.end(t.ID)
	t.Say(standin.Notice{})
	if f.Kind == TargetPauses {
		t.SetBehaviour(standin.Good, 0)
	}
	if f.Kind != TargetSaysLeaving {
		return
	}
	t.Restart()
	if in.count(in.away, i, 0) == 0 {
		in.setTargetState(i, targetReady)
	}
}

func (n *noticeChecker) begin(target string, index int, kind Kind, limit string) {
	perSecond, err := strconv.ParseFloat(limit, 64)
	if err != nil {
		n.checker.recordError(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.said[target] = &saying{index: index, kind: kind, limit: perSecond, informed: make(map[hostProcess]time.Time), inPause: make(map[hostProcess]int)}
}

func (n *noticeChecker) end(target string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.said, target)
}

// processOf returns the process that a request is sent to; ok is false if its id is wrong.
func (n *noticeChecker) processOf(id string) (p hostProcess, ok bool) {
	host, err := hostOf(id)
	if err != nil || host >= len(n.checker.cluster.hosts) {
		return hostProcess{}, false
	}
	return hostProcess{host, n.checker.cluster.hosts[host].currentGeneration()}, true
}

// passedOn records a response that a host has passed on.
func (n *noticeChecker) passedOn(id string, response standin.Response) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.said[response.Target]
	if s == nil || !(s.kind == TargetSaysLeaving && response.Leaving || s.kind == TargetLimits && response.HasLimit) {
		return
	}
	s.record(n, id, time.Now())
}

// refused records that a target turns a request away.
func (n *noticeChecker) refused(target, id string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.said[target]; s != nil && s.kind == TargetPauses {
		s.record(n, id, now)
	}
}

// record records that a host knows what a target says. A pause counts again when it has ended.
func (s *saying) record(n *noticeChecker, id string, now time.Time) {
	p, ok := n.processOf(id)
	if !ok {
		return
	}
	if s.namedAt.IsZero() {
		s.namedAt = now
	}
	informed, known := s.informed[p]
	if known && (s.kind != TargetPauses || now.Sub(informed) < pauseTime) {
		return
	}
	s.informed[p], s.inPause[p] = now, 0
}

// arrived checks a request that has reached a target.
func (n *noticeChecker) arrived(target, id string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.said[target]
	p, ok := n.processOf(id)
	if s == nil || !ok || s.violated {
		return
	}
	if !n.links.settledAt(s.index, now) {
		s.arrivals, s.inPause = nil, make(map[hostProcess]int)
		return
	}
	informed, known := s.informed[p]
	if !known || now.Sub(informed) < noticeMargin || !n.checker.processes.settledAt(p.host, informed) {
		return
	}
	if s.breaks(arrival{p, now}, informed) {
		s.violated = true
		n.checker.recordViolation("request %s reached %s, which had reported %s (limit %v a second), %v after the host knew that; %d requests from all hosts in %v; %s",
			id, target, s.kind, s.limit, rounded(now.Sub(informed)), len(s.arrivals), limitWindow, n.checker.stalls.describe(p.host, informed))
	}
}

// breaks reports whether a request that has reached the target must not have done so; informed is when its host
// was informed.
func (s *saying) breaks(a arrival, informed time.Time) bool {
	switch s.kind {
	case TargetSaysLeaving:
		return a.at.Sub(informed) > changeBound+deliveryMargin
	case TargetPauses:
		if since := a.at.Sub(informed); since < noticeMargin+deliveryMargin || since > pauseTime-noticeMargin {
			return false
		}
		s.inPause[a.hostProcess]++
		return s.inPause[a.hostProcess] > maxInPause
	}
	if a.at.Sub(s.namedAt) < noticeSettle {
		return false
	}
	s.arrivals = append(s.arrivals, a)
	for a.at.Sub(s.arrivals[0].at) >= limitWindow {
		s.arrivals = s.arrivals[1:]
	}
	return float64(len(s.arrivals)) > limitOverrun*s.limit*limitWindow.Seconds()+limitSlack
}
