package fleet

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func newFleet() *Fleet { return New(zerolog.Nop(), SingleHost{}) }

// notOwner is Owners for a host that owns no target.
type notOwner struct{ SingleHost }

func (notOwner) Owns(string, int) bool { return false }

func entry(id string, change func(*Entry)) Entry {
	e := Entry{ID: id, Service: "bokun", Addr: "127.0.0.1:1", FailureDomain: "no-gler", Region: "nordur", Slots: 6, Born: 10, Sequence: 1}
	if change != nil {
		change(&e)
	}
	return e
}

// first returns the target that was added first.
func first(f *Fleet) *Target {
	f.Lock()
	defer f.Unlock()
	return f.Service("bokun")[0]
}

// usable returns the IDs of the targets that may be sent to.
func usable(f *Fleet, now time.Time) []string {
	f.Lock()
	defer f.Unlock()
	var ids []string
	for _, t := range f.Service("bokun") {
		if f.Usable(t, now) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// TestOldReportDoesNotBringALeavingTargetBack: a delayed report from before the target
// began to leave must not make it usable again.
func TestOldReportDoesNotBringALeavingTargetBack(t *testing.T) {
	f := newFleet()
	f.Upsert(entry("t", nil), start)
	f.Upsert(entry("t", func(e *Entry) { e.Sequence, e.Leaving = 3, true }), start)
	f.Upsert(entry("t", func(e *Entry) { e.Sequence = 2 }), start)
	if ids := usable(f, start); len(ids) > 0 {
		t.Errorf("%v are usable though the target is leaving", ids)
	}
	f.Upsert(entry("t", func(e *Entry) { e.Born, e.Sequence = 11, 1 }), start)
	if ids := usable(f, start); len(ids) != 1 {
		t.Errorf("%v are usable after the target restarted, want it usable", ids)
	}
}

// TestReportsInAnyOrder: the newest report must win in whatever order reports arrive.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []Entry
		for born := range int64(3) {
			for sequence := range int64(4) {
				leaving := rapid.Bool().Draw(t, "leaving")
				reports = append(reports, entry("t", func(e *Entry) { e.Born, e.Sequence, e.Leaving = born, sequence, leaving }))
			}
		}
		last := reports[len(reports)-1]
		f := newFleet()
		for _, e := range rapid.Permutation(reports).Draw(t, "order") {
			f.Upsert(e, start)
		}
		if got := len(usable(f, start)) == 1; got == last.Leaving {
			t.Fatalf("usable is %v, the newest report says leaving %v", got, last.Leaving)
		}
	})
}

// TestTargetWithoutReportIsHeld: a target whose report is missing must stay usable for the
// hold, and longer if the report returns.
func TestTargetWithoutReportIsHeld(t *testing.T) {
	f := newFleet()
	f.Upsert(entry("gone", nil), start)
	f.Upsert(entry("back", nil), start)
	f.Remove("gone", start, time.Second)
	f.Remove("back", start, time.Second)
	if n := len(usable(f, start)); n != 2 {
		t.Errorf("%d targets during the hold, want 2", n)
	}
	f.Upsert(entry("back", func(e *Entry) { e.Sequence = 2 }), start)
	f.RemoveExpired(start.Add(time.Second))
	if ids := usable(f, start); len(ids) != 1 || ids[0] != "back" {
		t.Errorf("usable after the hold: %v, want back", ids)
	}
}

// TestTargetsAreMaybeColdAfterEvacuation: targets may have become cold during an
// evacuation, so they get only the rate of cold targets until a health check succeeds.
func TestTargetsAreMaybeColdAfterEvacuation(t *testing.T) {
	f := newFleet()
	f.Upsert(entry("t", nil), start)
	f.SetEvacuated("no-gler", true, start)
	if ids := usable(f, start); len(ids) > 0 {
		t.Fatalf("%v are usable in an evacuated failure domain", ids)
	}
	f.SetEvacuated("no-gler", false, start)
	sent := 0
	for ms := range 3000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		f.Lock()
		if target := f.Service("bokun")[0]; f.Usable(target, now) {
			f.Begin(target, Work{}, now)
			sent++
		}
		f.Unlock()
	}
	if sent > 3 {
		t.Errorf("%d requests in 3 s to a target that may be cold", sent)
	}
	checks := f.DueChecks(start.Add(3 * time.Second))
	if len(checks) != 1 {
		t.Fatalf("%d checks are due", len(checks))
	}
	f.RecordCheck(checks[0], Health{Reachable: true, Healthy: true}, start.Add(3*time.Second))
	if n := len(usable(f, start.Add(3*time.Second))); n != 1 {
		t.Error("the target is not usable after a successful check")
	}
}

