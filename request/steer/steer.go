// Package steer decides which region's targets serve a request: the caller's own
// region, the one that a traffic shift moves it to, or, without room there, a
// region that lends some of its slots.
//
// steer.go decides once for each request, spill.go lends slots for one attempt.
package steer

import (
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/process/share"
	"quetzalknot/request"
	"quetzalknot/request/route"
	"quetzalknot/version/config"
	"quetzalknot/version/shift"
	"quetzalknot/version/state"
)

var (
	evShift  = eventlog.Define(2101, zerolog.InfoLevel, "request moved by a traffic shift")
	evHeld   = eventlog.Define(2102, zerolog.InfoLevel, "request held back by the cap of a traffic shift")
	evRegion = eventlog.Define(4231, zerolog.InfoLevel, "region chosen")
	evSpill  = eventlog.Define(4232, zerolog.InfoLevel, "request served by a slot that another region lends")
)

// blockBits4 and blockBits6 are the lengths of the client blocks that stay together.
const (
	blockBits4 = 24
	blockBits6 = 48
)

// chooser is what stands behind a Steerer. *route.Router implements it.
type chooser interface {
	Choose(info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, error)
	Changed(service string) <-chan struct{}
}

// Options are what a Steerer rests on.
type Options struct {
	// Next chooses a target within the region of a request.
	Next chooser
	// Region is this host's region.
	Region string
	// Home returns the region of a caller, or "" when it is unknown.
	Home func(netip.Addr) string
	// Fresh reports whether this host knows the newest tickets.
	Fresh func() bool
	// LinkRoom reports whether the link to a region has room for more requests.
	LinkRoom func(region string) bool
	// View tells this host's part of what regions lend.
	View    *share.View
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Steerer chooses regions, and targets within them. It is safe for concurrent use.
type Steerer struct {
	opts   Options
	mover  *shift.Mover
	lent   lender
	counts counters
	seen   atomic.Pointer[state.Snapshot]

	mu      sync.Mutex
	regions map[string]*regions
}

// New returns a Steerer without counts.
func New(opts Options) *Steerer {
	return &Steerer{
		opts: opts, mover: shift.NewMover(), lent: newLender(), counts: newCounters(opts.Metrics),
		regions: make(map[string]*regions),
	}
}

// Assign sets the region of a request. It is called once for each request, before
// its first attempt, and counts it in the shifts of its service. Services with
// neither a placement nor a shift have no regions: all their targets serve all.
func (s *Steerer) Assign(info *request.Info, snap *state.Snapshot) {
	s.takeIn(snap)
	service := info.Service.Name
	if snap.Placements[service] == nil && len(snap.Shifts[service]) == 0 {
		return
	}
	allowed := s.regionsOf(info.Service, snap)
	if len(allowed.names) == 0 {
		return
	}
	block := blockOf(info.Client)
	info.HomeRegion = allowed.home(s.homeOf(info), service, block)
	d := s.mover.Decide(shift.Question{
		Shifts: s.open(allowed.shifts), Region: info.HomeRegion, Now: time.Now(), Fresh: s.opts.Fresh(),
		Block: xxhash.Sum64String(service + "@" + block),
	})
	info.Region = d.Region
	s.log(info, d, block)
}

// open returns the shifts whose link has room. A shift that is left out counts no
// requests either, so that its cap holds.
func (s *Steerer) open(shifts []*config.Shift) []*config.Shift {
	full := func(sh *config.Shift) bool { return sh.To != s.opts.Region && !s.opts.LinkRoom(sh.To) }
	if !slices.ContainsFunc(shifts, full) {
		return shifts
	}
	return slices.DeleteFunc(slices.Clone(shifts), full)
}

// takeIn drops what was worked out for an earlier configuration version.
func (s *Steerer) takeIn(snap *state.Snapshot) {
	if s.seen.Swap(snap) == snap {
		return
	}
	s.mover.Retain(snap.Shifts)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions = make(map[string]*regions)
}

func (s *Steerer) homeOf(info *request.Info) string {
	if region := s.opts.Home(info.Client); region != "" {
		return region
	}
	return s.opts.Region
}

func (s *Steerer) log(info *request.Info, d shift.Decision, block string) {
	switch {
	case d.Held:
		s.counts.held.Add(1)
		evHeld.Log(s.opts.Log).Str("request", info.ID).Str("service", info.Service.Name).Str("shift", d.Shift).
			Str("region", d.Region).Str("block", block).Send()
	case d.Shift != "":
		s.counts.moved.Add(1)
		evShift.Log(s.opts.Log).Str("request", info.ID).Str("service", info.Service.Name).Str("shift", d.Shift).
			Str("from", info.HomeRegion).Str("to", d.Region).Str("block", block).Send()
	}
	s.counts.assigned.Add(1)
	evRegion.Log(s.opts.Log).Str("request", info.ID).Str("service", info.Service.Name).
		Str("home", info.HomeRegion).Str("region", info.Region).Send()
}

// Changed implements admit.Chooser.
func (s *Steerer) Changed(service string) <-chan struct{} { return s.opts.Next.Changed(service) }

// regions are the regions of one service under one configuration version.
type regions struct {
	names []string
	// slots is how many slots the targets of a region have.
	slots map[string]int
	// shifts are those of the service's shifts that lead to one of the regions.
	shifts []*config.Shift
}

func (s *Steerer) regionsOf(svc *config.Service, snap *state.Snapshot) *regions {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.regions[svc.Name]; known != nil {
		return known
	}
	r := newRegions(svc, snap)
	s.regions[svc.Name] = r
	return r
}

func newRegions(svc *config.Service, snap *state.Snapshot) *regions {
	r := &regions{slots: make(map[string]int)}
	placement := snap.Placements[svc.Name]
	for i := range svc.Targets {
		t := &svc.Targets[i]
		leaving := snap.LeavingTargets[state.TargetKey{Service: svc.Name, Target: t.Name}]
		if leaving || placement != nil && len(placement.Regions) > 0 && !slices.Contains(placement.Regions, t.Region) {
			continue
		}
		if r.slots[t.Region] == 0 {
			r.names = append(r.names, t.Region)
		}
		r.slots[t.Region] += t.Slots
	}
	slices.Sort(r.names)
	for _, sh := range snap.Shifts[svc.Name] {
		if r.slots[sh.To] > 0 {
			r.shifts = append(r.shifts, sh)
		}
	}
	return r
}

// home returns the region that serves callers of a region without any shift. A
// region without targets is replaced by one that stays the same for a client block.
func (r *regions) home(region, service, block string) string {
	if r.slots[region] > 0 {
		return region
	}
	return r.ranked(service + "@" + block)[0]
}

// ranked returns the regions in rendezvous order of a key.
func (r *regions) ranked(key string) []string {
	ranked := slices.Clone(r.names)
	slices.SortFunc(ranked, func(a, b string) int {
		if xxhash.Sum64String(key+"@"+a) > xxhash.Sum64String(key+"@"+b) {
			return -1
		}
		return 1
	})
	return ranked
}

// blockOf returns the client block of an address, or "" when it is unknown.
func blockOf(client netip.Addr) string {
	bits := blockBits4
	if client.Is6() {
		bits = blockBits6
	}
	prefix, err := client.Prefix(bits)
	if err != nil {
		return ""
	}
	return prefix.Addr().String() + "/" + strconv.Itoa(bits)
}
