package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
	"quetzalknot/process/health"
	"quetzalknot/process/metrics"
	"quetzalknot/process/slots"
	"quetzalknot/request"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

var (
	evRouted      = eventlog.Define(4101, zerolog.InfoLevel, "target chosen")
	evEjected     = eventlog.Define(4102, zerolog.WarnLevel, "target ejected")
	evRestored    = eventlog.Define(4103, zerolog.InfoLevel, "ejected target restored")
	evMisdeclared = eventlog.Define(4104, zerolog.WarnLevel, "run times contradict the declaration of the class")
)

// ErrNoFreeSlot reports that no target has a free slot for the request.
var ErrNoFreeSlot = errors.New("no target has a free slot")

// maxSelections limits how often Choose selects a target. It selects again when another
// request has taken the slot in the meantime.
const maxSelections = 3

// Choice is a selected target with a slot held for one attempt.
type Choice struct {
	Target *config.Target
	// Deadline is the deadline of the attempt, which is the deadline of the request.
	Deadline time.Time
	// Done releases the slot and reports the outcome of the attempt. It must be called
	// once, when the target is known to have ended the request.
	Done func(health.Outcome)
	// Release is Done for an attempt that gives no information about the target.
	Release func()
}

// Option configures a Router.
type Option func(*Router)

// WithHealth uses a tracker that is shared with other components.
func WithHealth(t *health.Tracker) Option { return func(r *Router) { r.health = t } }

// WithRegion makes the router prefer targets in this host's region.
func WithRegion(region string) Option { return func(r *Router) { r.region = region } }

// Router selects targets by the policy that a service's ticket names. It is safe for
// concurrent use.
type Router struct {
	capacity slots.Limiter
	health   *health.Tracker
	classes  *health.Classes
	region   string
	log      zerolog.Logger

	counters *counters
	plans    atomic.Pointer[map[string]*plan]
	mu       sync.Mutex
	pool     sync.Pool
}

// NewRouter returns a router that takes slots from the given capacity.
func NewRouter(capacity slots.Limiter, set *metrics.Set, log zerolog.Logger, options ...Option) *Router {
	r := &Router{capacity: capacity, health: health.NewTracker(), classes: health.NewClasses(), log: log, counters: newCounters(set)}
	r.plans.Store(&map[string]*plan{})
	r.pool.New = func() any { return newScratch() }
	for _, option := range options {
		option(r)
	}
	return r
}

// scratch holds the reusable buffers of one selection.
type scratch struct {
	// region restricts the candidates; empty means all regions.
	region     string
	rnd        *rand.Rand
	usage      []slots.Usage
	views      []health.View
	candidates []Candidate
}

// freeSlots returns how many more requests a target may get, which is limited by this
// host's capacity and the target's concurrency limit. It is 0 for an ejected target.
func (s *scratch) freeSlots(i int) int {
	if s.views[i].Weight <= 0 {
		return 0
	}
	return min(s.usage[i].Free, s.views[i].Limit-s.usage[i].InFlight)
}

