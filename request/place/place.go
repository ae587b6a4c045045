// Package place selects the target of a request.
//
// It selects the target with the lowest expected cost. The cost is made up of the expected
// run time, which depends on whether the target has the object cached and on how much its
// machine is slowed down, the wait for a slot, the round-trip time, the price of the bytes
// transferred and the target's failure rate. All hosts rank the targets of an object by
// the same rendezvous hash, so that hosts without information about an object send it to
// the same target.
//
// place.go selects a target, ranking.go ranks the targets of an object and keeps the
// ranking, cost.go estimates the cost of a target, profile.go keeps running means of a
// route's run times and body sizes.
package place

import (
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quetzalknot/process/fleet"
	"quetzalknot/request/shed"
	"quetzalknot/version/routes"
)

// Costs are the prices of network transfers, as an equivalent delay per kilobyte.
type Costs struct {
	CrossDomain, CrossRegion time.Duration
}

// Options configure a Chooser. A CacheTTL of 0 selects its default.
type Options struct {
	// Region and FailureDomain are the region and the failure domain of this host.
	Region, FailureDomain string
	Costs                 Costs
	// CacheTTL is how long a target is assumed to keep an object cached.
	CacheTTL time.Duration
}

const (
	defaultCacheTTL = 20 * time.Second
	// initialCachedRatio is the assumed ratio of the cached to the uncached run time
	// until run times have been observed.
	initialCachedRatio = 0.35
	// remoteRegionPenalty is added to the scores of targets in other regions, as a
	// multiple of the mean gap between scores in a region of mean capacity.
	remoteRegionPenalty = 1.2
	// typicalBody and bodyOffset are sizes in bytes. sizeWeight divides the body size plus
	// bodyOffset by typicalBody and raises the result to the power weightExponent.
	typicalBody, bodyOffset = 5000.0, 2500.0
	weightExponent          = 0.5
	// maxRegions is the largest number of regions counted.
	maxRegions = 16
	// cachedElsewhereFactor scales the cached probabilities of an object that this host
	// recently sent to some target. The first target of the ranking is exempt.
	cachedElsewhereFactor = 0.6
	// latePenalty is the cost of a late response, as a multiple of the route's objective.
	latePenalty = 1.0
	// uncachedPenalty is the cost that a run without the cached object causes to the
	// requests queued behind it, as a multiple of the additional run time.
	uncachedPenalty = 6.0
	// runTimeSpread is the standard deviation of run times relative to their mean.
	runTimeSpread = 0.12
	// failurePenalty is the cost of a request that is certain to fail.
	failurePenalty = 2 * time.Second
	// coldStartFactor is the slowdown of a target during its cold start.
	coldStartFactor = 2.0
	// overdueSlack is how long a target may go without a response in addition to twice
	// its mean run time.
	overdueSlack = 400 * time.Millisecond
	// newTargetBonus is subtracted from the cost of a newly joined target that has not
	// had a request, at the host responsible for its first one, for idempotent routes.
	newTargetBonus = 10 * time.Second
	// minSlowdown is the lower bound of the slowdown that a target's load reports show.
	minSlowdown = 0.5
	// maxObjects is the capacity of the cache of objects.
	maxObjects = 8192
	// sampleWeight is the weight of a new sample in exponentially weighted moving averages.
	sampleWeight = 0.05
)

var (
	// ErrNoTarget reports that the request may not be sent to any target.
	ErrNoTarget = errors.New("no usable target")
	// ErrOverloaded reports that the request would have to wait too long for a slot.
	ErrOverloaded = errors.New("targets are overloaded")
)

// cachedProbabilities are the probabilities, by rank, that a target has an object cached
// that this host did not send to it.
var cachedProbabilities = [rankingSize]float64{0.9, 0.5, 0.25, 0.12}

// Request describes a request that needs a target.
type Request struct {
	Route   *routes.Route
	Service string
	// Workspace is that of the caller; nil if it has none.
	Workspace *routes.Workspace
	// Object is the hash of the object that the request concerns; 0 means none.
	Object uint64
	// BodyBytes is the size of the request's body.
	BodyBytes int64
	// TimeLeft is the time until the caller's deadline; 0 means that there is none.
	TimeLeft time.Duration
	// MustFit refuses the request unless it is expected to end in TimeLeft.
	MustFit bool
	// Tried are the IDs of the targets of earlier attempts.
	Tried []string
}