// TestOnlyOwnersUseColdTarget: only owners may send to a cold target.
func TestOnlyOwnersUseColdTarget(t *testing.T) {
	f := New(zerolog.Nop(), notOwner{})
	f.Upsert(entry("cold", func(e *Entry) { e.ColdRemaining = time.Second }), start)
	if ids := usable(f, start); len(ids) > 0 {
		t.Errorf("%v are usable by a host that is not an owner", ids)
	}
	if n := len(usable(f, start.Add(time.Second))); n != 1 {
		t.Error("the target is not usable after its cold start")
	}
}

// TestDownTargetRecoversByHealthCheck: a target that refuses connections must get no
// requests until a health check succeeds.
func TestDownTargetRecoversByHealthCheck(t *testing.T) {
	f := newFleet()
	f.Upsert(entry("t", nil), start)
	f.Lock()
	target := f.Service("bokun")[0]
	n := f.Begin(target, Work{}, start)
	f.Unlock()
	f.End(target, n, Outcome{Failed: true, Unreachable: true}, start)
	now := start.Add(time.Minute)
	if ids := usable(f, now); len(ids) > 0 {
		t.Errorf("%v are usable though they refuse connections", ids)
	}
	f.RecordCheck(f.DueChecks(now)[0], Health{}, now)
	if checks := f.DueChecks(now); len(checks) > 0 {
		t.Error("a failed check is repeated without delay")
	}
	now = now.Add(maxCheckDelay)
	f.RecordCheck(f.DueChecks(now)[0], Health{Reachable: true, Healthy: true, ColdRemaining: time.Second}, now)
	f.Lock()
	defer f.Unlock()
	if !target.IsCold(now) || target.IsDown() {
		t.Error("the target is not up and cold after the check")
	}
}

// TestWaitFollowsReports: the estimated wait must follow from the load report and this
// host's own requests, and fall as the report ages.
func TestWaitFollowsReports(t *testing.T) {
	f := newFleet()
	f.Upsert(entry("t", nil), start)
	f.Lock()
	target := f.Service("bokun")[0]
	if w := target.Wait(start); w != 0 {
		t.Errorf("wait of an idle target is %v, want 0", w)
	}
	n := f.Begin(target, Work{RunTime: initialRunTime}, start)
	f.Unlock()
	f.End(target, n, Outcome{Latency: initialRunTime, Load: &Load{Running: 6, Waiting: 6, Slots: 6, RunFactor: 1}}, start)
	f.Lock()
	defer f.Unlock()
	if w := target.Wait(start); w < initialRunTime || w > 2*initialRunTime {
		t.Errorf("wait with 12 requests of %v on 6 slots is %v", initialRunTime, w)
	}
	if w := target.Wait(start.Add(time.Minute)); w > initialRunTime/2 {
		t.Errorf("wait from a load report of a minute ago is %v", w)
	}
}

// TestOverdueRequestsShowSlowTarget: a slow target must be detected by overdue
// requests, before their responses arrive.
func TestOverdueRequestsShowSlowTarget(t *testing.T) {
	f := newFleet()
	f.Upsert(entry("t", nil), start)
	f.Lock()
	defer f.Unlock()
	target := f.Service("bokun")[0]
	for range 3 {
		f.Begin(target, Work{RunTime: 100 * time.Millisecond, Expected: 100 * time.Millisecond}, start)
	}
	if s := target.LatencyRatio(start.Add(100 * time.Millisecond)); s > 1 {
		t.Errorf("latency ratio %v before the responses are due", s)
	}
	if s := target.LatencyRatio(start.Add(time.Second)); s < overdueRatio {
		t.Errorf("latency ratio %v with three responses overdue", s)
	}
}

// TestSendRateIsLimitedWhileReportsAreStale: while reports may be out of date, a target may
// become cold without this host knowing of it, so each target must get a bounded rate of
// requests.
func TestSendRateIsLimitedWhileReportsAreStale(t *testing.T) {
	f := newFleet()
	f.Upsert(entry("t", nil), start)
	f.LimitSendRate(func(string) int { return 2 })
	sent := 0
	for ms := range 3000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		f.Lock()
		if target := f.Service("bokun")[0]; f.Usable(target, now) {
			f.Begin(target, Work{}, now)
			sent++
		}
		f.Unlock()
	}
	if sent != 6 {
		t.Errorf("%d requests in 3 s, want 2 a second", sent)
	}
	f.LiftSendRateLimit()
	if n := len(usable(f, start.Add(3*time.Second))); n != 1 {
		t.Error("the bound is still applied though reports are up to date")
	}
}

