package route

import (
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/process/slots"
	"quetzalknot/request"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

var evRouted = eventlog.Define(4101, zerolog.InfoLevel, "target chosen")

// ErrNoRoom reports that no target has room for the request now.
var ErrNoRoom = errors.New("no target has room")

// Choice is a target with a slot held for one attempt.
type Choice struct {
	Target *config.Target
	// Release gives the slot back. The holder calls it once, when the target is
	// known to have ended the request.
	Release func()
}

// Router chooses targets by the policy that a service's ticket names.
type Router struct {
	room slots.Room
	log  zerolog.Logger

	mu       sync.Mutex
	policies map[string]namedPolicy
}

type namedPolicy struct {
	name   string
	policy Policy
}

// NewRouter returns a router that takes slots from room.
func NewRouter(room slots.Room, _ *metrics.Set, log zerolog.Logger) *Router {
	return &Router{room: room, log: log, policies: make(map[string]namedPolicy)}
}

// Choose takes a slot at a target for one attempt. It never blocks. Targets in
// tried had an earlier attempt and come last. It returns ErrNoRoom, with the
// verdict not-run, when none has room.
func (r *Router) Choose(info *request.Info, snap *state.Snapshot, tried []string) (Choice, error) {
	candidates := r.candidates(info, snap, tried)
	at := r.policy(info.Service).Pick(candidates, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if at == None {
		return Choice{}, verdict.Wrap(verdict.NotRun, "route", ErrNoRoom)
	}
	chosen := candidates[at].Target
	release, ok := r.room.Acquire(askOf(info, chosen))
	if !ok {
		return Choice{}, verdict.Wrap(verdict.NotRun, "route", ErrNoRoom)
	}
	evRouted.Log(r.log).Str("request", info.ID).Str("service", info.Service.Name).
		Str("class", info.Class.Name).Str("target", chosen.Name).
		Int("candidates", len(candidates)).Uint64("version", snap.Version).Send()
	return Choice{Target: chosen, Release: release}, nil
}

func (r *Router) candidates(info *request.Info, snap *state.Snapshot, tried []string) []Candidate {
	svc := info.Service
	fresh := make([]Candidate, 0, len(svc.Targets))
	var again []Candidate
	for i := range svc.Targets {
		t := &svc.Targets[i]
		if snap.LeavingTargets[state.TargetKey{Service: svc.Name, Target: t.Name}] || !info.Serves(t.Region) {
			continue
		}
		ask := askOf(info, t)
		c := Candidate{
			Target: t, Free: r.room.Free(ask), InFlight: r.room.InFlight(ask.Target),
			ReportedLoad: -1, Weight: 1,
		}
		if contains(tried, t.Name) {
			again = append(again, c)
			continue
		}
		fresh = append(fresh, c)
	}
	if len(fresh) == 0 {
		return again
	}
	return fresh
}

// askOf returns the slot that a request wants at a target.
func askOf(info *request.Info, t *config.Target) slots.Ask {
	ask := slots.Ask{
		Target: slots.Target{Service: info.Service.Name, Name: t.Name},
		Slots:  t.Slots, LongSlots: t.Slots,
	}
	if info.Class.Long {
		ask.Lane = slots.Long
		ask.LongSlots = info.Class.LongSlots(t.Slots)
	}
	return ask
}

// Changed returns a channel that is closed when room for the service may have appeared.
func (r *Router) Changed(service string) <-chan struct{} { return r.room.Changed(service) }

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (r *Router) policy(svc *config.Service) Policy {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.policies[svc.Name]; ok && known.name == svc.Policy {
		return known.policy
	}
	policy, ok := New(svc.Policy)
	if !ok {
		policy = TwoChoices{}
	}
	r.policies[svc.Name] = namedPolicy{name: svc.Policy, policy: policy}
	return policy
}