// Choice is the selected target with the estimates that led to its selection.
type Choice struct {
	Target *fleet.Target
	ID     string
	Addr   string
	// born is the start time of the target in its report.
	born int64
	// Expected is the expected time until the response.
	Expected time.Duration
	Wait     time.Duration
	Cached   bool
	// Considered is the number of targets that were compared.
	Considered int
	// RunTime is the expected run time without the wait and the round trip.
	RunTime time.Duration
	rtt     time.Duration
	number  uint64
	bytes   int64
	// baseRunTime is the expected run time on a target that is not slowed down.
	baseRunTime time.Duration
	// Standing and Decision are the inputs and the result of the decision whether the request may be sent.
	Standing shed.Standing
	Decision shed.Decision
	// FastestWait is the expected wait at the target with the shortest expected time.
	FastestWait time.Duration
	spare       float64
	class       shed.Class
	shed        shed.Request
}

// Priorities returns the priorities of the request's workspace and route, for metrics and logs.
func (c Choice) Priorities() string {
	workspace := "none"
	if c.class.HasWorkspace {
		workspace = strconv.Itoa(c.class.WorkspacePriority)
	}
	return workspace + "." + strconv.Itoa(c.class.RoutePriority)
}

// estimates returns what the decision whether to send the request depends on.
func (c Choice) estimates() shed.Target {
	return shed.Target{Expected: c.Expected, Wait: c.Wait, Spare: c.spare}
}

// Incarnation identifies the start of the target that was selected.
func (c Choice) Incarnation() string { return c.ID + "/" + strconv.FormatInt(c.born, 10) }

// Chooser selects targets. It is safe for concurrent use.
type Chooser struct {
	opts  Options
	fleet *fleet.Fleet
	order *shed.Tracker

	// objects is guarded by the fleet's lock.
	objects *simplelru.LRU[uint64, *objectInfo]
	// compareAll disables the shortcut of Choose, so that all targets are compared.
	compareAll bool

	mu       sync.Mutex
	profiles map[string]*profile
}

// New returns a Chooser for the targets of a fleet.
func New(f *fleet.Fleet, opts Options) *Chooser {
	if opts.CacheTTL == 0 {
		opts.CacheTTL = defaultCacheTTL
	}
	objects, err := simplelru.NewLRU[uint64, *objectInfo](maxObjects, nil)
	if err != nil {
		panic(err) // the limit is a positive constant
	}
	return &Chooser{opts: opts, fleet: f, order: shed.NewTracker(), objects: objects, profiles: make(map[string]*profile)}
}

// ObjectHash returns the hash of an object of a service and route, or 0 for an empty key.
func ObjectHash(service, route, key string) uint64 {
	if key == "" {
		return 0
	}
	return xxhash.Sum64String(service+"\x00"+route+"\x00"+key) | 1
}

// Choose selects the target with the lowest cost and records the request as in flight
// there. It returns ErrNoTarget or ErrOverloaded when the request must not be sent.
//
// It evaluates the targets that are likely to have the object cached first, and the
// others only if one of them could have a lower cost. When package shed does not accept the
// wait at the target with the lowest cost, it selects the target with the shortest expected
// time if that is accepted, and else returns ErrOverloaded with the inputs of the decision.
func (c *Chooser) Choose(req Request, now time.Time) (Choice, error) {
	p := c.profile(req.Route)
	c.fleet.Lock()
	defer c.fleet.Unlock()
	targets := c.fleet.Service(req.Service)
	info := c.objectState(targets, req, p)
	p.objectCached = c.objectCached(info, req, now)
	s := search{c: c, req: &req, profile: p, object: info, now: now, bestCost: math.MaxInt64, shed: shedRequest(&req, p)}
	s.standing = c.order.Standing(classOf(&req), s.shed, now)
	s.considerLikely()
	if !s.decided() {
		s.considerRest(targets)
	}
	s.best.Considered, s.fastest.Considered = s.considered, s.considered
	best := s.best
	if best.Target == nil {
		return Choice{}, ErrNoTarget
	}
	class := classOf(&req)
	s.shed.RunTime = best.baseRunTime
	decision := shed.Decide(s.shed, best.estimates(), s.fastest.estimates(), s.standing)
	c.order.Record(class, s.shed, s.fastest.estimates(), decision, now)
	if decision.UseFastest {
		best = s.fastest
	}
	best.FastestWait = s.fastest.Wait
	best.Standing, best.Decision, best.class, best.shed = s.standing, decision, class, s.shed
	if !decision.Accepted {
		return best, ErrOverloaded
	}
	best.born = best.Target.Born
	best.rtt, best.bytes = best.Target.RTT, req.BodyBytes
	best.number = c.fleet.Begin(best.Target, fleet.Work{Object: req.Object, RunTime: best.baseRunTime, Expected: best.Expected}, now)
	info.recordSent(best.Target)
	return best, nil
}

