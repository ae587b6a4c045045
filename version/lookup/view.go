package lookup

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalknot/version/config"
)

const (
	// Full is the weight of a region that takes all it is offered.
	Full = 255
	// maxRegions bounds the regions of a view.
	maxRegions = 64
)

// Weight says how much of the callers offered to a region it takes, from 0 to Full.
type Weight struct {
	// Own is for callers whose nearest region it is.
	Own uint8
	// Other is for callers that another region turned away.
	Other uint8
}

// Inputs are all that an answer depends on.
type Inputs struct {
	// Version is the configuration version.
	Version uint64
	Table   *Table
	// Services are the names of all services.
	Services   []string
	Placements map[string]*config.Placement
	Shifts     map[string][]*config.Shift
	// Hosts are the entry hosts that take new work, in any order.
	Hosts []Host
	// Weights by region. A region that is not named has Own Full and Other 0.
	Weights map[string]Weight
	// Latency returns the one-way latency between regions.
	Latency func(from, to string) time.Duration
	// ShiftShare returns the share that a shift moves now. Nil means Share.
	ShiftShare func(*config.Shift) float64
}

// View is one whole version of everything that look-ups need. It is immutable.
type View struct {
	version  uint64
	table    *Table
	hosts    []Host
	regions  []regionView
	services map[string]*servicePlan
	// plans are the orders and overrides by index of assignment.
	plans []plan
	tag   uint64
}

// regionView is a region with the hosts in it, as indexes of View.hosts.
type regionView struct {
	name   string
	seed   uint64
	weight Weight
	hosts  []hostView
	// nearest are all regions by latency from this one, itself first.
	nearest []uint8
}

type hostView struct {
	index  uint16
	domain uint16
	seed   uint64
}

// plan is an assignment in terms of a view. Equal orders share one slice.
type plan struct {
	order   []uint8
	entries []hostView
}

// servicePlan is what a view knows about a service.
type servicePlan struct {
	// allowed is the set of regions in which callers of the service enter.
	allowed uint64
	moves   []move
}

// move is a complete shift between regions that has reached a share of callers.
type move struct {
	seed     uint64
	from, to uint8
	// threshold is the share in units of 1/65536.
	threshold uint32
}

// NewView prepares the answers of one version. It keeps no reference to maps and
// slices of the inputs but the table.
func NewView(in Inputs) *View {
	v := &View{version: in.Version, table: in.Table, services: make(map[string]*servicePlan, len(in.Services))}
	if v.table == nil {
		v.table = &Table{}
	}
	v.addHosts(in)
	v.sortNearest(in)
	v.addPlans()
	for _, name := range in.Services {
		v.services[name] = v.servicePlan(in, name)
	}
	v.tag = v.computeTag()
	return v
}

// Version returns the configuration version.
func (v *View) Version() uint64 { return v.version }

// Tag tells views with different answers apart.
func (v *View) Tag() uint64 { return v.tag }

// TagText is the tag in the form of an entity tag, after the version.
func (v *View) TagText() string { return fmt.Sprintf("%d-%016x", v.version, v.tag) }

// Size returns the number of entry hosts.
func (v *View) Size() int { return len(v.hosts) }

// Has reports whether a service is known.
func (v *View) Has(service string) bool { return v.services[service] != nil }

func (v *View) addHosts(in Inputs) {
	v.hosts = slices.Clone(in.Hosts)
	slices.SortFunc(v.hosts, func(a, b Host) int { return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Name, b.Name)) })
	domains := make(map[string]uint16)
	for i, h := range v.hosts {
		r := v.region(h.Region, in)
		if r == nil {
			continue
		}
		if _, ok := domains[h.FailureDomain]; !ok {
			domains[h.FailureDomain] = uint16(len(domains))
		}
		r.hosts = append(r.hosts, hostView{index: uint16(i), domain: domains[h.FailureDomain], seed: xxhash.Sum64String(h.Name)})
	}
}

// region returns a region, added when it is new, or nil when there are too many.
// Hosts come in order of region.
func (v *View) region(name string, in Inputs) *regionView {
	if n := len(v.regions); n > 0 && v.regions[n-1].name == name {
		return &v.regions[n-1]
	}
	if len(v.regions) == maxRegions {
		return nil
	}
	weight, ok := in.Weights[name]
	if !ok {
		weight = Weight{Own: Full}
	}
	v.regions = append(v.regions, regionView{name: name, seed: xxhash.Sum64String("region/" + name), weight: weight})
	return &v.regions[len(v.regions)-1]
}

