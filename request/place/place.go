// Package place chooses the target of a request.
//
// The choice is the target with the smallest expected cost: the run time there, given
// what it has warm and how slow its machine is, the wait for a slot, the way there and
// back, the price of the bytes on that way, and the share of requests that fail there.
// Every host ranks the targets of an object by the same hash, so that hosts which know
// nothing yet of an object send it to the same target.
//
// place.go chooses, order.go ranks the targets of an object and remembers it, cost.go
// estimates what a target costs, profile.go learns what a route's requests need.
package place

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quetzalknot/process/fleet"
	"quetzalknot/version/routes"
)

// Costs are the prices of ways, as time that is worth as much for each kilobyte.
type Costs struct {
	CrossDomain, CrossRegion time.Duration
}

// Options tune the choice. The zero value of a field means its default.
type Options struct {
	Region, Domain string
	Costs          Costs
	// Keep is how long a target is taken to keep an object warm.
	Keep time.Duration
}

const (
	defaultKeep = 20 * time.Second
	// warmFirst is the part of the run time that a warm target is taken to need until
	// run times have been seen.
	warmFirst = 0.35
	// awayHandicap is the handicap of targets of other regions in an object's order, as a
	// multiple of the mean gap between the targets of a mean region.
	awayHandicap = 1.2
	// usualBody and smallBody are sizes in bytes, and weightPower the power of the size
	// in a route's handicap.
	usualBody, smallBody = 5000.0, 2500.0
	weightPower          = 0.5
	// regionLimit is how many regions are told apart.
	regionLimit = 16
	// priorElsewhere scales the priors of an object that this host has sent to another
	// target lately.
	priorElsewhere = 0.6
	// lateCost is the cost of a late answer, as a multiple of the route's objective.
	lateCost = 1.0
	// patienceUrgent and patienceOther are how long requests may wait that will be late,
	// as a multiple of their objective.
	patienceUrgent, patienceOther = 3.0, 1.0
	// freshCost is the cost of a run on a target that does not have the object warm, to
	// the requests that wait meanwhile, as a multiple of the time it takes longer.
	freshCost = 6.0
	// lateSpread is the relative spread of run times around their expectation.
	lateSpread = 0.12
	// failCost is the cost of a certain failure.
	failCost = 2 * time.Second
	// coldFactor is how much longer work takes on a cold target.
	coldFactor = 2.0
	// silenceSlack is how long a target may be silent beyond twice its mean run time.
	silenceSlack = 400 * time.Millisecond
	// unusedBonus is taken off the cost of a target that joined and got no request yet,
	// at the host that introduces it.
	unusedBonus = 10 * time.Second
	// paceLeast is the pace below which a machine is not taken to be.
	paceLeast = 0.5
	// objectLimit is how many objects are remembered.
	objectLimit = 8192
	// sampleWeight is the weight of a new sample in running means.
	sampleWeight = 0.05
)

var (
	// ErrNoTarget says that no target may be used.
	ErrNoTarget = errors.New("no target may be used")
	// ErrBusy says that the targets have no room for the request.
	ErrBusy = errors.New("targets have no room")
)

// priors are the chances that the first targets of an object's order have it warm
// though this host has not sent it there.
var priors = [orderLength]float64{0.9, 0.5, 0.25, 0.12}

// Ask is a request that needs a target.
type Ask struct {
	Route   *routes.Route
	Service string
	// Object is the hash of the object that the request concerns; 0 means none.
	Object uint64
	// Bytes is the size of the request's body.
	Bytes int64
	// Left is how long the caller waits.
	Left time.Duration
	// Tried are the targets that it was sent to.
	Tried []string
}

// Choice is the chosen target and why.
type Choice struct {
	Target *fleet.Target
	ID     string
	Addr   string
	// Expected is the expected time to the answer.
	Expected time.Duration
	Wait     time.Duration
	Warm     bool
	// Considered is how many targets were compared.
	Considered int
	// RunTime is the expected run time without wait and way.
	RunTime time.Duration
	rtt     time.Duration
	number  uint64
	bytes   int64
	// usual is the expected run time at the usual pace.
	usual time.Duration
}

// Chooser chooses targets. It is safe for concurrent use.
type Chooser struct {
	opts  Options
	fleet *fleet.Fleet

	// objects is guarded by the fleet's lock.
	objects *simplelru.LRU[uint64, *memory]
	// whole makes every choice compare all targets.
	whole bool

	mu       sync.Mutex
	profiles map[string]*profile
}

