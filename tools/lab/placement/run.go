package placement

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalknot/process/fleet"
	"quetzalknot/request/place"
	"quetzalknot/version/routes"
)

const (
	serviceName = "service"
	// responseBytes is the size of each response, in bytes.
	responseBytes = 4000
	// arrivalStream and targetStream select separate streams of random numbers, so
	// that the arrivals are the same under every policy.
	arrivalStream, targetStream = 1, 2
)

// Result holds the results of one policy.
type Result struct {
	Policy string
	// Asked is the number of requests. Each is counted in InTime or Late, by whether it
	// was served within its latency objective, or in Refused if it was not served.
	Asked   int
	InTime  int
	Late    int
	Refused int
	// Shed is the number of attempts that targets shed.
	Shed int
	// Worth is the earned value as a share of the value of all requests.
	Worth    float64
	P50, P99 time.Duration
}

type request struct {
	kind   *Kind
	route  *routes.Route
	region int
	object uint64
	at     time.Time
	tried  []string
}

type attempt struct {
	request *request
	policy  Policy
	done    func(fleet.Outcome, time.Time)
	target  *emulatedTarget
	sent    time.Time
	oneWay  time.Duration
}

// event is a function that runs at a simulated time.
type event struct {
	at time.Time
	// sequence orders events of the same time by their creation.
	sequence int
	do       func()
}

// events is a heap of events ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation simulates one experiment under one policy.
type simulation struct {
	file       *File
	rnd        *rand.Rand
	now        time.Time
	eventCount int
	pending    events
	targets    []*emulatedTarget
	byID       map[string]*emulatedTarget
	// hostPolicies holds the policy of each host, by the index of its region.
	hostPolicies [][]Policy

	result                    Result
	offeredValue, earnedValue float64
	latencies                 []time.Duration
}

// Run simulates an experiment under each of its policies and returns the results in
// the order of the policies.
func Run(f *File) []Result {
	var results []Result
	for _, name := range f.Policies {
		results = append(results, runPolicy(f, name))
	}
	return results
}

func runPolicy(f *File, name string) Result {
	sim := &simulation{file: f, rnd: rand.New(rand.NewPCG(f.Seed, targetStream)), now: time.Unix(0, 0), byID: make(map[string]*emulatedTarget)}
	for _, region := range f.Regions {
		for range region.Targets {
			t := newTarget(len(sim.targets), region.Name, f.Target, sim.rnd)
			sim.targets = append(sim.targets, t)
			sim.byID[t.id] = t
		}
	}
	for _, region := range f.Regions {
		var ofRegion []Policy
		for range f.HostsPerRegion {
			ofRegion = append(ofRegion, policies[name](sim, region.Name))
		}
		sim.hostPolicies = append(sim.hostPolicies, ofRegion)
	}
	sim.scheduleEvents()
	for len(sim.pending) > 0 {
		e := heap.Pop(&sim.pending).(event)
		sim.now = e.at
		e.do()
	}
	return sim.summarize(name)
}

// schedule runs do after a simulated duration.
func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.eventCount++
	heap.Push(&sim.pending, event{at: sim.now.Add(d), sequence: sim.eventCount, do: do})
}

// scheduleEvents schedules the arrivals of requests and the slowdowns of targets.
func (sim *simulation) scheduleEvents() {
	r := rand.New(rand.NewPCG(sim.file.Seed, arrivalStream))
	for i := range sim.file.Kinds {
		kind := &sim.file.Kinds[i]
		route := kind.route()
		zipf := rand.NewZipf(r, kind.Zipf, 1, kind.Objects-1)
		for at := 0.0; ; {
			if at += r.ExpFloat64() / kind.PerSecond; at >= sim.file.Seconds {
				break
			}
			q := &request{kind: kind, route: route, region: sim.drawRegion(r)}
			q.object = place.ObjectHash(serviceName, kind.Name, fmt.Sprint(zipf.Uint64()))
			policy := sim.hostPolicies[q.region][r.IntN(sim.file.HostsPerRegion)]
			sim.schedule(seconds(at), func() { q.at = sim.now; sim.send(q, policy) })
		}
	}
	for _, s := range sim.file.Slow {
		n := int(s.Share * float64(len(sim.targets)))
		for _, i := range r.Perm(len(sim.targets))[:n] {
			t := sim.targets[i]
			sim.schedule(seconds(s.AtSeconds), func() { t.slowdown = s.Factor })
			sim.schedule(seconds(s.AtSeconds+s.ForSeconds), func() { t.slowdown = 1 })
		}
	}
}

