package place

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"quetzalknot/process/fleet"
	"quetzalknot/version/routes"
)

var start = time.Unix(1000, 0)

var searchRoute = &routes.Route{
	Name: "search", Idempotent: true, Kind: "safe", Objective: 500 * time.Millisecond, Attempts: 2, Affinity: true,
	Services: []routes.WeightedService{{Service: "bokun", Weight: 1}},
}

// newFleet returns a fleet with counts[i] targets in region i.
func newFleet(counts ...int) *fleet.Fleet {
	f := fleet.New(zerolog.Nop(), fleet.SingleHost{})
	n := 0
	for region, count := range counts {
		for range count {
			f.Upsert(fleet.Entry{
				ID: fmt.Sprint("t", n), Service: "bokun", Addr: "127.0.0.1:1", Slots: 6,
				Region: fmt.Sprint("region", region), FailureDomain: fmt.Sprint("zone", region), Born: 1, Sequence: 1,
			}, start)
			n++
		}
	}
	return f
}

func newChooser(f *fleet.Fleet, region int) *Chooser {
	return New(f, Options{
		Region: fmt.Sprint("region", region), FailureDomain: fmt.Sprint("zone", region),
		Costs: Costs{CrossDomain: 4 * time.Millisecond, CrossRegion: 10 * time.Millisecond},
	})
}

func object(i int) uint64 { return ObjectHash("bokun", "search", fmt.Sprint(i)) }

// serve selects a target for an object and completes the request at once.
func serve(t *testing.T, c *Chooser, o uint64, now time.Time) string {
	t.Helper()
	choice, err := c.Choose(Request{Route: searchRoute, Service: "bokun", Object: o}, now)
	if err != nil {
		t.Fatal(err)
	}
	c.Done(choice, searchRoute, fleet.Outcome{Latency: runTime(choice), Load: &fleet.Load{Slots: 6, RunFactor: 1}}, 4000, now)
	return choice.ID
}

// runTime returns the simulated run time of a request at the selected target.
func runTime(choice Choice) time.Duration {
	if choice.Cached {
		return 150 * time.Millisecond
	}
	return 500 * time.Millisecond
}

// TestHostsSelectSameTarget guards against hosts of a region that select different
// targets for an object although they have the same information.
func TestHostsSelectSameTarget(t *testing.T) {
	a, b := newChooser(newFleet(4, 8, 8), 1), newChooser(newFleet(4, 8, 8), 1)
	// Use up the bonus of targets that have not had a request.
	for i := range 200 {
		serve(t, a, object(1000+i), start)
		serve(t, b, object(1000+i), start)
	}
	now := start.Add(time.Hour)
	for i := range 200 {
		if x, y := serve(t, a, object(i), now), serve(t, b, object(i), now); x != y {
			t.Errorf("object %d goes to %s and %s", i, x, y)
		}
	}
}

// TestOnlyObjectsOfLeavingTargetMove checks that the departure of a target moves only the
// objects assigned to it, and a few that move because its region has fewer slots.
func TestOnlyObjectsOfLeavingTargetMove(t *testing.T) {
	f := newFleet(4, 8, 8)
	c := newChooser(f, 1)
	for i := range 400 {
		serve(t, c, object(1000+i), start)
	}
	now := start.Add(time.Hour)
	before := make(map[int]string)
	for i := range 300 {
		before[i] = serve(t, c, object(i), now)
	}
	gone := before[0]
	f.Remove(gone, now, 0)
	now = now.Add(time.Hour)
	moved := 0
	for i := range 300 {
		if after := serve(t, c, object(i), now); before[i] != gone && after != before[i] {
			moved++
		}
	}
	if moved > 3 {
		t.Errorf("%d of 300 objects moved that were not at %s", moved, gone)
	}
}

// TestRegionWithFewSlotsKeepsFewerObjects checks that a region with many slots keeps most
// of its objects, and one with few slots keeps fewer.
func TestRegionWithFewSlotsKeepsFewerObjects(t *testing.T) {
	share := func(region int) float64 {
		c := newChooser(newFleet(2, 9, 9), region)
		for i := range 400 {
			serve(t, c, object(10_000+i), start)
		}
		now := start.Add(time.Hour)
		home := 0
		for i := range 1000 {
			choice, err := c.Choose(Request{Route: searchRoute, Service: "bokun", Object: object(i)}, now)
			if err != nil {
				t.Fatal(err)
			}
			if choice.Target.Region == fmt.Sprint("region", region) {
				home++
			}
			c.Done(choice, searchRoute, fleet.Outcome{Latency: runTime(choice)}, 4000, now)
		}
		return float64(home) / 1000
	}
	small, large := share(0), share(1)
	if small > 0.6 || large < 0.7 {
		t.Errorf("%v of the objects stay in the region with 2 targets, %v in one with 9", small, large)
	}
}

