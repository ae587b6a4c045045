package steer

import (
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/health"
	"quetzalknot/process/metrics"
	"quetzalknot/process/share"
	"quetzalknot/request"
	"quetzalknot/request/route"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

// regionChooser has a number of free slots per region, shared by all hosts.
type regionChooser struct{ free map[string]int }

func (c *regionChooser) Choose(info *request.Info, _ *state.Snapshot, _ []string) (route.Choice, error) {
	region := info.Region
	if c.free[region] <= 0 {
		return route.Choice{}, verdict.Wrap(verdict.NotRun, "route", route.ErrNoFreeSlot)
	}
	c.free[region]--
	release := func() { c.free[region]++ }
	return route.Choice{
		Target: &config.Target{Name: region, Region: region}, Release: release, Done: func(health.Outcome) { release() },
	}, nil
}

func (c *regionChooser) Changed(string) <-chan struct{} { return nil }

var regionNames = []string{"sudvestur", "nordur", "austur"}

// newService returns a service with 4 targets of 6 slots in each of three regions.
func newService(spillShare float64) (*config.Service, *state.Snapshot) {
	svc := &config.Service{Name: "bokun"}
	for i := range 12 {
		region := regionNames[i%3]
		svc.Targets = append(svc.Targets, config.Target{Name: fmt.Sprint("t", i), Region: region, Slots: 6})
	}
	placement := &config.Placement{Service: svc.Name, Regions: regionNames, SpillShare: spillShare}
	return svc, &state.Snapshot{
		Services:   map[string]*config.Service{svc.Name: svc},
		Placements: map[string]*config.Placement{svc.Name: placement},
	}
}

func newSteerers(n int, next chooser, observed bool) []*Steerer {
	now := time.Now()
	var live []share.Host
	for i := range n {
		live = append(live, share.Host{Name: fmt.Sprint("h", i), Region: regionNames[i%3]})
	}
	var steerers []*Steerer
	for i := range n {
		view := share.NewView()
		for age := share.Handover; observed && age >= 0; age -= share.ViewTerm {
			view.Observe(now.Add(-age), live[i].Name, live)
		}
		steerers = append(steerers, New(Options{
			Next: next, Region: live[i].Region, HomeRegion: func(netip.Addr) string { return "" }, UpToDate: func() bool { return true },
			LinkHasCapacity: func(string) bool { return true }, View: view, Metrics: metrics.NewSet(), Log: zerolog.New(io.Discard),
		}))
	}
	return steerers
}

func attempt(s *Steerer, svc *config.Service, snap *state.Snapshot, client int, long bool) (route.Choice, *request.Info, error) {
	info := &request.Info{
		Service: svc, Class: config.Class{Name: fmt.Sprint("long=", long), Long: long},
		Client: netip.AddrFrom4([4]byte{10, byte(client >> 8), byte(client), 1}),
	}
	s.Assign(info, snap)
	choice, err := s.Choose(info, snap, nil)
	return choice, info, err
}

// TestLostRegionSpillsUpToLimit guards against overloading the remaining regions when one
// loses all its slots and seven hosts try to spill many more requests than the others have
// spill slots.
func TestLostRegionSpillsUpToLimit(t *testing.T) {
	svc, snap := newService(0.25)
	next := &regionChooser{free: map[string]int{"sudvestur": 0, "nordur": 24, "austur": 24}}
	perRegion := make(map[string]int)
	refused := 0
	var held []route.Choice
	for _, s := range newSteerers(7, next, true) {
		s.opts.Region = "sudvestur"
		for client := range 50 {
			choice, _, err := attempt(s, svc, snap, client, false)
			if err != nil {
				refused++
				continue
			}
			perRegion[choice.Target.Region]++
			held = append(held, choice)
		}
	}
	if perRegion["nordur"] != 6 || perRegion["austur"] != 6 || refused != 350-12 {
		t.Fatalf("taken %v, %d refused; each region has 6 spill slots out of 24", perRegion, refused)
	}
	for _, choice := range held {
		choice.Release()
	}
	if next.free["nordur"] != 24 || next.free["austur"] != 24 {
		t.Fatalf("free slots after all releases = %v", next.free)
	}
}

func TestLongRequestsGetHalfOfSpillSlots(t *testing.T) {
	svc, snap := newService(0.25)
	next := &regionChooser{free: map[string]int{"nordur": 24, "austur": 24}}
	s := newSteerers(1, next, true)[0]
	long := 0
	for client := range 50 {
		if _, _, err := attempt(s, svc, snap, client, true); err == nil {
			long++
		}
	}
	if long != 6 {
		t.Fatalf("long requests hold %d of 12 spill slots", long)
	}
}

func TestNoSpillWithoutUsableView(t *testing.T) {
	svc, snap := newService(0.25)
	next := &regionChooser{free: map[string]int{"nordur": 24, "austur": 24}}
	if _, _, err := attempt(newSteerers(1, next, false)[0], svc, snap, 1, false); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("error = %v, want not-run", err)
	}
}

// TestSpillDoesNotCountTowardsShift checks that a shift moves no more requests than its cap
// when its destination is full, and that moved requests then get a slot in their home
// region.
func TestSpillDoesNotCountTowardsShift(t *testing.T) {
	svc, snap := newService(0)
	snap.Shifts = map[string][]*config.Shift{svc.Name: {
		{Name: "s", Service: svc.Name, From: "sudvestur", To: "nordur", Share: 0.2, Cap: 0.2},
	}}
	next := &regionChooser{free: map[string]int{"sudvestur": 1000, "nordur": 3}}
	s := newSteerers(1, next, true)[0]
	moved, served := 0, 0
	for client := 1; client <= 500; client++ {
		_, info, err := attempt(s, svc, snap, client, false)
		if info.Region == "nordur" {
			moved++
		}
		if moved*5 > client {
			t.Fatalf("%d of %d moved", moved, client)
		}
		if err == nil {
			served++
		}
	}
	if moved < 50 || served != 500 || next.free["nordur"] != 0 {
		t.Fatalf("%d moved, %d served, free %v", moved, served, next.free)
	}
}

func TestFullLinkStopsSpillAndShift(t *testing.T) {
	svc, snap := newService(0.25)
	snap.Shifts = map[string][]*config.Shift{svc.Name: {
		{Name: "s", Service: svc.Name, From: "sudvestur", To: "nordur", Share: 1, Cap: 1},
	}}
	s := newSteerers(1, &regionChooser{free: map[string]int{"nordur": 24, "austur": 24}}, true)[0]
	s.opts.LinkHasCapacity = func(string) bool { return false }
	if _, info, err := attempt(s, svc, snap, 1, false); err == nil || info.Region != "sudvestur" {
		t.Fatalf("region = %s, error = %v over a full link", info.Region, err)
	}
}

func TestServiceWithoutPlacementHasNoRegions(t *testing.T) {
	svc, snap := newService(0)
	snap.Placements = nil
	info := &request.Info{Service: svc}
	newSteerers(1, &regionChooser{}, true)[0].Assign(info, snap)
	if info.Region != "" {
		t.Fatalf("region = %q", info.Region)
	}
}
