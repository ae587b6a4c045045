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
	// FullWeight is the weight of a region that accepts all callers.
	FullWeight = 255
	// maxRegions is the maximum number of regions in a view; a set of regions is a
	// 64-bit mask.
	maxRegions = 64
)

// Weight is the share of callers that a region accepts, from 0 to FullWeight.
type Weight struct {
	// Own applies to callers whose preferred region it is.
	Own uint8
	// Other applies to callers that a region before it in their order did not accept.
	Other uint8
}

// Inputs are the data that a View is made from.
type Inputs struct {
	// Version is the configuration version.
	Version uint64
	Table   *Table
	// Services are the names of all services.
	Services   []string
	Placements map[string]*config.Placement
	Shifts     map[string][]*config.Shift
	// Hosts are the entry hosts that accept new requests, in any order.
	Hosts []Host
	// Weights are the weights by region. A region without one has Own FullWeight
	// and Other 0.
	Weights map[string]Weight
	// Latency returns the one-way latency between regions.
	Latency func(from, to string) time.Duration
	// ShiftShare returns the current share of a shift. If it is nil, Shift.Share applies.
	ShiftShare func(*config.Shift) float64
	// Previous is the preceding view, or nil. Unchanged parts are reused; answers do
	// not depend on it.
	Previous *View
}

// View is a consistent state of all data that look-ups need. It is immutable.
type View struct {
	version  uint64
	table    *Table
	hosts    []Host
	regions  []regionView
	services map[string]*serviceView
	// assignments are the resolved assignments, by the table's assignment index.
	assignments []resolvedAssignment
	tag         uint64
}

// regionView is a region of a View with its hosts.
type regionView struct {
	name   string
	seed   uint64
	weight Weight
	hosts  []hostView
	// buckets hold the result of rendezvous hashing for each part of the key space.
	buckets []bucket
	// nearest are the indexes of all regions in order of latency from this region,
	// beginning with itself.
	nearest []uint8
}

// hostView is a host of a View: its index in View.hosts, the number of its failure domain,
// and the hash of its name.
type hostView struct {
	index  uint16
	domain uint16
	seed   uint64
}

// resolvedAssignment is an Assignment with its names replaced by indexes of regions and
// hosts of a View. Equal orders share one slice.
type resolvedAssignment struct {
	order   []uint8
	entries []hostView
}

// serviceView holds the placement and the entry shifts of a service.
type serviceView struct {
	// allowed is the bit set of regions in which callers may enter.
	allowed uint64
	shifts  []entryShift
}

// entryShift is a traffic shift that changes the entry region of a share of callers.
type entryShift struct {
	seed     uint64
	from, to uint8
	// threshold is the share in units of 1/thresholdUnit.
	threshold uint32
}

// NewView returns a view of the inputs. It keeps a reference to the table, but not to
// the maps and slices of the inputs.
func NewView(in Inputs) *View {
	v := &View{version: in.Version, table: in.Table, services: make(map[string]*serviceView, len(in.Services))}
	if v.table == nil {
		v.table = &Table{}
	}
	v.addHosts(in)
	for i := range v.regions {
		v.fillBuckets(&v.regions[i], in.Previous)
	}
	v.sortNearest(in)
	v.resolveAssignments()
	for _, name := range in.Services {
		v.services[name] = v.newServiceView(in, name)
	}
	v.tag = v.computeTag()
	return v
}

// Version returns the configuration version.
func (v *View) Version() uint64 { return v.version }

// Tag returns a hash that differs between views with different answers.
func (v *View) Tag() uint64 { return v.tag }

// TagText returns the version and the tag as the content of an HTTP entity tag.
func (v *View) TagText() string { return fmt.Sprintf("%d-%016x", v.version, v.tag) }

// HostCount returns the number of entry hosts.
func (v *View) HostCount() int { return len(v.hosts) }

// HasService reports whether the view contains a service.
func (v *View) HasService(service string) bool { return v.services[service] != nil }

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

// region returns the region with the given name and adds it if it is new. It returns
// nil if there are already maxRegions. Calls must be in order of name.
func (v *View) region(name string, in Inputs) *regionView {
	if n := len(v.regions); n > 0 && v.regions[n-1].name == name {
		return &v.regions[n-1]
	}
	if len(v.regions) == maxRegions {
		return nil
	}
	weight, ok := in.Weights[name]
	if !ok {
		weight = Weight{Own: FullWeight}
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

// latency returns the one-way latency to a region. For the region itself it is -1, so
// that it sorts first.
func (v *View) latency(in Inputs, from string, to uint8) time.Duration {
	if v.regions[to].name == from {
		return -1
	}
	if in.Latency == nil {
		return 0
	}
	return in.Latency(from, v.regions[to].name)
}

// resolveAssignments resolves the table's assignments to regions and hosts of the view.
func (v *View) resolveAssignments() {
	v.assignments = make([]resolvedAssignment, len(v.table.assignments))
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
		v.assignments[i] = resolvedAssignment{order: order, entries: v.entries(byName, a.Entries)}
	}
}

// order returns the named regions, followed by the others in order of latency from the
// first one. It returns nil if the view has none of the named regions.
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

// entries returns those of the named hosts that are in the view, in the given order.
func (v *View) entries(byName map[string]hostView, names []string) []hostView {
	var found []hostView
	for _, name := range names {
		if h, ok := byName[name]; ok {
			found = append(found, h)
		}
	}
	return found
}

// newServiceView returns the entry regions and shifts of a service. Callers enter in the
// regions that the service is placed in, or in all regions if none of those has an
// entry host.
func (v *View) newServiceView(in Inputs, name string) *serviceView {
	service := &serviceView{}
	if placement := in.Placements[name]; placement != nil {
		for _, region := range placement.Regions {
			if at, ok := v.regionIndex(region); ok {
				service.allowed |= 1 << at
			}
		}
	}
	if service.allowed == 0 {
		service.allowed = 1<<len(v.regions) - 1
	}
	for _, s := range in.Shifts[name] {
		if shift, ok := v.entryShift(in, s); ok {
			service.shifts = append(service.shifts, shift)
		}
	}
	slices.SortFunc(service.shifts, func(a, b entryShift) int { return cmp.Compare(a.seed, b.seed) })
	return service
}

// thresholdUnit is the threshold for a share of 1.
const thresholdUnit = 1 << 16

// entryShift returns the effect of a shift on look-ups, and false if it has none.
// Callers cache answers and send different numbers of requests, so a choice of entry
// hosts cannot enforce a cap below 1 exactly. Therefore only shifts with a cap of 1
// change the entry region; the forwarding hosts, which count requests, apply the others.
func (v *View) entryShift(in Inputs, s *config.Shift) (entryShift, bool) {
	from, okFrom := v.regionIndex(s.From)
	to, okTo := v.regionIndex(s.To)
	if !okFrom || !okTo || s.Cap < 1 {
		return entryShift{}, false
	}
	share := s.Share
	if in.ShiftShare != nil {
		share = in.ShiftShare(s)
	}
	share = min(max(share, 0), 1)
	shift := entryShift{seed: xxhash.Sum64String("shift/" + s.Name), from: from, to: to, threshold: uint32(share * thresholdUnit)}
	return shift, shift.threshold > 0
}
