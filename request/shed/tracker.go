package shed

import (
	"math"
	"sync"
	"time"
)

const (
	// countHalfLife is the half-life of what was asked and served.
	countHalfLife = 4 * time.Second
	// pressureHalfLife is the half-life of the pressure.
	pressureHalfLife = time.Second
	// pressurePrior is the number of requests in time that are assumed in addition, so that single late requests are
	// no pressure.
	pressurePrior = 10
	// orderWeight is what a rejection by the order counts as pressure. It is below 1, so that the order ends when the
	// rejected requests are few enough to be served.
	orderWeight = 0.2
	// minLevelRatio and lowestLimit bound the wait limits of lower priorities: each is at least minLevelRatio times the
	// next higher one, and with many priorities the lowest is about lowestLimit times the highest, since smaller
	// limits leave slots idle.
	minLevelRatio, lowestLimit = 0.4, 0.1
	// minWorkFactor is the factor of the wait limit for requests that run much longer than others.
	minWorkFactor = 0.5
	// loneShare is the share of a workspace that is the only one of its priority.
	loneShare = 0.5
	// starving is the served share, relative to all requests, below which the limit of a request rises, up to its largest
	// value at starved: no route and no workspace is to fall below a quarter. It rises gradually, so that long requests do
	// not come in bursts.
	starving, starved = 0.4, 0.25
	// starvingFactor raises the limit of starved requests above those of the highest priority.
	starvingFactor = 1.25
	// minAsked is how many recent requests are needed to tell that a route or workspace is starving.
	minAsked = 4
	// minSlack bounds, as a part of the objective, the time that a request can wait from below: routes whose run time
	// is close to the objective would otherwise be rejected at the shortest queue.
	minSlack = 0.125
	// defaultObjective stands in for the objective of routes that have none.
	defaultObjective = 10 * time.Second
	// slackWeight is the weight of a request that can wait longer than others of its level.
	slackWeight = 0.02
	// ceilingHalfLife is the half-life of the memory of the wait at which targets shed.
	ceilingHalfLife = 2 * time.Second
	// ceilingStep is the factor by which a target that sheds lowers the ceiling at most.
	ceilingStep = 0.95
	// levelTimeout is how long a priority that is not asked for delays lower ones.
	levelTimeout = 5 * time.Second
	// sweepInterval is the time between removals of workspaces and routes that ask no more.
	sweepInterval = time.Second
	// decayStep is the shortest time after which counts are scaled.
	decayStep = 5 * time.Millisecond
	// minActive is the decayed number of requests of an active workspace.
	minActive = 0.05

	maxLevels     = 16
	maxServices   = 1024
	maxRoutes     = 512
	maxWorkspaces = 4096
)

// Class identifies the requests that are counted together.
type Class struct {
	Service, Route, Workspace string
	// HasWorkspace is false for requests without a workspace.
	HasWorkspace bool
	// WorkspacePriority and RoutePriority are the priorities; 0 is the highest.
	WorkspacePriority, RoutePriority int
}

// workspacePriority returns the priority of the workspace; that of the route stands in for it if there is none.
func (c Class) workspacePriority() int {
	if c.HasWorkspace {
		return c.WorkspacePriority
	}
	return c.RoutePriority
}

// Tracker counts what is asked for and served. It is safe for concurrent use. A nil Tracker orders nothing.
type Tracker struct {
	mu       sync.Mutex
	services map[string]*service
	// start is the time of the first request. All other times are durations since then, which are cheaper to compare.
	start time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{services: make(map[string]*service)} }

// sinceStart returns a time as the tracker keeps it. The lock must be held.
func (t *Tracker) sinceStart(at time.Time) time.Duration {
	if t.start.IsZero() {
		t.start = at
	}
	return at.Sub(t.start)
}

// counts are decayed numbers of requests and their run time in seconds.
type counts struct {
	asked, served, work float64
	at                  time.Duration
	// priority is that of a workspace.
	priority int
}

// starvation returns how far a served share relative to that of all requests has fallen from starving (0) to
// starved (1).
func (c *counts) starvation(served float64) float64 {
	if c.asked < minAsked {
		return 0
	}
	return max(0, min(1, (starving-served)/(starving-starved)))
}

