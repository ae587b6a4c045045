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
	evRouted = eventlog.Define(4101, zerolog.InfoLevel, "target chosen")
	evAside  = eventlog.Define(4102, zerolog.WarnLevel, "target set aside")
	evBack   = eventlog.Define(4103, zerolog.InfoLevel, "target taken back")
	evClass  = eventlog.Define(4104, zerolog.WarnLevel, "class is declared wrongly")
)

// ErrNoRoom reports that no target has room for the request now.
var ErrNoRoom = errors.New("no target has room")

// maxDraws bounds how often a choice is repeated whose slot was taken meanwhile.
const maxDraws = 3

// Choice is a target with a slot held for one attempt.
type Choice struct {
	Target *config.Target
	// Until is when the attempt must have ended: the request's deadline.
	Until time.Time
	// Done gives the slot back and tells what the attempt showed. The holder calls
	// it once, when the target is known to have ended the request.
	Done func(health.Outcome)
	// Release is Done for an attempt that showed nothing about the target.
	Release func()
}

// Option changes a Router.
type Option func(*Router)

// WithHealth uses a tracker that others feed as well.
func WithHealth(t *health.Tracker) Option { return func(r *Router) { r.health = t } }

// WithRegion prefers the targets of this host's region.
func WithRegion(region string) Option { return func(r *Router) { r.region = region } }

// Router chooses targets by the policy that a service's ticket names.
type Router struct {
	room   slots.Room
	health *health.Tracker
	runs   *health.Classes
	region string
	log    zerolog.Logger

	chosen *counters
	plans  atomic.Pointer[map[string]*plan]
	mu     sync.Mutex
	pool   sync.Pool
}

// NewRouter returns a router that takes slots from room.
func NewRouter(room slots.Room, set *metrics.Set, log zerolog.Logger, options ...Option) *Router {
	r := &Router{room: room, health: health.NewTracker(), runs: health.NewClasses(), log: log, chosen: newCounters(set)}
	r.plans.Store(&map[string]*plan{})
	r.pool.New = func() any { return newScratch() }
	for _, option := range options {
		option(r)
	}
	return r
}

// scratch is the memory of one decision.
type scratch struct {
	// region limits the candidates; empty means all.
	region     string
	rnd        *rand.Rand
	spots      []slots.Spot
	views      []health.View
	candidates []Candidate
}

// usable returns how many more requests a target may get: by room, by its own
// limit, and none while it is set aside.
func (s *scratch) usable(i int) int {
	if s.views[i].Weight <= 0 {
		return 0
	}
	return min(s.spots[i].Free, s.views[i].Limit-s.spots[i].InFlight)
}

func newScratch() *scratch {
	return &scratch{rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

func (s *scratch) size(n int) {
	if cap(s.spots) < n {
		s.spots = make([]slots.Spot, n)
		s.views = make([]health.View, n)
		s.candidates = make([]Candidate, 0, n)
	}
	s.spots = s.spots[:n]
	s.views = s.views[:n]
}

// Choose takes a slot at a target for one attempt. It never blocks. Targets in
// tried had an earlier attempt and come last. It returns ErrNoRoom, with the
// verdict not-run, when none has room.
func (r *Router) Choose(info *request.Info, snap *state.Snapshot, tried []string) (Choice, error) {
	p, class := r.plan(info, snap)
	s := r.pool.Get().(*scratch)
	defer r.pool.Put(s)
	s.region = info.Region
	for range maxDraws {
		now := time.Now()
		at, probe := r.decide(now, p.policy, class, tried, s)
		if at == None {
			break
		}
		ask := class.asks[at]
		release, ok := r.room.Acquire(ask)
		if !ok {
			continue
		}
		r.health.Started(now, &class.ids[at], ask.Lane, probe)
		r.logChoice(info, snap, class.targets[at], len(class.targets), probe)
		return r.choice(info, class.targets[at], ask, release), nil
	}
	r.chosen.noRoom.Add(1)
	return Choice{}, verdict.Wrap(verdict.NotRun, "route", ErrNoRoom)
}

func (r *Router) choice(info *request.Info, t *config.Target, ask slots.Ask, release func()) Choice {
	var once sync.Once
	done := func(o health.Outcome) {
		once.Do(func() {
			now := time.Now()
			r.health.Observe(now, ask.Target, ask.Lane, o)
			release()
			r.observeClass(info, o)
		})
	}
	return Choice{Target: t, Until: info.Deadline, Done: done, Release: func() { done(health.Outcome{Cancelled: true}) }}
}

func (r *Router) logChoice(info *request.Info, snap *state.Snapshot, t *config.Target, candidates int, probe bool) {
	r.chosen.chosen.Add(1)
	if probe {
		r.chosen.probes.Add(1)
	}
	evRouted.Log(r.log).Str("request", info.ID).Str("service", info.Service.Name).
		Str("class", info.Class.Name).Str("target", t.Name).
		Int("candidates", candidates).Bool("probe", probe).Uint64("version", snap.Version).Send()
}

// decide returns the index of the chosen target in the plan, and whether the
// request probes a target that is set aside.
func (r *Router) decide(now time.Time, policy Policy, class *classPlan, tried []string, s *scratch) (at int, probe bool) {
	s.size(len(class.targets))
	r.room.Survey(class.asks, s.spots)
	r.health.Survey(now, class.ids, s.views)
	if len(tried) == 0 {
		if at := probeOf(class, s); at != None {
			return at, true
		}
	}
	for level := range levels {
		r.collect(class, tried, level, s)
		if picked := policy.Pick(s.candidates, s.rnd); picked != None {
			return s.candidates[picked].at, false
		}
	}
	return None, false
}

// probeOf returns a target that is set aside and may get one request, or None.
func probeOf(class *classPlan, s *scratch) int {
	for i := range s.views {
		if s.views[i].Probe && s.spots[i].Free > 0 && inRegion(class.targets[i], s.region) {
			return i
		}
	}
	return None
}

// The levels of preference, best first.
const (
	levelFresh = iota
	levelTriedDomain
	levelOtherRegion
	levelTried
	levels
)

// collect fills the candidates of one level of preference.
func (r *Router) collect(class *classPlan, tried []string, level int, s *scratch) {
	s.candidates = s.candidates[:0]
	for i, t := range class.targets {
		if !inRegion(t, s.region) || r.levelOf(class, t, tried) != level {
			continue
		}
		v := &s.views[i]
		s.candidates = append(s.candidates, Candidate{
			Target: t, Free: s.usable(i), InFlight: s.spots[i].InFlight,
			Latency: v.Latency, ReportedLoad: v.Load, Weight: v.Weight, Probe: v.Probe, at: i,
		})
	}
}

// inRegion reports whether a target may get a request that is limited to a region.
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
	return levelFresh
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

// closed is a channel that wakes at once.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Changed returns a channel that is closed when room for the service may have
// appeared. It is closed already for a service that no request was chosen for yet.
func (r *Router) Changed(service string) <-chan struct{} {
	plans := *r.plans.Load()
	if p := plans[service]; p != nil {
		return r.room.Changed(service)
	}
	return closed
}