// search is the state of one call of Choose.
type search struct {
	c       *Chooser
	req     *Request
	profile profile
	object  *objectInfo
	now     time.Time

	best, fastest Choice
	bestCost      time.Duration
	considered    int

	shed     shed.Request
	standing shed.Standing
}

// considerLikely evaluates the targets that are likely to have the object cached.
func (s *search) considerLikely() {
	for i, t := range s.object.ranking.targets {
		if t != nil && !slices.Contains(s.object.ranking.targets[:i], t) {
			s.consider(t)
		}
	}
	for _, t := range s.object.recent {
		if t != nil && !s.object.ranking.contains(t) {
			s.consider(t)
		}
	}
}

// considerRest evaluates the targets that considerLikely skips.
func (s *search) considerRest(targets []*fleet.Target) {
	for _, t := range targets {
		if !s.object.ranking.contains(t) && !slices.Contains(s.object.recent[:], t) {
			s.consider(t)
		}
	}
}

// consider evaluates one target and updates the best and the fastest choice.
func (s *search) consider(t *fleet.Target) {
	if !s.c.allowed(t, s.req, s.now) {
		return
	}
	s.considered++
	cost, choice := s.c.cost(t, s.req, &s.profile, &s.object.ranking, s.now)
	if s.fastest.Target == nil || choice.Expected < s.fastest.Expected {
		s.fastest = choice
	}
	if cost < s.bestCost {
		s.bestCost, s.best = cost, choice
	}
}

// decided reports whether no remaining target can have a lower cost than the best so far.
func (s *search) decided() bool {
	if s.c.compareAll || s.best.Target == nil || !s.req.Route.Affinity || s.req.Object == 0 {
		return false
	}
	return s.bestCost <= s.profile.minUncachedCost() && !s.c.fleet.HasNewcomers(s.now) && shed.CanSkipRest(s.shed, s.best.estimates(), s.standing)
}

// shedRequest returns what the decision whether to send the request depends on besides its targets.
func shedRequest(req *Request, p profile) shed.Request {
	return shed.Request{
		Objective: req.Route.Objective, TimeLeft: req.TimeLeft, RunTime: p.uncached, Unmeasured: !p.measured,
		MustFit: req.MustFit, Retry: len(req.Tried) > 0, TopPriority: req.Route.TopPriority,
	}
}

// classOf returns the class of a request in the order of rejection.
func classOf(req *Request) shed.Class {
	c := shed.Class{Service: req.Service, Route: req.Route.Name, RoutePriority: req.Route.Priority}
	if w := req.Workspace; w != nil {
		c.Workspace, c.HasWorkspace, c.WorkspacePriority = w.Name, true, w.Priority
	}
	return c
}

// objectCached reports whether a usable target has the object cached because this host
// recently sent it there.
func (c *Chooser) objectCached(info *objectInfo, req Request, now time.Time) bool {
	for _, t := range info.recent {
		if t != nil && t.HasRecentObject(req.Object, now, c.opts.CacheTTL) && req.allowsRegion(t.Region) && c.fleet.Usable(t, now) {
			return true
		}
	}
	return false
}

// allowed reports whether the request may be sent to a target: it is usable, in a region
// of the route and of the workspace and was not tried before.
func (c *Chooser) allowed(t *fleet.Target, req *Request, now time.Time) bool {
	for _, id := range req.Tried {
		if id == t.ID {
			return false
		}
	}
	return req.allowsRegion(t.Region) && c.fleet.Usable(t, now)
}
