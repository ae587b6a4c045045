package health

import (
	"fmt"
	"testing"
	"time"

	"quetzalknot/process/slots"
	"quetzalknot/verdict"
)

const domains = 2

// testService is a service with targets in two failure domains, on a fake clock.
type testService struct {
	t       *testing.T
	now     time.Time
	tracker *Tracker
	ids     []Identity
	views   []View
}

func newTestService(t *testing.T, targets int) *testService {
	f := &testService{t: t, now: time.Unix(1000, 0), tracker: NewTracker(), views: make([]View, targets)}
	for i := range targets {
		f.ids = append(f.ids, Identity{
			Target:        slots.Target{Service: "bokun", Name: fmt.Sprint("t", i)},
			FailureDomain: fmt.Sprint("d", i%domains), Slots: 6,
		})
	}
	return f
}

// rounds sends one request to each target that may get one, n times.
func (f *testService) rounds(n int, run func(i int) Outcome) {
	for range n {
		f.now = f.now.Add(evaluationInterval)
		f.tracker.FillViews(f.now, f.ids, f.views)
		for i := range f.ids {
			if f.views[i].Weight > 0 || f.views[i].Probe {
				f.tracker.RecordStart(f.now, &f.ids[i], slots.Short, f.views[i].Probe)
				f.tracker.RecordOutcome(f.now, f.ids[i].Target, slots.Short, run(i))
			}
		}
	}
	f.tracker.FillViews(f.now, f.ids, f.views)
}

func ranIn(d time.Duration) Outcome { return Outcome{Verdict: verdict.Ran, RunTime: d} }

func runNormally(int) Outcome { return ranIn(10 * time.Millisecond) }

func runSlowlyAt(slow ...int) func(int) Outcome {
	return func(i int) Outcome {
		for _, s := range slow {
			if s == i {
				return ranIn(100 * time.Millisecond)
			}
		}
		return runNormally(i)
	}
}

func (f *testService) ejected() (n int) {
	for _, v := range f.views {
		if v.Weight == 0 {
			n++
		}
	}
	return n
}

func TestSlowTargetIsEjectedAndRestored(t *testing.T) {
	f := newTestService(t, 20)
	f.rounds(10, runNormally)
	f.rounds(10, runSlowlyAt(3))
	if f.views[3].Weight != 0 || f.ejected() != 1 {
		t.Fatalf("weight of the slow target = %v, %d targets ejected", f.views[3].Weight, f.ejected())
	}
	f.rounds(100, runSlowlyAt(3))
	if f.views[3].Weight != 0 {
		t.Fatal("a slow probe ended the ejection")
	}
	f.rounds(200, runNormally)
	if f.views[3].Weight != 1 {
		t.Fatalf("weight after recovery = %v, want 1", f.views[3].Weight)
	}
}

func TestFailingTargetIsEjected(t *testing.T) {
	f := newTestService(t, 20)
	f.rounds(10, runNormally)
	f.rounds(10, func(i int) Outcome {
		if i == 5 {
			return Outcome{Verdict: verdict.NotRun, Failed: true}
		}
		return runNormally(i)
	})
	if f.views[5].Weight != 0 {
		t.Fatalf("weight = %v, want 0", f.views[5].Weight)
	}
}

func TestEjectedShareOfAFailureDomainIsBounded(t *testing.T) {
	for _, targets := range []int{2, 3, 6, 12, 20} {
		f := newTestService(t, targets)
		f.rounds(10, runNormally)
		for round := range 50 {
			f.rounds(1, func(i int) Outcome {
				if i%domains == 0 {
					return Outcome{Failed: true}
				}
				return runNormally(i)
			})
			perDomain := (targets + 1) / domains
			if n := f.ejected(); float64(n) > maxEjectedShare*float64(perDomain)+0.5 {
				t.Fatalf("round %d: %d of %d targets of a failure domain are ejected", round, n, perDomain)
			}
		}
	}
}

func TestSlowEverywhereIsNoOutlier(t *testing.T) {
	f := newTestService(t, 20)
	f.rounds(10, runNormally)
	f.rounds(50, func(int) Outcome { return ranIn(100 * time.Millisecond) })
	if f.ejected() != 0 {
		t.Fatalf("%d targets ejected although all have the same latency", f.ejected())
	}
}

func TestStalledTargetIsDetectedBeforeItResponds(t *testing.T) {
	f := newTestService(t, 20)
	f.rounds(10, runNormally)
	f.tracker.RecordStart(f.now, &f.ids[4], slots.Short, false)
	f.now = f.now.Add(time.Second)
	f.tracker.FillViews(f.now, f.ids, f.views)
	if f.views[4].Weight != 0 {
		t.Fatalf("weight = %v, want 0", f.views[4].Weight)
	}
}

func TestReportOnlyLowersWeight(t *testing.T) {
	f := newTestService(t, 20)
	f.rounds(10, runSlowlyAt(3))
	f.tracker.RecordReport(f.now, f.ids[3].Target, true, 0)
	f.tracker.RecordReport(f.now, f.ids[4].Target, false, 0.5)
	f.rounds(5, runSlowlyAt(3))
	if f.views[3].Weight != 0 {
		t.Fatal("a healthy report ended the ejection of a slow target")
	}
	if w := f.views[4].Weight; w != unhealthyWeight {
		t.Fatalf("weight of a target that reports itself unhealthy = %v, want %v", w, unhealthyWeight)
	}
	if f.views[4].Load <= 0 {
		t.Fatal("a new load report is not used")
	}
	f.now = f.now.Add(loadReportTTL)
	f.tracker.FillViews(f.now, f.ids, f.views)
	if f.views[4].Load >= 0 {
		t.Fatalf("load = %v, want unknown after %v", f.views[4].Load, loadReportTTL)
	}
}

func TestLimitGrowsStepwiseAndShrinksWhenShed(t *testing.T) {
	f := newTestService(t, 2)
	f.tracker.FillViews(f.now, f.ids, f.views)
	if f.views[0].Limit != 1 {
		t.Fatalf("limit of a new target = %d, want 1", f.views[0].Limit)
	}
	for want := 2; want <= 6; want++ {
		f.rounds(1, runNormally)
		if f.views[0].Limit != want {
			t.Fatalf("limit = %d, want %d", f.views[0].Limit, want)
		}
	}
	f.rounds(1, func(int) Outcome { return Outcome{Verdict: verdict.NotRun, Shed: true} })
	if f.views[0].Limit >= 6 {
		t.Fatalf("limit after a shed response = %d", f.views[0].Limit)
	}
	f.rounds(10, runNormally)
	if f.views[0].Limit != 6 {
		t.Fatalf("limit after recovery = %d, want 6", f.views[0].Limit)
	}
}

func TestWronglyDeclaredClassIsReportedOnce(t *testing.T) {
	classes := NewClasses()
	short := Class{Service: "bokun", Name: "slots"}
	wrong := Class{Service: "bokun", Name: "archive"}
	findings := 0
	for range 200 {
		classes.Observe(short, 5*time.Millisecond)
		if f, found := classes.Observe(wrong, time.Second); found {
			findings++
			if f.Fault != "short runs long" {
				t.Fatalf("fault = %q", f.Fault)
			}
		}
	}
	if findings != 1 {
		t.Fatalf("%d findings, want 1", findings)
	}
}