// decay scales the counts to now. It skips steps below decayStep, which would cost more than they change.
func (c *counts) decay(now time.Duration, halfLife time.Duration) {
	if age := now - c.at; age > decayStep {
		w := decayFactor(float64(age) / float64(halfLife))
		c.asked, c.served, c.work, c.at = c.asked*w, c.served*w, c.work*w, now
	}
}

// pressure counts recent requests, and with their weights those that were late, rejected or shed.
type pressure struct {
	asked, late float64
	at          time.Duration
}

// decay scales the counts to now. It skips steps below decayStep, which would cost more than they change.
func (p *pressure) decay(now time.Duration, halfLife time.Duration) {
	if age := now - p.at; age > decayStep {
		w := decayFactor(float64(age) / float64(halfLife))
		p.asked, p.late, p.at = p.asked*w, p.late*w, now
	}
}

// decayFactor returns 2 to the power of -x; for small x by a series with an error below 0.00001, which is faster.
func decayFactor(x float64) float64 {
	if x > 0.05 {
		return math.Exp2(-x)
	}
	y := math.Ln2 * x
	return 1 - y + y*y/2
}

// servedShare returns the part of the requests that were served.
func (c *counts) servedShare() float64 { return (c.served + 1) / (c.asked + 1) }

// level is one priority of a service.
type level struct {
	workspace, route int
	slack            time.Duration
	askedAt          time.Duration
}

// group holds the number of active workspaces of one priority and their work.
type group struct {
	priority, active int
	work             float64
}

// service is the state of one service.
type service struct {
	levels [maxLevels]level
	n      int
	// levelsCheckedAt is when unused levels were last removed.
	levelsCheckedAt time.Duration
	// orderedUntil is the end of the time in which requests are ordered because one had a workspace. Until then, requests
	// without a workspace are ordered as well.
	orderedUntil time.Duration
	pressure     pressure
	// ceiling is the wait at which targets shed, at ceilingAt; 0 if none did.
	ceiling   time.Duration
	ceilingAt time.Duration

	total      counts
	routes     map[string]*counts
	workspaces map[string]*counts
	// otherRoutes and otherWorkspaces count those for which the maps have no room.
	otherRoutes, otherWorkspaces counts
	// groups are the active workspaces by priority, as of sweptAt.
	groups  [maxLevels]group
	nGroups int
	sweptAt time.Duration
}

