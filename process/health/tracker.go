package health

import (
	"sync"
	"time"

	"quetzalknot/process/slots"
)

// evaluationInterval is the least time between two evaluations of a service's targets.
const evaluationInterval = 100 * time.Millisecond

// View is the health of one target as routing uses it.
type View struct {
	// Weight is the target's routing weight, from 0 for an ejected target to 1 for a
	// healthy one.
	Weight float64
	// Limit is how many requests this host may have in flight at the target.
	Limit int
	// Latency is the decayed peak of the run times of short requests; 0 means unknown.
	Latency time.Duration
	// Load is the reported load as a share of the target's slots; negative means unknown.
	Load float64
	// Probe is true when the target is ejected and one probe request may be sent to it.
	Probe bool
}

// Identity identifies a target and holds the properties that its evaluation needs.
type Identity struct {
	Target        slots.Target
	FailureDomain string
	Slots         int
}

// Change says that a target was ejected or restored.
type Change struct {
	Target  slots.Target
	Phase   Phase
	Latency time.Duration
	Median  time.Duration
	// FailureRate is the failure rate, from 0 to 1.
	FailureRate float64
}

// Tracker holds the health of all targets as this host observes it. It is safe for
// concurrent use. The current time is a parameter of its methods.
type Tracker struct {
	mu       sync.Mutex
	services map[string]*serviceGroup
	changes  []Change
}

// serviceGroup holds the targets of one service.
type serviceGroup struct {
	service  string
	byTarget map[string]*targetState
	// states and targets are parallel slices of the targets' states and names.
	states      []*targetState
	targets     []string
	evaluatedAt time.Time
	// sinceProbe counts the requests since the last probe.
	sinceProbe int
}

// NewTracker returns a tracker without targets.
func NewTracker() *Tracker { return &Tracker{services: make(map[string]*serviceGroup)} }

// FillViews fills views for the given targets of one service. A target that is new to the
// tracker starts with a concurrency limit of 1. Both slices have the same length.
func (t *Tracker) FillViews(now time.Time, ids []Identity, views []View) {
	if len(ids) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(ids[0].Target.Service)
	t.evaluate(now, g)
	probing := g.sinceProbe >= requestsPerProbe
	for i := range ids {
		r := g.state(now, &ids[i])
		views[i] = View{
			Weight: r.weight, Limit: int(r.limit), Load: r.decayedLoad(now),
			Latency: time.Duration(r.decayedPeak(now) * float64(time.Second)),
			Probe:   r.phase == Ejected && probing && r.probe.due(now),
		}
	}
}

// RecordStart records that a request is sent to a target.
func (t *Tracker) RecordStart(now time.Time, id *Identity, lane slots.Lane, probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(id.Target.Service)
	r := g.state(now, id)
	g.sinceProbe++
	if probe {
		g.sinceProbe = 0
		r.probe.begin(now)
	}
	r.begin(now, lane == slots.Long)
}

// RecordOutcome records the outcome of a request whose start was recorded before.
func (t *Tracker) RecordOutcome(now time.Time, target slots.Target, lane slots.Lane, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(target.Service)
	r := g.byTarget[target.Name]
	if r == nil {
		return
	}
	if r.phase == Ejected && !r.probe.startedAt.IsZero() {
		r.probe.startedAt = time.Time{}
		r.resetSamples()
	}
	r.observe(now, lane == slots.Long, o)
}

// resetSamples drops the run times and failures from before an ejection, so that only the
// probe counts.
func (r *targetState) resetSamples() {
	r.shortRunTime = movingAverage{}
	r.failureRate = 0
}

// RecordReport records a target's own report. An unhealthy report bounds the weight by
// unhealthyWeight; a healthy one only removes that bound. load is a share of the slots.
func (t *Tracker) RecordReport(now time.Time, target slots.Target, healthy bool, load float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.group(target.Service).byTarget[target.Name]
	if r == nil {
		return
	}
	r.reportsUnhealthy = !healthy
	r.load = load
	r.loadAt = now
}

// Changes returns the ejections and restorations since the last call.
func (t *Tracker) Changes() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.changes
	t.changes = nil
	return changes
}

// Retain removes every target of the service that is not in names.
func (t *Tracker) Retain(service string, names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(service)
	kept := &serviceGroup{service: service, byTarget: make(map[string]*targetState), evaluatedAt: g.evaluatedAt, sinceProbe: g.sinceProbe}
	for i, name := range g.targets {
		if names[name] {
			kept.add(name, g.states[i])
		}
	}
	t.services[service] = kept
}

// group returns the targets of a service. The lock must be held.
func (t *Tracker) group(service string) *serviceGroup {
	g := t.services[service]
	if g == nil {
		g = &serviceGroup{service: service, byTarget: make(map[string]*targetState)}
		t.services[service] = g
	}
	return g
}

// state returns the state of a target and adds it when it is new.
func (g *serviceGroup) state(now time.Time, id *Identity) *targetState {
	r := g.byTarget[id.Target.Name]
	if r == nil {
		r = newTargetState(id.FailureDomain, id.Slots, now)
		g.add(id.Target.Name, r)
	}
	r.slots = id.Slots
	return r
}

func (g *serviceGroup) add(name string, r *targetState) {
	g.byTarget[name] = r
	g.states = append(g.states, r)
	g.targets = append(g.targets, name)
}

// evaluate evaluates a service's targets if evaluationInterval has passed, and collects
// the changes.
func (t *Tracker) evaluate(now time.Time, g *serviceGroup) {
	if now.Sub(g.evaluatedAt) < evaluationInterval {
		return
	}
	g.evaluatedAt = now
	evaluateGroup(now, g.states)
	median := medianLatency(g.states)
	for i, r := range g.states {
		if !r.phaseChanged {
			continue
		}
		r.phaseChanged = false
		t.changes = append(t.changes, Change{
			Phase: r.phase, FailureRate: r.failureRate,
			Latency: seconds(r.shortRunTime.value), Median: seconds(median),
			Target: slots.Target{Service: g.service, Name: g.targets[i]},
		})
	}
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