// TestOverloadedTargetIsAvoidedForAWhile checks that an object moves away from an overloaded
// target and returns to it afterwards.
func TestOverloadedTargetIsAvoidedForAWhile(t *testing.T) {
	f := newFleet(0, 8, 0)
	c := newChooser(f, 1)
	for i := range 100 {
		serve(t, c, object(1000+i), start)
	}
	now := start.Add(time.Hour)
	o := object(1)
	first := serve(t, c, o, now)
	overload(f, first, now)
	if second := serve(t, c, o, now); second == first {
		t.Error("an overloaded target is selected")
	}
	if again := serve(t, c, o, now.Add(time.Minute)); again != first {
		t.Errorf("a minute later the object goes to %s, want %s", again, first)
	}
}

// overload makes a target report a long queue.
func overload(f *fleet.Fleet, id string, now time.Time) { report(f, id, 6, 60, now) }

// report makes a target report its load.
func report(f *fleet.Fleet, id string, running, waiting int, now time.Time) {
	f.Lock()
	var t *fleet.Target
	for _, other := range f.Service("bokun") {
		if other.ID == id {
			t = other
		}
	}
	n := f.Begin(t, fleet.Work{RunTime: time.Second, Expected: time.Second}, now)
	f.Unlock()
	f.End(t, n, fleet.Outcome{Latency: time.Second, Load: &fleet.Load{Running: running, Waiting: waiting, Slots: 6, RunFactor: 1}}, now)
}

// TestErrorsWithoutAvailableTarget checks that Choose returns ErrOverloaded when all
// targets are overloaded, and ErrNoTarget when none is usable.
func TestErrorsWithoutAvailableTarget(t *testing.T) {
	f := newFleet(0, 3, 0)
	c := newChooser(f, 1)
	for i := range 3 {
		overload(f, fmt.Sprint("t", i), start)
	}
	req := Request{Route: searchRoute, Service: "bokun", Object: object(1)}
	if _, err := c.Choose(req, start); !errors.Is(err, ErrOverloaded) {
		t.Errorf("all targets overloaded: %v", err)
	}
	f.SetEvacuated("zone1", true, start)
	if _, err := c.Choose(req, start); !errors.Is(err, ErrNoTarget) {
		t.Errorf("all targets evacuated: %v", err)
	}
}

// TestNewRouteIsServedWhileTargetsAreBusy guards against refusing the requests of a new
// route because of the run time assumed before the first observation.
func TestNewRouteIsServedWhileTargetsAreBusy(t *testing.T) {
	f := newFleet(0, 3, 0)
	c := newChooser(f, 1)
	for i := range 3 {
		fillSlots(f, fmt.Sprint("t", i), start)
	}
	route := *searchRoute
	route.Objective, route.Timeout = time.Second, 400*time.Millisecond
	if _, err := c.Choose(Request{Route: &route, Service: "bokun", TimeLeft: route.Timeout}, start); err != nil {
		t.Errorf("a new route with a timeout of %v: %v", route.Timeout, err)
	}
}

// fillSlots makes a target report that all of its slots are in use.
func fillSlots(f *fleet.Fleet, id string, now time.Time) { report(f, id, 6, 0, now) }

// TestHomeRegionsAreEnforced checks that requests of a route with home regions go nowhere else.
func TestHomeRegionsAreEnforced(t *testing.T) {
	route := *searchRoute
	route.HomeRegions = []string{"region0"}
	c := newChooser(newFleet(1, 8, 8), 1)
	for i := range 200 {
		choice, err := c.Choose(Request{Route: &route, Service: "bokun", Object: object(i)}, start)
		if err != nil {
			if errors.Is(err, ErrOverloaded) {
				continue
			}
			t.Fatal(err)
		}
		if choice.Target.Region != "region0" {
			t.Fatalf("a request limited to region0 went to %s", choice.Target.Region)
		}
	}
}

// TestNewTargetIsUsed checks that a new target soon gets a request although it has
// no objects cached.
func TestNewTargetIsUsed(t *testing.T) {
	f := newFleet(4, 8, 8)
	c := newChooser(f, 0)
	now := start.Add(time.Minute)
	f.Upsert(fleet.Entry{ID: "new", Service: "bokun", Slots: 6, Region: "region2", FailureDomain: "zone2", Born: 1}, now)
	used := false
	for i := range 100 {
		used = used || serve(t, c, object(i%5), now) == "new"
	}
	if !used {
		t.Error("the new target got no request")
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 100, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newChooser(newFleet(n/5, 2*n/5, 2*n/5), 1)
			objects := make([]uint64, 300)
			for i := range objects {
				objects[i] = object(i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				choice, err := c.Choose(Request{Route: searchRoute, Service: "bokun", Object: objects[i%len(objects)]}, start)
				if err != nil {
					b.Fatal(err)
				}
				c.Done(choice, searchRoute, fleet.Outcome{Latency: runTime(choice)}, 4000, start)
			}
		})
	}
}

