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
	answerBytes = 4000
	// streamOfArrivals separates the random numbers of the requests, which are the same
	// for every policy, from those of the targets.
	streamOfArrivals, streamOfTargets = 1, 2
)

// Result is what a policy came to.
type Result struct {
	Policy  string
	Asked   int
	InTime  int
	Late    int
	Refused int
	// Shed is how many attempts targets rejected.
	Shed int
	// Worth is the share of the worth that was earned.
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
	target  *emulated
	sent    time.Time
	way     time.Duration
}

// event is something that happens at a time.
type event struct {
	at time.Time
	// order keeps events of one time in the order in which they were made.
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
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

// world is one run of one policy.
type world struct {
	file    *File
	rnd     *rand.Rand
	now     time.Time
	made    int
	coming  events
	targets []*emulated
	byID    map[string]*emulated
	hosts   [][]Policy

	result       Result
	owed, earned float64
	took         []time.Duration
}

// Run runs all policies of an experiment and returns their results in order.
func Run(f *File) []Result {
	var results []Result
	for _, name := range f.Policies {
		results = append(results, runPolicy(f, name))
	}
	return results
}

func runPolicy(f *File, name string) Result {
	w := &world{file: f, rnd: rand.New(rand.NewPCG(f.Seed, streamOfTargets)), now: time.Unix(0, 0), byID: make(map[string]*emulated)}
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
	w.plan()
	for len(w.coming) > 0 {
		e := heap.Pop(&w.coming).(event)
		w.now = e.at
		e.do()
	}
	return w.sum(name)
}

// after makes something happen after a time.
func (w *world) after(d time.Duration, do func()) {
	w.made++
	heap.Push(&w.coming, event{at: w.now.Add(d), order: w.made, do: do})
}

// plan makes the arrivals and the disturbances.
func (w *world) plan() {
	r := rand.New(rand.NewPCG(w.file.Seed, streamOfArrivals))
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
			w.after(seconds(at), func() { q.at = w.now; w.send(q, host) })
		}
	}
	for _, s := range w.file.Slow {
		n := int(s.Share * float64(len(w.targets)))
		for _, i := range r.Perm(len(w.targets))[:n] {
			t := w.targets[i]
			w.after(seconds(s.AtSeconds), func() { t.slow = s.Times })
			w.after(seconds(s.AtSeconds+s.ForSeconds), func() { t.slow = 1 })
		}
	}
}

func (w *world) drawRegion(r *rand.Rand) int {
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

// send lets a host choose and send a request once.
func (w *world) send(q *request, host Policy) {
	id, done, ok := host.Choose(place.Ask{Route: q.route, Service: serviceName, Object: q.object, Tried: q.tried}, w.now)
	if !ok {
		w.refuse(q)
		return
	}
	a := &attempt{request: q, host: host, done: done, target: w.byID[id], sent: w.now}
	if a.target.region != w.file.Regions[q.region].Name {
		a.way = millis(w.file.RegionMS)
	}
	q.tried = append(q.tried, id)
	w.after(a.way, func() { w.arrive(a) })
}

func (w *world) arrive(a *attempt) {
	start, ok := a.target.take(a)
	switch {
	case !ok:
		w.result.Shed++
		load := a.target.load()
		w.after(a.way, func() {
			a.done(fleet.Outcome{Shed: true, Load: load, Run: w.now.Sub(a.sent)}, w.now)
			if len(a.request.tried) < a.request.route.Attempts {
				w.send(a.request, a.host)
				return
			}
			w.refuse(a.request)
		})
	case start:
		w.start(a)
	}
}

func (w *world) start(a *attempt) {
	w.after(a.target.runTime(a, w.rnd), func() {
		if next := a.target.next(); next != nil {
			w.start(next)
		}
		load := a.target.load()
		w.after(a.way, func() {
			a.done(fleet.Outcome{Load: load, Run: w.now.Sub(a.sent)}, w.now)
			w.served(a.request)
		})
	})
}

func (w *world) refuse(q *request) {
	w.result.Asked++
	w.result.Refused++
	w.owed += q.kind.worth()
}

func (w *world) served(q *request) {
	w.result.Asked++
	w.owed += q.kind.worth()
	took := w.now.Sub(q.at)
	w.took = append(w.took, took)
	if took <= q.route.Objective {
		w.result.InTime++
		w.earned += q.kind.worth()
		return
	}
	w.result.Late++
	w.earned += lateWorth * q.kind.worth()
}

func (k *Kind) worth() float64 {
	if k.Worth == 0 {
		return 1
	}
	return k.Worth
}

func (w *world) sum(name string) Result {
	w.result.Policy = name
	w.result.Worth = w.earned / max(w.owed, 1e-9)
	slices.Sort(w.took)
	if n := len(w.took); n > 0 {
		w.result.P50, w.result.P99 = w.took[n/2], w.took[n*99/100]
	}
	return w.result
}

// Write writes results as a table.
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