func (sim *simulation) drawRegion(r *rand.Rand) int {
	total := 0.0
	for _, region := range sim.file.Regions {
		total += region.CallerWeight
	}
	point := r.Float64() * total
	for i, region := range sim.file.Regions {
		if point < region.CallerWeight {
			return i
		}
		point -= region.CallerWeight
	}
	return len(sim.file.Regions) - 1
}

// send makes one attempt: the host's policy chooses a target, and the host sends the
// request to it.
func (sim *simulation) send(q *request, policy Policy) {
	id, done, ok := policy.Choose(place.Request{Route: q.route, Service: serviceName, Object: q.object, Tried: q.tried}, sim.now)
	if !ok {
		sim.recordRefused(q)
		return
	}
	a := &attempt{request: q, policy: policy, done: done, target: sim.byID[id], sent: sim.now}
	if a.target.region != sim.file.Regions[q.region].Name {
		a.oneWay = millis(sim.file.RegionOneWayMS)
	}
	q.tried = append(q.tried, id)
	sim.schedule(a.oneWay, func() { sim.arrive(a) })
}

// arrive handles an attempt at its target, which runs it, queues it or sheds it. The
// host retries a shed request while it has attempts left.
func (sim *simulation) arrive(a *attempt) {
	start, ok := a.target.accept(a)
	switch {
	case !ok:
		sim.result.Shed++
		load := a.target.load()
		sim.schedule(a.oneWay, func() {
			a.done(fleet.Outcome{Shed: true, Load: load, Latency: sim.now.Sub(a.sent)}, sim.now)
			if len(a.request.tried) < a.request.route.Attempts {
				sim.send(a.request, a.policy)
				return
			}
			sim.recordRefused(a.request)
		})
	case start:
		sim.start(a)
	}
}

func (sim *simulation) start(a *attempt) {
	sim.schedule(a.target.runTime(a, sim.rnd), func() {
		if next := a.target.finish(); next != nil {
			sim.start(next)
		}
		load := a.target.load()
		sim.schedule(a.oneWay, func() {
			a.done(fleet.Outcome{Load: load, Latency: sim.now.Sub(a.sent)}, sim.now)
			sim.recordServed(a.request)
		})
	})
}

func (sim *simulation) recordRefused(q *request) {
	sim.result.Asked++
	sim.result.Refused++
	sim.offeredValue += q.kind.value()
}

func (sim *simulation) recordServed(q *request) {
	sim.result.Asked++
	sim.offeredValue += q.kind.value()
	latency := sim.now.Sub(q.at)
	sim.latencies = append(sim.latencies, latency)
	if latency <= q.route.Objective {
		sim.result.InTime++
		sim.earnedValue += q.kind.value()
		return
	}
	sim.result.Late++
	sim.earnedValue += lateValueShare * q.kind.value()
}

func (k *Kind) value() float64 {
	if k.Value == 0 {
		return 1
	}
	return k.Value
}

func (sim *simulation) summarize(name string) Result {
	sim.result.Policy = name
	sim.result.Worth = sim.earnedValue / max(sim.offeredValue, 1e-9)
	slices.Sort(sim.latencies)
	if n := len(sim.latencies); n > 0 {
		sim.result.P50, sim.result.P99 = sim.latencies[n/2], sim.latencies[n*99/100]
	}
	return sim.result
}

// Write writes the results as a Markdown table.
func Write(out io.Writer, results []Result) error {
	_, err := fmt.Fprintln(out, "| policy | worth | in time | late | refused | shed attempts | p50 ms | p99 ms |\n|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		if err != nil {
			return err
		}
		n := float64(max(1, r.Asked))
		_, err = fmt.Fprintf(out, "| %s | %.3f | %.3f | %.3f | %.3f | %d | %d | %d |\n", r.Policy, r.Worth,
			float64(r.InTime)/n, float64(r.Late)/n, float64(r.Refused)/n, r.Shed, r.P50.Milliseconds(), r.P99.Milliseconds())
	}
	return err
}
