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
	serviceName   = "service"
	responseBytes = 4000
	// arrivalStream and targetStream select separate streams of random numbers, so
	// that the arrivals are the same under every policy.
	arrivalStream, targetStream = 1, 2
)

// Result holds the results of one policy.
type Result struct {
	Policy  string
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
	host    Policy
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
	hosts      [][]Policy

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
	w := &simulation{file: f, rnd: rand.New(rand.NewPCG(f.Seed, targetStream)), now: time.Unix(0, 0), byID: make(map[string]*emulatedTarget)}
	for _, region := range f.Regions {
		for range region.Targets {
			t := newTarget(len(w.targets), region.Name, f.Target, w.rnd)
			w.targets = append(w.targets, t)
			w.byID[t.id] = t
		}
	}
	for _, region := range f.Regions {
		var hosts []Policy
		for range f.HostsPerRegion {
			hosts = append(hosts, policies[name](w, region.Name))
		}
		w.hosts = append(w.hosts, hosts)
	}
	w.scheduleEvents()
	for len(w.pending) > 0 {
		e := heap.Pop(&w.pending).(event)
		w.now = e.at
		e.do()
	}
	return w.summarize(name)
}

// schedule runs do after a simulated duration.
func (w *simulation) schedule(d time.Duration, do func()) {
	w.eventCount++
	heap.Push(&w.pending, event{at: w.now.Add(d), sequence: w.eventCount, do: do})
}

// scheduleEvents schedules the arrivals of requests and the slowdowns of targets.
func (w *simulation) scheduleEvents() {
	r := rand.New(rand.NewPCG(w.file.Seed, arrivalStream))
	for i := range w.file.Kinds {
		kind := &w.file.Kinds[i]
		route := kind.route()
		zipf := rand.NewZipf(r, kind.Zipf, 1, kind.Objects-1)
		for at := 0.0; ; {
			if at += r.ExpFloat64() / kind.PerSecond; at >= w.file.Seconds {
				break
			}
			q := &request{kind: kind, route: route, region: w.drawRegion(r)}
			q.object = place.Object(serviceName, kind.Name, fmt.Sprint(zipf.Uint64()))
			host := w.hosts[q.region][r.IntN(w.file.HostsPerRegion)]
			w.schedule(seconds(at), func() { q.at = w.now; w.send(q, host) })
		}
	}
	for _, s := range w.file.Slow {
		n := int(s.Share * float64(len(w.targets)))
		for _, i := range r.Perm(len(w.targets))[:n] {
			t := w.targets[i]
			w.schedule(seconds(s.AtSeconds), func() { t.slowdown = s.Times })
			w.schedule(seconds(s.AtSeconds+s.ForSeconds), func() { t.slowdown = 1 })
		}
	}
}

func (w *simulation) drawRegion(r *rand.Rand) int {
	total := 0.0
	for _, region := range w.file.Regions {
		total += region.Callers
	}
	point := r.Float64() * total
	for i, region := range w.file.Regions {
		if point < region.Callers {
			return i
		}
		point -= region.Callers
	}
	return len(w.file.Regions) - 1
}

// send makes one attempt: the host chooses a target and sends the request to it.
func (w *simulation) send(q *request, host Policy) {
	id, done, ok := host.Choose(place.Ask{Route: q.route, Service: serviceName, Object: q.object, Tried: q.tried}, w.now)
	if !ok {
		w.recordRefused(q)
		return
	}
	a := &attempt{request: q, host: host, done: done, target: w.byID[id], sent: w.now}
	if a.target.region != w.file.Regions[q.region].Name {
		a.oneWay = millis(w.file.RegionMS)
	}
	q.tried = append(q.tried, id)
	w.schedule(a.oneWay, func() { w.arrive(a) })
}

// arrive handles an attempt at its target, which runs it, queues it or sheds it. The
// host retries a shed request while it has attempts left.
func (w *simulation) arrive(a *attempt) {
	start, ok := a.target.accept(a)
	switch {
	case !ok:
		w.result.Shed++
		load := a.target.load()
		w.schedule(a.oneWay, func() {
			a.done(fleet.Outcome{Shed: true, Load: load, Run: w.now.Sub(a.sent)}, w.now)
			if len(a.request.tried) < a.request.route.Attempts {
				w.send(a.request, a.host)
				return
			}
			w.recordRefused(a.request)
		})
	case start:
		w.start(a)
	}
}

func (w *simulation) start(a *attempt) {
	w.schedule(a.target.runTime(a, w.rnd), func() {
		if next := a.target.finish(); next != nil {
			w.start(next)
		}
		load := a.target.load()
		w.schedule(a.oneWay, func() {
			a.done(fleet.Outcome{Load: load, Run: w.now.Sub(a.sent)}, w.now)
			w.recordServed(a.request)
		})
	})
}

func (w *simulation) recordRefused(q *request) {
	w.result.Asked++
	w.result.Refused++
	w.offeredValue += q.kind.value()
}

func (w *simulation) recordServed(q *request) {
	w.result.Asked++
	w.offeredValue += q.kind.value()
	latency := w.now.Sub(q.at)
	w.latencies = append(w.latencies, latency)
	if latency <= q.route.Objective {
		w.result.InTime++
		w.earnedValue += q.kind.value()
		return
	}
	w.result.Late++
	w.earnedValue += lateValueShare * q.kind.value()
}

func (k *Kind) value() float64 {
	if k.Worth == 0 {
		return 1
	}
	return k.Worth
}

func (w *simulation) summarize(name string) Result {
	w.result.Policy = name
	w.result.Worth = w.earnedValue / max(w.offeredValue, 1e-9)
	slices.Sort(w.latencies)
	if n := len(w.latencies); n > 0 {
		w.result.P50, w.result.P99 = w.latencies[n/2], w.latencies[n*99/100]
	}
	return w.result
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
