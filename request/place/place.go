// Package place chooses the target of a request.
//
// The choice is the target with the smallest expected cost: the run time there, given
// what it has warm and how slow its machine is, the wait for a slot, the way there and
// back, the price of the bytes on that way, and the share of requests that fail there.
// Every host ranks the targets of an object by the same hash, so that hosts which know
// nothing yet of an object send it to the same target.
package place

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

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
	// Usable is how many targets could have been chosen.
	Usable int
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

	mu       sync.Mutex
	profiles map[string]*profile
}

// profile is what is known of a route's requests.
type profile struct {
	fresh, warm time.Duration
	// request and answer are the mean sizes of bodies, in bytes.
	request, answer float64
	// known says that some target has the request's object warm by this host's own doing.
	known bool
}

// New returns a Chooser over a fleet.
func New(f *fleet.Fleet, opts Options) *Chooser {
	if opts.Keep == 0 {
		opts.Keep = defaultKeep
	}
	return &Chooser{opts: opts, fleet: f, profiles: make(map[string]*profile)}
}

// Object returns the hash of an object of a route's service.
func Object(service, route, key string) uint64 {
	if key == "" {
		return 0
	}
	return xxhash.Sum64String(service+"\x00"+route+"\x00"+key) | 1
}

func (c *Chooser) profile(r *routes.Route) profile {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.profiles[r.Name]
	if p == nil {
		fresh := firstRun(r)
		p = &profile{fresh: fresh, warm: time.Duration(warmFirst * float64(fresh)), answer: 4000}
		c.profiles[r.Name] = p
	}
	return *p
}

// firstRun is the run time that a route is taken to need until run times have been seen.
// Operators leave a request at least twice the time that it usually needs.
func firstRun(r *routes.Route) time.Duration {
	run := r.Objective
	if run == 0 {
		run = time.Second
	}
	if r.Timeout > 0 {
		run = min(run, r.Timeout/2)
	}
	return run
}

// Choose returns the best target of a request and notes that the request is about to
// be sent there. It returns ErrNoTarget or ErrBusy when it is not to be sent.
func (c *Chooser) Choose(ask Ask, now time.Time) (Choice, error) {
	p := c.profile(ask.Route)
	c.fleet.Lock()
	defer c.fleet.Unlock()
	targets := c.fleet.Service(ask.Service)
	ranks := c.ranks(targets, ask, p)
	p.known = c.known(targets, ask, now)
	var best, fastest Choice
	bestCost := time.Duration(math.MaxInt64)
	for _, t := range targets {
		if !c.allowed(t, ask, now) {
			continue
		}
		best.Usable++
		cost, choice := c.cost(t, ask, p, ranks, now)
		if fastest.Target == nil || choice.Expected < fastest.Expected {
			fastest = choice
		}
		if cost < bestCost {
			bestCost = cost
			choice.Usable = best.Usable
			best = choice
		}
	}
	if best.Target == nil {
		return Choice{}, ErrNoTarget
	}
	if !worthwhile(ask, best) {
		if fastest.Wait > 0 {
			return best, ErrBusy
		}
		fastest.Usable = best.Usable
		best = fastest
	}
	best.rtt, best.bytes = best.Target.RTT, ask.Bytes
	best.number = c.fleet.Begin(best.Target, fleet.Work{Object: ask.Object, Run: best.usual, Expected: best.Expected}, now)
	return best, nil
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
func (c *Chooser) known(targets []*fleet.Target, ask Ask, now time.Time) bool {
	if ask.Object == 0 {
		return false
	}
	for _, t := range targets {
		if t.Warm(ask.Object, now, c.opts.Keep) && c.fleet.Usable(t, now) {
			return true
		}
	}
	return false
}

func (c *Chooser) allowed(t *fleet.Target, ask Ask, now time.Time) bool {
	for _, id := range ask.Tried {
		if id == t.ID {
			return false
		}
	}
	return ask.Route.AllowsRegion(t.Region) && c.fleet.Usable(t, now)
}

// orderLength is how many targets of an object's order are told apart.
const orderLength = 4

// order holds the first targets of an object's order, best first.
type order struct {
	targets [orderLength]*fleet.Target
	scores  [orderLength]float64
}

// ranks returns the order of an object: rendezvous hashing weighted by slots, with a
// handicap for targets outside this host's region. The handicap is in proportion to the
// mean capacity of a region, so that a region with much room keeps nearly all of its
// objects and one with little room keeps few.
func (c *Chooser) ranks(targets []*fleet.Target, ask Ask, p profile) order {
	var o order
	if ask.Object == 0 {
		return o
	}
	handicap := awayHandicap * p.weight() / c.regionSlots(targets)
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		score := exponential(t.Score(ask.Object)) / float64(max(1, t.Slots))
		if t.Region != c.opts.Region {
			score += handicap
		}
		o.insert(t, score)
	}
	return o
}

