package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"quetzalknot/process/health"
	"quetzalknot/process/slots"
	"quetzalknot/request"
	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

// plan caches the routing data of a service for one configuration version.
type plan struct {
	snap    *state.Snapshot
	service *config.Service
	policy  Policy
	classes map[string]*classPlan
}

// classPlan lists the targets that a class may use, with their keys for health and slots.
type classPlan struct {
	targets      []*config.Target
	ids          []health.Identity
	slotRequests []slots.Request
}

func newPlan(svc *config.Service, snap *state.Snapshot) *plan {
	policy, ok := NewPolicy(svc.Policy)
	if !ok {
		policy = TwoChoices{}
	}
	return &plan{snap: snap, service: svc, policy: policy, classes: make(map[string]*classPlan)}
}

// withClass returns a copy of the plan that also holds the plan of a class.
func (p *plan) withClass(class config.Class) *plan {
	next := *p
	next.classes = make(map[string]*classPlan, len(p.classes)+1)
	for name, c := range p.classes {
		next.classes[name] = c
	}
	next.classes[class.Name] = newClassPlan(p.service, p.snap, class)
	return &next
}

func newClassPlan(svc *config.Service, snap *state.Snapshot, class config.Class) *classPlan {
	c := &classPlan{}
	for _, t := range subset(svc, class) {
		if snap.LeavingTargets[state.TargetKey{Service: svc.Name, Target: t.Name}] {
			continue
		}
		key := slots.Target{Service: svc.Name, Name: t.Name}
		c.targets = append(c.targets, t)
		c.ids = append(c.ids, health.Identity{Target: key, FailureDomain: t.FailureDomain, Slots: t.Slots})
		c.slotRequests = append(c.slotRequests, slotRequestOf(key, class, t))
	}
	return c
}

// slotRequestOf returns the slot request of a class at a target.
func slotRequestOf(key slots.Target, class config.Class, t *config.Target) slots.Request {
	req := slots.Request{Target: key, Slots: t.Slots, LongSlots: t.Slots}
	if class.Long {
		req.Lane = slots.Long
		req.LongSlots = class.MaxLongSlots(t.Slots)
	}
	return req
}

// subset returns the targets that a class may use. It selects them by rendezvous hashing:
// all hosts select the same ones, and a change in the list of targets changes few of them.
func subset(svc *config.Service, class config.Class) []*config.Target {
	targets := make([]*config.Target, len(svc.Targets))
	for i := range svc.Targets {
		targets[i] = &svc.Targets[i]
	}
	n := class.MaxTargets(len(targets))
	if n >= len(targets) {
		return targets
	}
	rank := func(t *config.Target) uint64 {
		return xxhash.Sum64String(svc.Name + "/" + class.Name + "/" + t.Name)
	}
	slices.SortFunc(targets, func(a, b *config.Target) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return targets[:n]
}

// plan returns the cached plan of a request's service and class, or creates it.
func (r *Router) plan(info *request.Info, snap *state.Snapshot) (*plan, *classPlan) {
	plans := *r.plans.Load()
	if p := plans[info.Service.Name]; p != nil && p.snap == snap && p.service == info.Service {
		if c := p.classes[info.Class.Name]; c != nil {
			return p, c
		}
	}
	return r.makePlan(info, snap)
}

// makePlan creates the plan of a request's service and class and publishes it as a copy of
// the plan map, so that readers need no lock. The state of an unchanged policy is kept.
func (r *Router) makePlan(info *request.Info, snap *state.Snapshot) (*plan, *classPlan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	plans := *r.plans.Load()
	name := info.Service.Name
	p := plans[name]
	if p == nil || p.snap != snap || p.service != info.Service {
		next := newPlan(info.Service, snap)
		if p != nil && p.service.Policy == info.Service.Policy {
			next.policy = p.policy
		}
		p = next
	}
	p = p.withClass(info.Class)
	copied := make(map[string]*plan, len(plans)+1)
	for key, old := range plans {
		copied[key] = old
	}
	copied[name] = p
	r.plans.Store(&copied)
	return p, p.classes[info.Class.Name]
}
