// Package steer selects the region whose targets serve a request: the caller's home
// region, the region that a traffic shift moves the request to or, when those have no free
// slot, another region that makes some of its slots available for spilled requests.
//
// steer.go assigns a region once per request, spill.go spills single attempts to other
// regions.
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
	evHeld   = eventlog.Define(2102, zerolog.InfoLevel, "request not moved: cap of the traffic shift reached")
	evRegion = eventlog.Define(4231, zerolog.InfoLevel, "region chosen")
	evSpill  = eventlog.Define(4232, zerolog.InfoLevel, "request spilled to another region")
)

// ipv4BlockBits and ipv6BlockBits are the prefix lengths of client blocks. All clients of a
// block are assigned to the same region.
const (
	ipv4BlockBits = 24
	ipv6BlockBits = 48
)

// chooser selects a target within a region. *route.Router implements it.
type chooser interface {
	Choose(info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, error)
	Changed(service string) <-chan struct{}
}

// Options are the settings and dependencies of a Steerer.
type Options struct {
	// Next chooses a target within the region of a request.
	Next chooser
	// Region is this host's region.
	Region string
	// HomeRegion returns the region of a caller, or "" when it is unknown.
	HomeRegion func(netip.Addr) string
	// UpToDate reports whether this host has the newest tickets.
	UpToDate func() bool
	// LinkHasCapacity reports whether the link to a region has capacity for more requests.
	LinkHasCapacity func(region string) bool
	// View determines this host's share of the spill slots of each region.
	View    *share.View
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Steerer selects regions, and targets within them. It is safe for concurrent use.
type Steerer struct {
	opts         Options
	decider      *shift.Decider
	spills       spillUsage
	counts       counters
	lastSnapshot atomic.Pointer[state.Snapshot]

	mu      sync.Mutex
	regions map[string]*regions
}

// New returns a Steerer that has not shifted or spilled any request yet.
func New(opts Options) *Steerer {
	return &Steerer{
		opts: opts, decider: shift.NewDecider(), spills: newSpillUsage(), counts: newCounters(opts.Metrics),
		regions: make(map[string]*regions),
	}
}

// Assign sets the home region and the region of a request and counts the request in the
// shifts of its service. It must be called once per request, before the first attempt.
// Requests for services with neither a placement nor a shift are not restricted to a
// region: all targets of the service may serve them.
func (s *Steerer) Assign(info *request.Info, snap *state.Snapshot) {
	s.applySnapshot(snap)
	service := info.Service.Name
	if snap.Placements[service] == nil && len(snap.Shifts[service]) == 0 {
		return
	}
	regions := s.regionsOf(info.Service, snap)
	if len(regions.names) == 0 {
		return
	}
	block := blockOf(info.Client)
	info.HomeRegion = regions.home(s.callerRegion(info), service, block)
	d := s.decider.Decide(shift.Request{
		Shifts: s.unsaturated(regions.shifts), Region: info.HomeRegion, Now: time.Now(), UpToDate: s.opts.UpToDate(),
		Block: xxhash.Sum64String(service + "@" + block),
	})
	info.Region = d.Region
	s.log(info, d, block)
}

// unsaturated returns the shifts whose link has capacity. A shift that is left out does not
// count the request either, so that its cap holds.
func (s *Steerer) unsaturated(shifts []*config.Shift) []*config.Shift {
	full := func(sh *config.Shift) bool { return sh.To != s.opts.Region && !s.opts.LinkHasCapacity(sh.To) }
	if !slices.ContainsFunc(shifts, full) {
		return shifts
	}
	return slices.DeleteFunc(slices.Clone(shifts), full)
}

// applySnapshot discards the state that was computed for an earlier configuration version.
func (s *Steerer) applySnapshot(snap *state.Snapshot) {
	if s.lastSnapshot.Swap(snap) == snap {
		return
	}
	s.decider.Retain(snap.Shifts)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions = make(map[string]*regions)
}

// callerRegion returns the region of the caller, or this host's region when it is unknown.
func (s *Steerer) callerRegion(info *request.Info) string {
	if region := s.opts.HomeRegion(info.Client); region != "" {
		return region
	}
	return s.opts.Region
}

// log counts and logs the assignment of a request.
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

// regions holds the regions of one service under one configuration version.
type regions struct {
	// names are the regions that have slots, sorted.
	names []string
	// slots is the number of slots of a region's targets.
	slots map[string]int
	// shifts are the shifts of the service whose destination is one of the regions.
	shifts []*config.Shift
}

// regionsOf returns the cached regions of a service, or computes them.
func (s *Steerer) regionsOf(svc *config.Service, snap *state.Snapshot) *regions {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cached := s.regions[svc.Name]; cached != nil {
		return cached
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
		r.slots[t.Region] += t.Slots
	}
	for region, n := range r.slots {
		if n > 0 {
			r.names = append(r.names, region)
		}
	}
	slices.Sort(r.names)
	for _, sh := range snap.Shifts[svc.Name] {
		if r.slots[sh.To] > 0 {
			r.shifts = append(r.shifts, sh)
		}
	}
	return r
}

// home returns the region that serves the callers of a region when there is no shift. A
// region without targets is replaced by another, which is always the same for a client
// block.
func (r *regions) home(region, service, block string) string {
	if r.slots[region] > 0 {
		return region
	}
	return r.ranked(service + "@" + block)[0]
}

// ranked returns the regions in the order of rendezvous hashing of a key.
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

// blockOf returns the client block of an address in CIDR notation, or "" when the address
// is invalid.
func blockOf(client netip.Addr) string {
	bits := ipv4BlockBits
	if client.Is6() {
		bits = ipv6BlockBits
	}
	prefix, err := client.Prefix(bits)
	if err != nil {
		return ""
	}
	return prefix.Addr().String() + "/" + strconv.Itoa(bits)
}
