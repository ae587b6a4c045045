package lookup

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxEntries is the maximum number of entry hosts in an answer.
const maxEntries = 3

const (
	// MaxTTL is the maximum time for which callers may cache an answer. A leaving
	// host keeps accepting requests for this long, until cached answers that name it
	// have expired.
	MaxTTL = 5 * time.Second
	// shortTTL applies instead of MaxTTL while a region weight or shift share that affects
	// the answer is below its maximum. It may then change in steps, and callers soon
	// follow each step.
	shortTTL = 2 * time.Second
	// ttlSpread is the range by which the TTL varies between callers, in 1/256 of
	// the TTL, so that callers do not all refresh at the same time.
	ttlSpread = 51
)

// Choice is the result of View.ChooseHosts: entry hosts of the view, best first.
type Choice struct {
	hosts [maxEntries]uint16
	count int
	// TTL is how long the answer may be cached.
	TTL time.Duration
}

// CallerKey returns the hash of a caller's address and of the name that the caller sent, if
// any. Callers that share an address are spread over the hosts if they send names.
func CallerKey(client netip.Addr, caller string) uint64 {
	raw := client.As16()
	key := xxhash.Sum64(raw[:])
	if caller == "" {
		return key
	}
	return mix(key ^ xxhash.Sum64String(caller))
}

// mix hashes a 64-bit value with the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// ChooseHosts chooses the entry hosts for a caller of a service. The result depends only on
// the view, the client's address and the key. ChooseHosts does not allocate. The choice is
// empty if the service is unknown or there are no hosts.
func (v *View) ChooseHosts(service string, client netip.Addr, key uint64) Choice {
	s := v.services[service]
	if s == nil || len(v.hosts) == 0 {
		return Choice{}
	}
	var overrides []hostView
	var order []uint8
	if i, ok := v.table.index(client); ok {
		overrides, order = v.assignments[i].entries, v.assignments[i].order
	}
	if len(order) == 0 {
		order = v.regions[mix(key)%uint64(len(v.regions))].nearest
	}
	first, changing := v.firstRegion(s, order, key)
	second := v.secondRegion(s, order, first, key)
	c := Choice{TTL: ttl(key, changing)}
	v.fill(&c, overrides, first, second, key)
	return c
}

// firstRegion returns the region of the first entry host, and whether a region weight
// or shift share below its maximum affected the choice. If no region accepts the caller,
// it is the first allowed region with an own weight above 0, or else the first allowed one.
func (v *View) firstRegion(s *serviceView, order []uint8, key uint64) (region uint8, changing bool) {
	nearest, fallback, found := uint8(0), uint8(0), false
	for _, at := range order {
		if s.allowed&(1<<at) == 0 {
			continue
		}
		r := &v.regions[at]
		weight := r.weight.Other
		if !found {
			nearest, fallback, found = at, at, true
			weight = r.weight.Own
		}
		changing = changing || r.weight.Own != FullWeight
		if covers(r.seed, key, weight) {
			return s.shiftedRegion(at, key, changing)
		}
		if v.regions[fallback].weight.Own == 0 && r.weight.Own > 0 {
			fallback = at
		}
	}
	if v.regions[nearest].weight.Own > 0 {
		fallback = nearest
	}
	return s.shiftedRegion(fallback, key, changing)
}

// covers reports whether a region with the given weight accepts a caller. The callers
// accepted at a smaller weight are a subset of those accepted at a larger one.
func covers(seed, key uint64, weight uint8) bool { return mix(seed^key)%FullWeight < uint64(weight) }

// shiftedRegion returns the region to which a shift moves a caller, or the given
// region if none does.
func (s *serviceView) shiftedRegion(region uint8, key uint64, changing bool) (uint8, bool) {
	for _, shift := range s.shifts {
		if shift.from != region {
			continue
		}
		if uint32(mix(shift.seed^key)%thresholdUnit) < shift.threshold {
			return shift.to, changing || shift.threshold < thresholdUnit
		}
		changing = true
	}
	return region, changing
}