// New returns a Chooser over a fleet.
func New(f *fleet.Fleet, opts Options) *Chooser {
	if opts.Keep == 0 {
		opts.Keep = defaultKeep
	}
	objects, err := simplelru.NewLRU[uint64, *memory](objectLimit, nil)
	if err != nil {
		panic(err) // the limit is a positive constant
	}
	return &Chooser{opts: opts, fleet: f, objects: objects, profiles: make(map[string]*profile)}
}

// Object returns the hash of an object of a route's service.
func Object(service, route, key string) uint64 {
	if key == "" {
		return 0
	}
	return xxhash.Sum64String(service+"\x00"+route+"\x00"+key) | 1
}

// Choose returns the best target of a request and notes that the request is about to
// be sent there. It returns ErrNoTarget or ErrBusy when it is not to be sent.
//
// The targets that may have the object warm are looked at first; the others only when
// one of them could cost less.
func (c *Chooser) Choose(ask Ask, now time.Time) (Choice, error) {
	p := c.profile(ask.Route)
	c.fleet.Lock()
	defer c.fleet.Unlock()
	targets := c.fleet.Service(ask.Service)
	m := c.recall(targets, ask, p)
	p.known = c.known(m, ask, now)
	s := search{c: c, ask: &ask, profile: p, memory: m, now: now, bestCost: math.MaxInt64}
	s.near()
	if !s.settled() {
		s.others(targets)
	}
	s.best.Considered, s.fastest.Considered = s.considered, s.considered
	best := s.best
	if best.Target == nil {
		return Choice{}, ErrNoTarget
	}
	if !worthwhile(ask, best) {
		if s.fastest.Wait > 0 {
			return best, ErrBusy
		}
		best = s.fastest
	}
	best.rtt, best.bytes = best.Target.RTT, ask.Bytes
	best.number = c.fleet.Begin(best.Target, fleet.Work{Object: ask.Object, Run: best.usual, Expected: best.Expected}, now)
	m.sentTo(best.Target)
	return best, nil
}

// search is one choice under way.
type search struct {
	c       *Chooser
	ask     *Ask
	profile profile
	memory  *memory
	now     time.Time

	best, fastest Choice
	bestCost      time.Duration
	considered    int
}

// near looks at the targets that may have the object warm.
func (s *search) near() {
	for i, t := range s.memory.order.targets {
		if t != nil && !slices.Contains(s.memory.order.targets[:i], t) {
			s.consider(t)
		}
	}
	for _, t := range s.memory.sent {
		if t != nil && !s.memory.order.has(t) {
			s.consider(t)
		}
	}
}

// others looks at the targets that near left out.
func (s *search) others(targets []*fleet.Target) {
	for _, t := range targets {
		if !s.memory.order.has(t) && !slices.Contains(s.memory.sent[:], t) {
			s.consider(t)
		}
	}
}

func (s *search) consider(t *fleet.Target) {
	if !s.c.allowed(t, s.ask, s.now) {
		return
	}
	s.considered++
	cost, choice := s.c.cost(t, s.ask, &s.profile, &s.memory.order, s.now)
	if s.fastest.Target == nil || choice.Expected < s.fastest.Expected {
		s.fastest = choice
	}
	if cost < s.bestCost {
		s.bestCost, s.best = cost, choice
	}
}

// settled reports whether no other target can cost less than the best so far.
func (s *search) settled() bool {
	if s.c.whole || s.best.Target == nil || !s.ask.Route.Affinity || s.ask.Object == 0 {
		return false
	}
	return s.bestCost <= s.profile.leastFresh() && !s.c.fleet.Newcomers(s.now) && worthwhile(*s.ask, s.best)
}

// worthwhile reports whether a request is sent though it waits. One that would be late
// anyway takes the slots of others, the less urgent the sooner.
func worthwhile(ask Ask, best Choice) bool {
	if best.Wait <= 0 || len(ask.Tried) > 0 {
		return true
	}
	if ask.Left > 0 && best.Expected > ask.Left {
		return false
	}
	aim := ask.Route.Objective
	if aim == 0 || best.Expected+callerWay <= aim {
		return true
	}
	patience := patienceOther
	if ask.Route.Urgent {
		patience = patienceUrgent
	}
	return best.Wait <= time.Duration(patience*float64(aim))
}

// known reports whether a usable target has the object warm by this host's own doing.
func (c *Chooser) known(m *memory, ask Ask, now time.Time) bool {
	for _, t := range m.sent {
		if t != nil && t.Warm(ask.Object, now, c.opts.Keep) && c.fleet.Usable(t, now) {
			return true
		}
	}
	return false
}

func (c *Chooser) allowed(t *fleet.Target, ask *Ask, now time.Time) bool {
	for _, id := range ask.Tried {
		if id == t.ID {
			return false
		}
	}
	return ask.Route.AllowsRegion(t.Region) && c.fleet.Usable(t, now)
}