func (v *View) sortNearest(in Inputs) {
	for i := range v.regions {
		from := v.regions[i].name
		order := make([]uint8, len(v.regions))
		for j := range order {
			order[j] = uint8(j)
		}
		slices.SortStableFunc(order, func(a, b uint8) int {
			return cmp.Compare(v.latency(in, from, a), v.latency(in, from, b))
		})
		v.regions[i].nearest = order
	}
}

// latency returns the latency to a region, less than any other to the region itself.
func (v *View) latency(in Inputs, from string, to uint8) time.Duration {
	if v.regions[to].name == from {
		return -1
	}
	if in.Latency == nil {
		return 0
	}
	return in.Latency(from, v.regions[to].name)
}

// addPlans translates the table's assignments into regions and hosts of the view.
func (v *View) addPlans() {
	v.plans = make([]plan, len(v.table.assignments))
	shared := make(map[string][]uint8)
	byName := make(map[string]hostView, len(v.hosts))
	for _, r := range v.regions {
		for _, h := range r.hosts {
			byName[v.hosts[h.index].Name] = h
		}
	}
	for i, a := range v.table.assignments {
		order := v.order(a.Regions)
		if known, ok := shared[string(order)]; ok {
			order = known
		}
		shared[string(order)] = order
		v.plans[i] = plan{order: order, entries: v.entries(byName, a.Entries)}
	}
}

// order returns the named regions followed by the others by latency from the first.
func (v *View) order(names []string) []uint8 {
	var order []uint8
	for _, name := range names {
		if at, ok := v.regionIndex(name); ok && !slices.Contains(order, at) {
			order = append(order, at)
		}
	}
	if len(order) == 0 {
		return nil
	}
	for _, at := range v.regions[order[0]].nearest {
		if !slices.Contains(order, at) {
			order = append(order, at)
		}
	}
	return order
}

func (v *View) regionIndex(name string) (uint8, bool) {
	for i := range v.regions {
		if v.regions[i].name == name {
			return uint8(i), true
		}
	}
	return 0, false
}

// entries returns the named hosts that are there, in the given order.
func (v *View) entries(byName map[string]hostView, names []string) []hostView {
	var found []hostView
	for _, name := range names {
		if h, ok := byName[name]; ok {
			found = append(found, h)
		}
	}
	return found
}

// servicePlan returns the regions that a service is placed in, or all when there
// is no entry host in any of them.
func (v *View) servicePlan(in Inputs, name string) *servicePlan {
	p := &servicePlan{}
	if placement := in.Placements[name]; placement != nil {
		for _, region := range placement.Regions {
			if at, ok := v.regionIndex(region); ok {
				p.allowed |= 1 << at
			}
		}
	}
	if p.allowed == 0 {
		p.allowed = 1<<len(v.regions) - 1
	}
	for _, s := range in.Shifts[name] {
		if m, ok := v.move(in, s); ok {
			p.moves = append(p.moves, m)
		}
	}
	slices.SortFunc(p.moves, func(a, b move) int { return cmp.Compare(a.seed, b.seed) })
	return p
}

// thresholdUnit is a share of 1 as a threshold.
const thresholdUnit = 1 << 16

// move returns what a shift means for look-ups. Callers cache answers and send
// different numbers of requests, so that no choice of entries keeps a cap below
// 1 exactly: only shifts that may move everything change the entries, the others
// are left to the forwarding hosts, which count requests.
func (v *View) move(in Inputs, s *config.Shift) (move, bool) {
	from, okFrom := v.regionIndex(s.From)
	to, okTo := v.regionIndex(s.To)
	if !okFrom || !okTo || s.Cap < 1 {
		return move{}, false
	}
	share := s.Share
	if in.ShiftShare != nil {
		share = in.ShiftShare(s)
	}
	share = min(max(share, 0), 1)
	m := move{seed: xxhash.Sum64String("shift/" + s.Name), from: from, to: to, threshold: uint32(share * thresholdUnit)}
	return m, m.threshold > 0
}