// secondRegion returns the region for the backup entry hosts, other than excluded: the
// first one of the order with an own weight above 0, or else the first one. Regions in
// which the service is not placed are considered only if there is no other. Without any
// region it returns excluded.
func (v *View) secondRegion(s *serviceView, order []uint8, excluded uint8, key uint64) uint8 {
	other := excluded
	for pass := range 2 {
		for _, at := range order {
			if at == excluded || pass == 0 && s.allowed&(1<<at) == 0 {
				continue
			}
			if other == excluded || v.regions[other].weight.Own == 0 && v.regions[at].weight.Own > 0 {
				other = at
			}
		}
		if other != excluded {
			break
		}
	}
	return other
}

// fill sets the hosts of a choice: the first override or the best host of the first
// region; a host in another failure domain, of the same region if possible; and a host
// in the second region. Further overrides take precedence over computed hosts.
func (v *View) fill(c *Choice, overrides []hostView, first, second uint8, key uint64) {
	near, nearOther := v.regions[first].pick(key)
	far, farOther := v.regions[second].pick(key)
	computed := [...]hostView{near, nearOther, far, farOther}
	if len(overrides) > 0 {
		c.add(overrides[0])
	}
	c.add(near)
	c.count = min(c.count, 1)
	domain := near.domain
	if len(overrides) > 0 {
		domain = overrides[0].domain
	}
	if !c.addOutsideDomain(overrides, domain) {
		c.addOutsideDomain(computed[:], domain)
	}
	for _, h := range overrides {
		c.add(h)
	}
	for _, h := range computed {
		c.add(h)
	}
}

// addOutsideDomain appends the first host that is not in the given failure domain.
func (c *Choice) addOutsideDomain(hosts []hostView, domain uint16) bool {
	for _, h := range hosts {
		if h.index != noHost && h.domain != domain {
			c.add(h)
			return true
		}
	}
	return false
}

// add appends a host unless it is missing, already included, or the choice is full.
func (c *Choice) add(h hostView) {
	if h.index == noHost || c.count == maxEntries {
		return
	}
	for _, known := range c.hosts[:c.count] {
		if known == h.index {
			return
		}
	}
	c.hosts[c.count] = h.index
	c.count++
}

// ttl returns how long an answer may be cached. It is shorter if a weight or share that
// affects the answer may change, and varies by the caller's key.
func ttl(key uint64, changing bool) time.Duration {
	limit := MaxTTL
	if changing {
		limit = shortTTL
	}
	return limit - limit*time.Duration(mix(key)%ttlSpread)/256
}

// Hosts returns the hosts of a choice made by this view.
func (v *View) Hosts(c Choice) []Host {
	hosts := make([]Host, c.count)
	for i := range hosts {
		hosts[i] = v.hosts[c.hosts[i]]
	}
	return hosts
}

// computeTag hashes the inputs that answers depend on.
func (v *View) computeTag() uint64 {
	d := xxhash.New()
	var number [8]byte
	put := func(x uint64) {
		binary.BigEndian.PutUint64(number[:], x)
		_, _ = d.Write(number[:]) // never fails
	}
	put(v.version)
	put(v.table.tag)
	for _, r := range v.regions {
		put(r.seed)
		put(uint64(r.weight.Own)<<8 | uint64(r.weight.Other))
		_, _ = d.Write(r.nearest)
	}
	for _, h := range v.hosts {
		_, _ = d.WriteString(h.Name + "\x00" + h.Addr + "\x00" + h.API + "\x00" + h.FailureDomain + "\x00")
		put(h.Incarnation)
	}
	return d.Sum64() ^ v.shiftsTag()
}

// shiftsTag returns a hash of all entry shifts that does not depend on the order of services.
func (v *View) shiftsTag() uint64 {
	var tag uint64
	for name, s := range v.services {
		seed := xxhash.Sum64String(name)
		for _, shift := range s.shifts {
			tag ^= mix(seed ^ shift.seed ^ uint64(shift.threshold))
		}
	}
	return tag
}