// weight returns how much more the bodies of a route weigh on the way than those of a
// usual one. It moves in steps, so that hosts which have seen other requests agree.
func (p profile) weight() float64 {
	step := math.Round(math.Log2((p.request + p.answer + smallBody) / usualBody))
	return math.Exp2(weightPower * step)
}

// regionSlots returns the mean number of slots of the regions that have targets.
func (c *Chooser) regionSlots(targets []*fleet.Target) float64 {
	slots := 0
	var regions [regionLimit]string
	n := 0
	for _, t := range targets {
		slots += t.Slots
		if n < regionLimit && !slices.Contains(regions[:n], t.Region) {
			regions[n] = t.Region
			n++
		}
	}
	return float64(max(1, slots)) / float64(max(1, n))
}

// exponential turns a hash into an exponentially distributed number of mean 1.
func exponential(hash uint64) float64 { return -math.Log((float64(hash>>11) + 1) / (1 << 53)) }

func (o *order) insert(t *fleet.Target, score float64) {
	for i := range o.targets {
		if o.targets[i] == nil || score < o.scores[i] {
			o.targets[i], t = t, o.targets[i]
			o.scores[i], score = score, o.scores[i]
			if t == nil {
				return
			}
		}
	}
}

// prior is the chance that a target has an object warm that this host did not send there.
func (o *order) prior(t *fleet.Target) float64 {
	for i, other := range o.targets {
		if other == t {
			return priors[i]
		}
	}
	return 0
}

func (c *Chooser) cost(t *fleet.Target, ask Ask, p profile, ranks order, now time.Time) (time.Duration, Choice) {
	choice := Choice{Target: t, ID: t.ID, Addr: t.Addr}
	chance := 0.0
	if ask.Route.Affinity && ask.Object != 0 {
		choice.Warm = t.Warm(ask.Object, now, c.opts.Keep)
		chance = ranks.prior(t)
		if p.known && t != ranks.targets[0] {
			chance *= priorElsewhere
		}
		if choice.Warm {
			chance = 1
		}
	}
	pace := math.Sqrt(t.Pace(now)) * max(1, t.Slow(now))
	if t.Cold(now) {
		pace *= coldFactor
	}
	choice.Wait = t.Wait(now)
	around := choice.Wait + t.RTT
	warm := time.Duration(float64(p.warm) * pace)
	fresh := time.Duration(float64(p.fresh) * pace)
	choice.usual = time.Duration(chance*float64(p.warm) + (1-chance)*float64(p.fresh))
	choice.RunTime = time.Duration(chance*float64(warm) + (1-chance)*float64(fresh))
	choice.Expected = choice.RunTime + around
	cost := choice.Expected + c.way(t, float64(ask.Bytes)+p.answer)
	aim := ask.Route.Objective
	late := chance*late(warm+around, aim) + (1-chance)*late(fresh+around, aim)
	cost += time.Duration(late * lateCost * float64(aim))
	cost += time.Duration((1 - chance) * freshCost * float64(p.fresh-p.warm))
	cost += time.Duration(t.FailShare(now) * float64(failCost))
	if silence := t.Silence(now) - 2*t.MeanRun() - silenceSlack; silence > 0 {
		cost += silence
	}
	if ask.Route.Idempotent && c.fleet.Introduces(t, now) {
		cost -= unusedBonus
	}
	return cost, choice
}

// callerWay is what the way between caller and host takes of the objective.
const callerWay = 20 * time.Millisecond

// late estimates the chance that an answer expected after some time comes after its
// objective.
func late(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	x := float64(expected+callerWay-objective) / (lateSpread*float64(expected) + float64(time.Millisecond))
	return 1 / (1 + math.Exp(-1.7*x))
}

// way returns the price of the bytes on the way to a target and back.
func (c *Chooser) way(t *fleet.Target, bytes float64) time.Duration {
	switch {
	case t.Region != c.opts.Region:
		return time.Duration(bytes / 1000 * float64(c.opts.Costs.CrossRegion))
	case t.Zone != c.opts.Domain:
		return time.Duration(bytes / 1000 * float64(c.opts.Costs.CrossDomain))
	default:
		return 0
	}
}

// Done notes the outcome of a chosen target's request. AnswerBytes is the size of the
// answer's body.
func (c *Chooser) Done(choice Choice, route *routes.Route, o fleet.Outcome, answerBytes int, now time.Time) {
	c.fleet.End(choice.Target, choice.number, o, now)
	if o.Failed || o.Shed || o.Cancelled {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.profiles[route.Name]
	if p == nil {
		return
	}
	p.answer += sampleWeight * (float64(answerBytes) - p.answer)
	p.request += sampleWeight * (float64(choice.bytes) - p.request)
	if choice.Wait > 0 {
		return
	}
	run := max(0, o.Run-choice.rtt)
	if o.Load != nil && o.Load.Pace > 0 {
		run = time.Duration(float64(run) / o.Load.Pace)
	}
	mean := &p.fresh
	if choice.Warm {
		mean = &p.warm
	}
	run = min(run, 3**mean)
	*mean += time.Duration(sampleWeight * float64(run-*mean))
}