// TestSendRateBindsAtEveryBound: in every second at most as many requests as the bound allows
// may be sent, for any bound and for sends at random times, and a bound above maxSendTimes
// must bind as well. Below it, the bound must be used up when there are enough requests.
func TestSendRateBindsAtEveryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(0, 2*maxSendTimes).Draw(t, "bound")
		f := newFleet()
		f.Upsert(entry("t", nil), start)
		f.LimitSendRate(func(string) int { return bound })
		now := start
		var sent []time.Time
		for range 1500 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond)
			f.Lock()
			if target := f.Service("bokun")[0]; f.Usable(target, now) {
				f.Begin(target, Work{}, now)
				sent = append(sent, now)
			}
			f.Unlock()
		}
		allowed := min(bound, maxSendTimes)
		for i := allowed; i < len(sent); i++ {
			if sent[i].Sub(sent[i-allowed]) < time.Second {
				t.Fatalf("more than %d requests in the second before %v", allowed, sent[i].Sub(start))
			}
		}
		if least := min(allowed, 1500); len(sent) < least {
			t.Fatalf("%d requests sent, want at least %d", len(sent), least)
		}
	})
}

// TestFlappingTargetIsUsedOnlyWhileItIsUp: a target that repeatedly goes down and up must
// get nothing while it is down, and must be usable again within maxCheckDelay after it is
// up, however often it was down.
func TestFlappingTargetIsUsedOnlyWhileItIsUp(t *testing.T) {
	f := newFleet()
	f.Upsert(entry("t", nil), start)
	target := first(f)
	now := start
	for turn := range 6 {
		f.MarkDown(target, now)
		for range 30 { // three seconds down
			now = now.Add(100 * time.Millisecond)
			if ids := usable(f, now); len(ids) > 0 {
				t.Fatalf("turn %d: usable while it is down", turn)
			}
			for _, c := range f.DueChecks(now) {
				f.RecordCheck(c, Health{}, now)
			}
		}
		up := now
		for len(usable(f, now)) == 0 {
			now = now.Add(100 * time.Millisecond)
			for _, c := range f.DueChecks(now) {
				f.RecordCheck(c, Health{Reachable: true, Healthy: true}, now)
			}
			if now.Sub(up) > maxCheckDelay {
				t.Fatalf("turn %d: not usable %v after it is up", turn, now.Sub(up))
			}
		}
		now = now.Add(time.Second)
	}
}

// TestGoodHealthChecksDoNotHideFailures: a target that fails requests although its
// health checks succeed must show a high failure rate.
func TestGoodHealthChecksDoNotHideFailures(t *testing.T) {
	f := newFleet()
	f.Upsert(entry("t", nil), start)
	target := first(f)
	for i := range 20 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		f.Lock()
		n := f.Begin(target, Work{}, now)
		f.Unlock()
		f.End(target, n, Outcome{Failed: true}, now)
	}
	if rate := target.FailureRate(start.Add(2 * time.Second)); rate < 0.75 {
		t.Errorf("failure rate %v, want at least 0.75", rate)
	}
	if due := f.DueChecks(start.Add(time.Minute)); len(due) > 0 {
		t.Errorf("%d checks of a target that is not down", len(due))
	}
}

// TestFailingHealthChecksExcludeOnlyDownTargets: failing health checks must not exclude a
// target that was never down, and one that was down must be usable after the first
// successful check.
func TestFailingHealthChecksExcludeOnlyDownTargets(t *testing.T) {
	f := newFleet()
	f.Upsert(entry("t", nil), start)
	now := start.Add(time.Second)
	if due := f.DueChecks(now); len(due) > 0 || len(usable(f, now)) != 1 {
		t.Fatalf("%d checks are due of a target that was never down, or it is not usable", len(due))
	}
	target := first(f)
	f.MarkDown(target, now)
	for range 5 {
		now = now.Add(maxCheckDelay)
		f.RecordCheck(f.DueChecks(now)[0], Health{Reachable: true}, now)
	}
	if ids := usable(f, now); len(ids) > 0 {
		t.Errorf("%v are usable though they report themselves unhealthy", ids)
	}
	now = now.Add(maxCheckDelay)
	f.RecordCheck(f.DueChecks(now)[0], Health{Reachable: true, Healthy: true}, now)
	if len(usable(f, now)) != 1 {
		t.Error("the target is not usable after the first successful check")
	}
}
