package route

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/process/health"
	"quetzalknot/process/metrics"
	"quetzalknot/process/slots"
	"quetzalknot/request"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

func testService(policy string, targets, targetSlots int) *config.Service {
	svc := &config.Service{Name: "bokun", Policy: policy}
	for i := range targets {
		svc.Targets = append(svc.Targets, config.Target{
			Name: fmt.Sprintf("bokun-%03d", i), Addr: "127.0.0.1:9", Region: fmt.Sprint("r", i%2),
			FailureDomain: fmt.Sprint("d", i%4), Slots: targetSlots,
		})
	}
	return svc
}

func testRouter(options ...Option) *Router {
	return NewRouter(slots.NewLocalLimiter(), metrics.NewSet(), zerolog.New(io.Discard).Level(zerolog.Disabled), options...)
}

func shortInfo(svc *config.Service) *request.Info {
	return &request.Info{ID: "1", Service: svc, Class: config.Class{Name: "short"}, Deadline: time.Now().Add(time.Minute)}
}

// TestUnknownPolicyFallsBackToDefault checks that a ticket that names a policy of an
// earlier release is still served, by the default policy.
func TestUnknownPolicyFallsBackToDefault(t *testing.T) {
	r := testRouter()
	svc := testService("credits", 4, 1)
	for range svc.Targets {
		if _, err := r.Choose(shortInfo(svc), &state.Snapshot{}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if p, _ := r.plan(shortInfo(svc), &state.Snapshot{}); p.policy != (TwoChoices{}) {
		t.Errorf("policy is %T, not the default", p.policy)
	}
}

func TestPoliciesPickOnlyUsableTargets(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, name := range config.Policies() {
		policy, ok := NewPolicy(name)
		if !ok {
			t.Fatalf("policy %q is unknown", name)
		}
		for range 200 {
			candidates := make([]Candidate, rnd.IntN(6))
			free := false
			for i := range candidates {
				candidates[i] = Candidate{Free: rnd.IntN(3) - 1, Weight: float64(rnd.IntN(3)) / 2, Latency: time.Duration(rnd.IntN(3))}
				free = free || candidates[i].Free > 0 && candidates[i].Weight > 0
			}
			index := policy.Pick(candidates, rnd)
			if (index != None) != free {
				t.Fatalf("%s: picked %d of %+v", name, index, candidates)
			}
			if index != None && (candidates[index].Free <= 0 || candidates[index].Weight <= 0) {
				t.Fatalf("%s: picked a target without a free slot: %+v", name, candidates[index])
			}
		}
	}
}

func TestChooseWithoutFreeSlotIsNotRun(t *testing.T) {
	r := testRouter()
	svc := testService("", 2, 1)
	info := shortInfo(svc)
	snap := &state.Snapshot{}
	first, err := r.Choose(info, snap, nil)
	if err != nil {
		t.Fatal(err)
	}
	second, err := r.Choose(info, snap, []string{first.Target.Name})
	if err != nil || second.Target.Name == first.Target.Name {
		t.Fatalf("second attempt went to %v, %v", second.Target, err)
	}
	if _, err := r.Choose(info, snap, nil); !errors.Is(err, ErrNoFreeSlot) || verdict.Of(err) != verdict.NotRun {
		t.Fatalf("error = %v, want ErrNoFreeSlot and not-run", err)
	}
	changed := r.Changed(svc.Name)
	second.Done(health.Outcome{Verdict: verdict.Ran, RunTime: time.Millisecond})
	second.Release()
	select {
	case <-changed:
	default:
		t.Fatal("a slot was released without a notification of the waiters")
	}
}

func TestOwnRegionPreferredAndLeavingTargetExcluded(t *testing.T) {
	r := testRouter(WithRegion("r1"))
	svc := testService("", 4, 1)
	leaving := map[state.TargetKey]bool{{Service: svc.Name, Target: "bokun-001"}: true}
	snap := &state.Snapshot{LeavingTargets: leaving}
	var got []string
	for range 3 {
		choice, err := r.Choose(shortInfo(svc), snap, nil)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, choice.Target.Name)
	}
	if got[0] != "bokun-003" {
		t.Fatalf("first choice = %s, want the target of this region", got[0])
	}
	if _, err := r.Choose(shortInfo(svc), snap, nil); err == nil {
		t.Fatal("the leaving target was selected")
	}
}

func TestLongClassUsesStableTargetSubset(t *testing.T) {
	r := testRouter()
	svc := testService("", 20, 6)
	info := shortInfo(svc)
	info.Class = config.Class{Name: "archive", Long: true}
	used := make(map[string]bool)
	for range 500 {
		choice, err := r.Choose(info, &state.Snapshot{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		used[choice.Target.Name] = true
		choice.Done(health.Outcome{Verdict: verdict.Ran, RunTime: time.Millisecond})
	}
	if len(used) > 10 {
		t.Fatalf("the long class used %d of 20 targets, want at most half", len(used))
	}
	fewer := testService("", 19, 6)
	before := make(map[string]bool)
	for _, target := range subset(svc, info.Class) {
		before[target.Name] = true
	}
	moved := 0
	for _, target := range subset(fewer, info.Class) {
		if !before[target.Name] {
			moved++
		}
	}
	if moved > 1 {
		t.Fatalf("%d targets of the long class changed when one target left", moved)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, name := range config.Policies() {
		for _, targets := range []int{20, 100, 1000} {
			b.Run(fmt.Sprintf("%s/targets=%d", name, targets), func(b *testing.B) {
				r := testRouter()
				svc := testService(name, targets, 6)
				info := shortInfo(svc)
				snap := &state.Snapshot{}
				p, class := r.plan(info, snap)
				s := newScratch()
				now := time.Now()
				b.ReportAllocs()
				for b.Loop() {
					r.plan(info, snap)
					if index, _ := r.decide(now, p.policy, class, nil, s); index == None {
						b.Fatal("no free slot")
					}
				}
			})
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	r := testRouter()
	svc := testService("", 20, 6)
	info := shortInfo(svc)
	snap := &state.Snapshot{}
	b.ReportAllocs()
	for b.Loop() {
		choice, err := r.Choose(info, snap, nil)
		if err != nil {
			b.Fatal(err)
		}
		choice.Done(health.Outcome{Verdict: verdict.Ran, RunTime: time.Millisecond})
	}
}