// TestShortcutSelectsSameTarget checks that the shortcut of Choose selects the same
// target as a comparison of all targets, while targets respond, fail, shed, go down, report
// loads, join and leave, and that the shortcut is taken at all.
func TestShortcutSelectsSameTarget(t *testing.T) {
	shortcuts := 0
	rapid.Check(t, func(t *rapid.T) {
		pair := newChooserPair()
		now := start
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			pair.changeTarget(t, step, now)
			req := Request{Route: searchRoute, Service: "bokun", Object: object(rapid.IntRange(0, 5).Draw(t, "object")), TimeLeft: 3 * time.Second}
			if pair.choose(t, req, now) {
				shortcuts++
			}
			pair.endOldest(rapid.IntRange(0, 3).Draw(t, "end"), drawOutcome(t), now)
		}
	})
	if shortcuts == 0 {
		t.Error("the shortcut was never taken")
	}
}

// chooserPair is a chooser with the shortcut and one that compares all targets, with their
// fleets and their requests in flight.
type chooserPair struct {
	choosers [2]*Chooser
	fleets   [2]*fleet.Fleet
	open     [2][]Choice
}

// initialTargets is the number of targets of a new chooserPair.
const initialTargets = 2 + 4 + 4

func newChooserPair() *chooserPair {
	p := new(chooserPair)
	for i := range p.choosers {
		p.fleets[i] = newFleet(2, 4, 4)
		p.choosers[i] = newChooser(p.fleets[i], 1)
		p.choosers[i].compareAll = i == 1
	}
	return p
}

// changeTarget makes, at some steps, a target join, leave or go down.
func (p *chooserPair) changeTarget(t *rapid.T, step int, now time.Time) {
	target := rapid.IntRange(0, initialTargets+4).Draw(t, "target")
	change := rapid.IntRange(0, 60).Draw(t, "change")
	for _, f := range p.fleets {
		switch change {
		case 0, 1, 2:
			f.Upsert(fleet.Entry{
				ID: fmt.Sprint("t", target), Service: "bokun", Addr: "127.0.0.1:1", Slots: 6, Region: "region1", FailureDomain: "zone1",
				Born: 1, Sequence: int64(2 + step), Leaving: change > 0,
			}, now)
		case 3:
			f.Lock()
			targets := f.Service("bokun")
			f.Unlock()
			f.MarkDown(targets[target%len(targets)], now)
		}
	}
}

// choose selects a target with both choosers. It reports whether the first one compared
// fewer targets.
func (p *chooserPair) choose(t *rapid.T, req Request, now time.Time) bool {
	var got [2]string
	var considered [2]int
	for i, c := range p.choosers {
		choice, err := c.Choose(req, now)
		got[i], considered[i] = fmt.Sprint(choice.ID, err), choice.Considered
		if err == nil {
			p.open[i] = append(p.open[i], choice)
		}
	}
	if got[0] != got[1] {
		t.Fatalf("selected %s, but %s when comparing all targets", got[0], got[1])
	}
	return considered[0] < considered[1]
}

// endOldest ends the oldest request in flight of both choosers while more than keep are.
func (p *chooserPair) endOldest(keep int, outcome fleet.Outcome, now time.Time) {
	for i, c := range p.choosers {
		if len(p.open[i]) > keep {
			c.Done(p.open[i][0], searchRoute, outcome, 4000, now)
			p.open[i] = p.open[i][1:]
		}
	}
}

func drawOutcome(t *rapid.T) fleet.Outcome {
	return fleet.Outcome{
		Latency: time.Duration(rapid.IntRange(50, 900).Draw(t, "run")) * time.Millisecond,
		Load: &fleet.Load{
			Running: rapid.IntRange(0, 6).Draw(t, "running"), Waiting: rapid.IntRange(0, 4).Draw(t, "waiting"),
			Slots: 6, RunFactor: rapid.Float64Range(0.3, 3).Draw(t, "pace"),
		},
		Shed:   rapid.IntRange(0, 9).Draw(t, "shed") == 0,
		Failed: rapid.IntRange(0, 9).Draw(t, "failed") == 0,
	}
}