// Standing returns the position of a request.
func (t *Tracker) Standing(c Class, req Request, at time.Time) Standing {
	if t == nil {
		return Standing{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.sinceStart(at)
	s := t.service(c, now)
	if s == nil {
		return Standing{}
	}
	return s.standing(c, req, now)
}

// service returns the state of the service of a class, or nil if its requests are not ordered.
func (t *Tracker) service(c Class, now time.Duration) *service {
	s := t.services[c.Service]
	if s == nil {
		if !c.HasWorkspace {
			return nil
		}
		if len(t.services) >= maxServices {
			t.removeIdle(now)
		}
		if len(t.services) >= maxServices {
			return nil
		}
		s = &service{routes: make(map[string]*counts), workspaces: make(map[string]*counts)}
		t.services[c.Service] = s
	}
	if c.HasWorkspace {
		s.orderedUntil = now + levelTimeout
	}
	if now > s.orderedUntil {
		return nil
	}
	return s
}

func (t *Tracker) removeIdle(now time.Duration) {
	for name, s := range t.services {
		if now > s.orderedUntil {
			delete(t.services, name)
		}
	}
}

// standing returns the position of a request of the service.
func (s *service) standing(c Class, req Request, now time.Duration) Standing {
	s.pressure.decay(now, pressureHalfLife)
	st := Standing{Ordered: true, Pressure: s.pressure.late / (s.pressure.asked + pressurePrior), Share: 1, RouteServed: 1, WorkspaceServed: 1}
	st.Level = s.level(c, slack(req), now)
	if !st.Active() {
		return st
	}
	top := s.levels[0].slack
	limit := s.levels[0].slack
	ratio := levelRatios[s.n]
	for i := 1; i <= st.Level; i++ {
		top = min(top, s.levels[i].slack)
		limit = min(time.Duration(ratio*float64(limit)), s.levels[i].slack)
		st.HigherSlack = minPositive(st.HigherSlack, s.levels[i-1].slack)
	}
	if ceiling := s.currentCeiling(now); ceiling > 0 && ceiling < top {
		limit = time.Duration(float64(limit) * float64(ceiling) / float64(top))
		top = ceiling
	}
	s.total.decay(now, countHalfLife)
	all := s.total.servedShare()
	route, workspace := s.route(c, now), s.workspace(c, now)
	st.RouteServed, st.WorkspaceServed = route.servedShare()/all, workspace.servedShare()/all
	st.Share = s.share(workspace, c.workspacePriority())
	st.Limit = time.Duration(float64(limit) * shareFactor(st.Share, ratio) * s.workFactor(req.RunTime))
	if u := max(route.starvation(st.RouteServed), workspace.starvation(st.WorkspaceServed)); u > 0 {
		st.Starving = true
		st.Limit += time.Duration(u * (starvingFactor*float64(top) - float64(st.Limit)))
	}
	return st
}

// levelRatios are the ratios of the wait limits of successive priorities by the number of priorities.
var levelRatios = func() (ratios [maxLevels + 1]float64) {
	ratios[0], ratios[1] = lowestLimit, lowestLimit // bounds shareFactor only
	for n := 2; n < len(ratios); n++ {
		ratios[n] = max(minLevelRatio, math.Pow(lowestLimit, 1/float64(n-1)))
	}
	return ratios
}()

// share returns the work of a workspace as a multiple of an equal share among the active ones of its priority. It is
// below 1 if that is unknown or there are no others.
func (s *service) share(workspace *counts, priority int) float64 {
	for _, g := range s.groups[:s.nGroups] {
		if g.priority == priority && g.active > 1 && g.work > 0 {
			return workspace.work * float64(g.active) / g.work
		}
	}
	return loneShare
}

// shareFactor returns the factor of the wait limit for a share: 1 for none, and the less the larger the share, so
// that the workspaces with less of the service go first. It is not below the ratio to the next lower priority, so
// that urgent requests of a large workspace go before less urgent ones of others.
func shareFactor(share, ratio float64) float64 {
	return ratio + (1-ratio)/(1+share*share/2)
}

// workFactor returns the factor of the wait limit for a run time: the longer a request runs, the more others miss their
// objective because of it.
func (s *service) workFactor(run time.Duration) float64 {
	if run <= 0 || s.total.served <= 0 || s.total.work <= 0 {
		return 1
	}
	return min(1, max(minWorkFactor, math.Sqrt(s.total.work/s.total.served/run.Seconds())))
}

func minPositive(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// slack returns how long a request can wait and still be in time.
func slack(req Request) time.Duration {
	objective := req.Objective
	if objective == 0 {
		objective = defaultObjective
	}
	if req.Unmeasured {
		return objective / 2
	}
	return max(objective-req.RunTime-CallerRTT, time.Duration(minSlack*float64(objective)))
}

// level returns the index of the level of a class. If there are too many, the lowest ones are one level.
func (s *service) level(c Class, slack time.Duration, now time.Duration) int {
	if now-s.levelsCheckedAt > levelTimeout/10 {
		s.removeUnusedLevels(now)
	}
	i := 0
	priority := c.workspacePriority()
	for i = 0; i < s.n; i++ {
		l := &s.levels[i]
		if l.workspace > priority || l.workspace == priority && l.route >= c.RoutePriority {
			break
		}
	}
	if i < s.n && s.levels[i].workspace == priority && s.levels[i].route == c.RoutePriority || i == maxLevels {
		i = min(i, maxLevels-1)
		l := &s.levels[i]
		l.askedAt = now
		if slack < l.slack {
			l.slack = slack
		} else {
			l.slack += time.Duration(slackWeight * float64(slack-l.slack))
		}
		return i
	}
	s.n = min(s.n+1, maxLevels)
	copy(s.levels[i+1:s.n], s.levels[i:])
	s.levels[i] = level{workspace: priority, route: c.RoutePriority, slack: slack, askedAt: now}
	return i
}

// removeUnusedLevels removes the levels that nobody asks for.
func (s *service) removeUnusedLevels(now time.Duration) {
	s.levelsCheckedAt = now
	i := 0
	for _, l := range s.levels[:s.n] {
		if now-l.askedAt < levelTimeout {
			s.levels[i] = l
			i++
		}
	}
	s.n = i
}

func (s *service) currentCeiling(now time.Duration) time.Duration {
	if s.ceiling == 0 {
		return 0
	}
	grown := float64(s.ceiling) * math.Exp2(float64(now-s.ceilingAt)/float64(ceilingHalfLife))
	return time.Duration(min(grown, float64(time.Hour)))
}

// lowerCeiling lowers the ceiling towards the wait expected at a target that shed. It moves in small steps, because a
// target that sheds at a short expected wait shows only that the estimate was out of date.
func (s *service) lowerCeiling(wait time.Duration, now time.Duration) {
	ceiling := s.currentCeiling(now)
	if ceiling == 0 || ceiling > s.levels[0].slack {
		ceiling = s.levels[0].slack
	}
	s.ceiling, s.ceilingAt = max(min(wait, ceiling), time.Duration(ceilingStep*float64(ceiling))), now
}

func (s *service) route(c Class, now time.Duration) *counts {
	return find(s.routes, c.Route, maxRoutes, &s.otherRoutes, now)
}

func (s *service) workspace(c Class, now time.Duration) *counts {
	w := find(s.workspaces, c.Workspace, maxWorkspaces, &s.otherWorkspaces, now)
	w.priority = c.workspacePriority()
	return w
}

func find(m map[string]*counts, name string, limit int, other *counts, now time.Duration) *counts {
	c := m[name]
	if c == nil {
		c = other
		if len(m) < limit {
			c = new(counts)
			m[name] = c
		}
	}
	c.decay(now, countHalfLife)
	return c
}

// Record counts a request with the decision about it.
func (t *Tracker) Record(c Class, req Request, fastest Target, d Decision, at time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.sinceStart(at)
	s := t.services[c.Service]
	if s == nil || now > s.orderedUntil || req.Retry {
		return
	}
	s.sweep(now)
	s.pressure.decay(now, pressureHalfLife)
	s.pressure.asked++
	switch {
	case Late(req, fastest) || d.Reason == ReasonWait:
		s.pressure.late++
	case fastest.Wait > 0 && (d.Reason == ReasonPriority || d.Reason == ReasonShare):
		s.pressure.late += orderWeight
	}
	s.total.decay(now, countHalfLife)
	for _, n := range [...]*counts{&s.total, s.route(c, now), s.workspace(c, now)} {
		n.asked++
		if d.Accepted {
			n.served++
			n.work += req.RunTime.Seconds()
		}
	}
}

// RecordShed counts that a target shed a request that was accepted with an expected wait.
func (t *Tracker) RecordShed(c Class, req Request, wait time.Duration, at time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.sinceStart(at)
	s := t.services[c.Service]
	if s == nil || now > s.orderedUntil {
		return
	}
	s.lowerCeiling(wait, now)
	s.pressure.decay(now, pressureHalfLife)
	s.pressure.late++
	if req.Retry {
		return
	}
	s.total.decay(now, countHalfLife)
	for _, n := range [...]*counts{&s.total, s.route(c, now), s.workspace(c, now)} {
		n.served = max(0, n.served-1)
		n.work = max(0, n.work-req.RunTime.Seconds())
	}
}

// sweep removes routes and workspaces that ask no more and counts the active workspaces.
func (s *service) sweep(now time.Duration) {
	if now-s.sweptAt < sweepInterval {
		return
	}
	s.sweptAt = now
	s.nGroups = 0
	for name, c := range s.workspaces {
		if c.decay(now, countHalfLife); c.asked < minActive {
			delete(s.workspaces, name)
			continue
		}
		s.addToGroup(c)
	}
	for name, c := range s.routes {
		if c.decay(now, countHalfLife); c.asked < minActive {
			delete(s.routes, name)
		}
	}
}

// addToGroup counts an active workspace. The last group takes those for which there is no room.
func (s *service) addToGroup(c *counts) {
	i := 0
	for i < s.nGroups && s.groups[i].priority != c.priority {
		i++
	}
	switch {
	case i == maxLevels:
		i--
	case i == s.nGroups:
		s.groups[i] = group{priority: c.priority}
		s.nGroups++
	}
	s.groups[i].active++
	s.groups[i].work += c.work
}
