package health

import (
	"sync"
	"time"

	"quetzalknot/process/slots"
)

// judgeInterval is the least time between two comparisons of a service's targets.
const judgeInterval = 100 * time.Millisecond

// View is what routing needs to know about one target.
type View struct {
	// Weight is 0 for a target that is set aside, up to 1 for a trusted one.
	Weight float64
	// Limit is how many requests this host may have in flight there.
	Limit int
	// Latency is the decayed peak of short run times; 0 means unknown.
	Latency time.Duration
	// Load is the target's own report as a share of its slots; negative means unknown.
	Load float64
	// Probe is true when a target that is set aside may get one request.
	Probe bool
}

// Identity names a target and the facts that judging needs.
type Identity struct {
	Target        slots.Target
	FailureDomain string
	Slots         int
}

// Change reports that a target was set aside or taken back.
type Change struct {
	Target  slots.Target
	Phase   Phase
	Latency time.Duration
	Median  time.Duration
	// Failures is the failure rate, 0 to 1.
	Failures float64
}

// Tracker holds the health of all targets as this host sees it. It is safe for
// concurrent use. The caller passes the time in.
type Tracker struct {
	mu       sync.Mutex
	services map[string]*group
	changes  []Change
}

// group holds the targets of one service.
type group struct {
	service  string
	byName   map[string]*record
	records  []*record
	names    []string
	judgedAt time.Time
	// passed counts requests since the last probe.
	passed int
}

// NewTracker returns a tracker that knows no target.
func NewTracker() *Tracker { return &Tracker{services: make(map[string]*group)} }

// Survey fills views for the targets of one service, given in ids. A target seen
// for the first time is cold. Both slices have the same length.
func (t *Tracker) Survey(now time.Time, ids []Identity, views []View) {
	if len(ids) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(ids[0].Target.Service)
	t.judge(now, g)
	probing := g.passed >= probeTraffic
	for i := range ids {
		r := g.record(now, &ids[i])
		views[i] = View{
			Weight: r.weight, Limit: int(r.limit), Load: r.loadNow(now),
			Latency: time.Duration(r.peakNow(now) * float64(time.Second)),
			Probe:   r.phase == SetAside && probing && r.probe.due(now),
		}
	}
}

// Started notes that a request is sent to a target.
func (t *Tracker) Started(now time.Time, id *Identity, lane slots.Lane, probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(id.Target.Service)
	r := g.record(now, id)
	g.passed++
	if probe {
		g.passed = 0
		r.probe.begin(now)
	}
	r.started(now, lane == slots.Long)
}

// Observe takes in the outcome of a request that Started announced.
func (t *Tracker) Observe(now time.Time, target slots.Target, lane slots.Lane, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(target.Service)
	r := g.byName[target.Name]
	if r == nil {
		return
	}
	if r.phase == SetAside && !r.probe.running.IsZero() {
		r.probe.running = time.Time{}
		r.forget()
	}
	r.observe(now, lane == slots.Long, o)
}

// forget drops the run times from before a target was set aside, so that a
// probe is judged by itself.
func (r *record) forget() {
	r.short = average{}
	r.failures = 0
}

// Reported takes in a target's own report. healthy false lowers the weight; a
// good report raises nothing. load is a share of the slots.
func (t *Tracker) Reported(now time.Time, target slots.Target, healthy bool, load float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.group(target.Service).byName[target.Name]
	if r == nil {
		return
	}
	r.sick = !healthy
	r.load = load
	r.loadAt = now
}

// Changes returns and forgets the targets that were set aside or taken back.
func (t *Tracker) Changes() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.changes
	t.changes = nil
	return changes
}

// Keep forgets every target of the service that is not among names.
func (t *Tracker) Keep(service string, names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(service)
	kept := &group{service: service, byName: make(map[string]*record), judgedAt: g.judgedAt, passed: g.passed}
	for i, name := range g.names {
		if names[name] {
			kept.add(name, g.records[i])
		}
	}
	t.services[service] = kept
}

func (t *Tracker) group(service string) *group {
	g := t.services[service]
	if g == nil {
		g = &group{service: service, byName: make(map[string]*record)}
		t.services[service] = g
	}
	return g
}

func (g *group) record(now time.Time, id *Identity) *record {
	r := g.byName[id.Target.Name]
	if r == nil {
		r = newRecord(id.FailureDomain, id.Slots, now)
		g.add(id.Target.Name, r)
	}
	r.slots = id.Slots
	return r
}

func (g *group) add(name string, r *record) {
	g.byName[name] = r
	g.records = append(g.records, r)
	g.names = append(g.names, name)
}

func (t *Tracker) judge(now time.Time, g *group) {
	if now.Sub(g.judgedAt) < judgeInterval {
		return
	}
	g.judgedAt = now
	judge(now, g.records)
	median := medianLatency(g.records)
	for i, r := range g.records {
		if !r.changed {
			continue
		}
		r.changed = false
		t.changes = append(t.changes, Change{
			Phase: r.phase, Failures: r.failures,
			Latency: seconds(r.short.value), Median: seconds(median),
			Target: slots.Target{Service: g.service, Name: g.names[i]},
		})
	}
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