func newScratch() *scratch {
	return &scratch{rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

func (s *scratch) resize(n int) {
	if cap(s.usage) < n {
		s.usage = make([]slots.Usage, n)
		s.views = make([]health.View, n)
		s.candidates = make([]Candidate, 0, n)
	}
	s.usage = s.usage[:n]
	s.views = s.views[:n]
}

// Choose selects a target and takes a slot there for one attempt. It never blocks.
// Targets in tried had an earlier attempt and are used last. When no target has a free
// slot it returns ErrNoFreeSlot with the verdict not-run.
func (r *Router) Choose(info *request.Info, snap *state.Snapshot, tried []string) (Choice, error) {
	p, class := r.plan(info, snap)
	s := r.pool.Get().(*scratch)
	defer r.pool.Put(s)
	s.region = info.Region
	for range maxSelections {
		now := time.Now()
		index, probe := r.decide(now, p.policy, class, tried, s)
		if index == None {
			break
		}
		req := class.slotRequests[index]
		release, ok := r.capacity.Acquire(req)
		if !ok {
			continue
		}
		r.health.RecordStart(now, &class.ids[index], req.Lane, probe)
		r.logChoice(info, snap, class.targets[index], len(class.targets), probe)
		return r.newChoice(info, class.targets[index], req, release), nil
	}
	r.counters.noFreeSlot.Add(1)
	return Choice{}, verdict.Wrap(verdict.NotRun, "route", ErrNoFreeSlot)
}

func (r *Router) newChoice(info *request.Info, t *config.Target, req slots.Request, release func()) Choice {
	var once sync.Once
	done := func(o health.Outcome) {
		once.Do(func() {
			now := time.Now()
			r.health.RecordOutcome(now, req.Target, req.Lane, o)
			release()
			r.observeClass(info, o)
		})
	}
	return Choice{Target: t, Deadline: info.Deadline, Done: done, Release: func() { done(health.Outcome{Cancelled: true}) }}
}

func (r *Router) logChoice(info *request.Info, snap *state.Snapshot, t *config.Target, candidates int, probe bool) {
	r.counters.chosen.Add(1)
	if probe {
		r.counters.probes.Add(1)
	}
	evRouted.Log(r.log).Str("request", info.ID).Str("service", info.Service.Name).
		Str("class", info.Class.Name).Str("target", t.Name).
		Int("candidates", candidates).Bool("probe", probe).Uint64("version", snap.Version).Send()
}

// decide returns the index of the selected target in the class plan, and whether the
// request is a probe of an ejected target.
func (r *Router) decide(now time.Time, policy Policy, class *classPlan, tried []string, s *scratch) (index int, probe bool) {
	s.resize(len(class.targets))
	r.capacity.FillUsage(class.slotRequests, s.usage)
	r.health.FillViews(now, class.ids, s.views)
	if len(tried) == 0 {
		if target := probeTarget(class, s); target != None {
			return target, true
		}
	}
	for level := range levels {
		r.collectCandidates(class, tried, level, s)
		if picked := policy.Pick(s.candidates, s.rnd); picked != None {
			return s.candidates[picked].index, false
		}
	}
	return None, false
}

// probeTarget returns the index of an ejected target that may get a probe, or None.
func probeTarget(class *classPlan, s *scratch) int {
	for i := range s.views {
		if s.views[i].Probe && s.usage[i].Free > 0 && inRegion(class.targets[i], s.region) {
			return i
		}
	}
	return None
}

// Levels of preference, best first.
const (
	levelUntried = iota
	levelTriedDomain
	levelOtherRegion
	levelTried
	levels
)

// collectCandidates fills the candidates of one level of preference.
func (r *Router) collectCandidates(class *classPlan, tried []string, level int, s *scratch) {
	s.candidates = s.candidates[:0]
	for i, t := range class.targets {
		if !inRegion(t, s.region) || r.levelOf(class, t, tried) != level {
			continue
		}
		v := &s.views[i]
		s.candidates = append(s.candidates, Candidate{
			Target: t, Free: s.freeSlots(i), InFlight: s.usage[i].InFlight,
			Latency: v.Latency, ReportedLoad: v.Load, Weight: v.Weight, Probe: v.Probe, index: i,
		})
	}
}

// inRegion reports whether a target may get a request that is restricted to a region.
func inRegion(t *config.Target, region string) bool { return region == "" || t.Region == region }

func (r *Router) levelOf(class *classPlan, t *config.Target, tried []string) int {
	if slices.Contains(tried, t.Name) {
		return levelTried
	}
	if r.region != "" && t.Region != r.region {
		return levelOtherRegion
	}
	if len(tried) > 0 && class.domainTried(t.FailureDomain, tried) {
		return levelTriedDomain
	}
	return levelUntried
}

// domainTried reports whether an earlier attempt went to a target of the failure domain.
func (c *classPlan) domainTried(domain string, tried []string) bool {
	for _, t := range c.targets {
		if t.FailureDomain == domain && slices.Contains(tried, t.Name) {
			return true
		}
	}
	return false
}

// closedChannel is a channel that is always ready to receive from.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Changed returns a channel that is closed when a slot for the service may have become
// free. The channel is closed already for a service of which no request has been routed yet.
func (r *Router) Changed(service string) <-chan struct{} {
	plans := *r.plans.Load()
	if p := plans[service]; p != nil {
		return r.capacity.Changed(service)
	}
	return closedChannel
}
