package route

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/health"
	"quetzalknot/process/metrics"
	"quetzalknot/process/slots"
	"quetzalknot/request"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

// fleet simulates several hosts with routers, and targets that run and shed requests, on
// the fake clock of a synctest bubble.
type fleet struct {
	svc   *config.Service
	snap  *state.Snapshot
	hosts []*fleetHost
	slow  map[string]float64

	mu        sync.Mutex
	running   map[string]int
	overSlots int
	shed      int
	refused   int
	latencies []time.Duration
}

type fleetHost struct {
	f      *fleet
	router *Router
	// head is held by the request at the head of the queue for slots.
	head chan struct{}
}

func newTestFleet(policy string, hosts, targets, targetSlots int) *fleet {
	f := &fleet{
		svc: testService(policy, targets, targetSlots), snap: &state.Snapshot{Version: 1},
		running: make(map[string]int), slow: make(map[string]float64),
	}
	for i := range f.svc.Targets {
		f.svc.Targets[i].Region = "r"
	}
	for range hosts {
		log := zerolog.New(io.Discard).Level(zerolog.Disabled)
		router := NewRouter(slots.NewLocalLimiter(), metrics.NewSet(), log)
		f.hosts = append(f.hosts, &fleetHost{f: f, head: make(chan struct{}, 1), router: router})
	}
	return f
}

// run sends rate requests per second in total through the hosts for the given duration.
func (f *fleet) run(rate float64, run, duration time.Duration, seed uint64) {
	var requests sync.WaitGroup
	for i, h := range f.hosts {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)))
		requests.Go(func() {
			for end := time.Now().Add(duration); time.Now().Before(end); {
				time.Sleep(time.Duration(rnd.ExpFloat64() * float64(time.Second) * float64(len(f.hosts)) / rate))
				length := time.Duration(float64(run) * math.Exp(0.3*rnd.NormFloat64()))
				requests.Go(func() { h.request(length) })
			}
		})
	}
	requests.Wait()
}

func (h *fleetHost) request(length time.Duration) {
	arrived := time.Now()
	info := &request.Info{
		ID: "1", Service: h.f.svc, Class: config.Class{Name: "short"},
		Deadline: arrived.Add(5 * time.Second), Idempotent: true,
	}
	for {
		choice, ok := h.acquire(info)
		if !ok {
			h.f.refuse()
			return
		}
		if h.exchange(choice, length) {
			h.f.done(time.Since(arrived))
			return
		}
	}
}

// acquire waits for a slot, in order of arrival.
func (h *fleetHost) acquire(info *request.Info) (Choice, bool) {
	h.head <- struct{}{}
	defer func() { <-h.head }()
	for time.Now().Before(info.Deadline) {
		changed := h.router.Changed(h.f.svc.Name)
		choice, err := h.router.Choose(info, h.f.snap, nil)
		if err == nil {
			return choice, true
		}
		select {
		case <-changed:
		case <-time.After(time.Until(info.Deadline)):
		}
	}
	return Choice{}, false
}

// exchange runs a request at the selected target. It returns false when the target shed it.
func (h *fleetHost) exchange(choice Choice, length time.Duration) bool {
	if !h.f.begin(choice.Target) {
		time.Sleep(time.Millisecond)
		choice.Done(health.Outcome{Verdict: verdict.NotRun, Shed: true, RunTime: time.Millisecond})
		return false
	}
	if factor := h.f.slow[choice.Target.Name]; factor > 0 {
		length = time.Duration(float64(length) * factor)
	}
	time.Sleep(length)
	h.f.end(choice.Target)
	choice.Done(health.Outcome{Verdict: verdict.Ran, RunTime: length})
	return true
}

func (f *fleet) begin(t *config.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[t.Name] >= t.Slots {
		f.overSlots++
		f.shed++
		return false
	}
	f.running[t.Name]++
	return true
}

func (f *fleet) end(t *config.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[t.Name]--
}

func (f *fleet) done(took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latencies = append(f.latencies, took)
}

func (f *fleet) refuse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused++
}

func (f *fleet) quantile(q float64) time.Duration {
	if len(f.latencies) == 0 {
		return 0
	}
	slices.Sort(f.latencies)
	return f.latencies[int(q*float64(len(f.latencies)-1))].Round(100 * time.Microsecond)
}

// TestPoliciesUnderLoad guards against policies that refuse requests although targets have
// free slots. The latencies are printed with -v for comparison and not asserted.
func TestPoliciesUnderLoad(t *testing.T) {
	const duration = 4 * time.Second
	shapes := []struct {
		targets, slots int
		rate           float64
	}{{20, 6, 900}, {12, 3, 270}}
	for _, shape := range shapes {
		for _, slowed := range []bool{false, true} {
			for _, policy := range config.Policies() {
				name := fmt.Sprintf("targets=%d/slots=%d/rate=%v/slowed=%v/%s", shape.targets, shape.slots, shape.rate, slowed, policy)
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newTestFleet(policy, 7, shape.targets, shape.slots)
						if slowed {
							for i := range (shape.targets + 9) / 10 {
								f.slow[f.svc.Targets[i].Name] = 10
							}
						}
						f.run(shape.rate, 40*time.Millisecond, duration, 1)
						t.Logf("%d ran, p50 %v, p99 %v, p99.9 %v, over slots %d, refused %d",
							len(f.latencies), f.quantile(0.5), f.quantile(0.99), f.quantile(0.999), f.overSlots, f.refused)
						if f.refused > 0 {
							t.Errorf("%d requests were refused although targets had free slots", f.refused)
						}
					})
				})
			}
		}
	}
}
