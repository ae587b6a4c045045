package lookup

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxEntries is how many entry hosts one answer names.
const maxEntries = 3

const (
	// MaxTTL is the longest time for which callers may cache an answer. A host
	// that leaves waits for so long before it stops taking work.
	MaxTTL = 5 * time.Second
	// shortTTL applies while shares move, so that each step bites soon.
	shortTTL = 2 * time.Second
	// ttlSpread is the part of the time to live, in 1/256, by which answers differ,
	// so that callers do not come back together.
	ttlSpread = 51
)

// Choice is the outcome of a decision: entry hosts of a view, best first.
type Choice struct {
	hosts [maxEntries]uint16
	count int
	// TTL is how long the answer may be cached.
	TTL time.Duration
}

// Key is the hash of a caller: its address and the name that it gave itself.
// Callers behind one address spread over the hosts when they give names.
func Key(client netip.Addr, caller string) uint64 {
	raw := client.As16()
	key := xxhash.Sum64(raw[:])
	if caller == "" {
		return key
	}
	return mix(key ^ xxhash.Sum64String(caller))
}

// mix returns a hash of a hash. It is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Decide chooses the entry hosts for a caller of a service, in which nothing but
// the view, the client's address and the key count. It allocates nothing. The
// choice is empty when the service is unknown or there is no host.
func (v *View) Decide(service string, client netip.Addr, key uint64) Choice {
	s := v.services[service]
	if s == nil || len(v.hosts) == 0 {
		return Choice{}
	}
	var overrides []hostView
	var order []uint8
	if i, ok := v.table.index(client); ok {
		overrides, order = v.plans[i].entries, v.plans[i].order
	}
	if len(order) == 0 {
		order = v.regions[mix(key)%uint64(len(v.regions))].nearest
	}
	first, moving := v.firstRegion(s, order, key)
	second := v.otherRegion(s, order, first, key)
	c := Choice{TTL: ttl(key, moving)}
	v.fill(&c, overrides, first, second, key)
	return c
}

// firstRegion returns the region whose hosts come first, and whether weights or
// shares below full took part in the choice.
func (v *View) firstRegion(s *servicePlan, order []uint8, key uint64) (region uint8, moving bool) {
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
		moving = moving || r.weight.Own != Full
		if takes(r.seed, key, weight) {
			return s.moved(at, key, moving)
		}
		if v.regions[fallback].weight.Own == 0 && r.weight.Own > 0 {
			fallback = at
		}
	}
	if v.regions[nearest].weight.Own > 0 {
		fallback = nearest
	}
	return s.moved(fallback, key, moving)
}

// takes reports whether a weight covers a caller. The callers that a smaller
// weight covers are among those of a larger one.
func takes(seed, key uint64, weight uint8) bool { return mix(seed^key)%Full < uint64(weight) }

// moved returns the region to which a shift moves a caller.
func (s *servicePlan) moved(region uint8, key uint64, moving bool) (uint8, bool) {
	for _, m := range s.moves {
		if m.from != region {
			continue
		}
		if uint32(mix(m.seed^key)%thresholdUnit) < m.threshold {
			return m.to, moving || m.threshold < thresholdUnit
		}
		moving = true
	}
	return region, moving
}

// otherRegion returns the first region of the order that takes callers, other
// than the given one, or the given one when there is none.
func (v *View) otherRegion(s *servicePlan, order []uint8, not uint8, key uint64) uint8 {
	other := not
	for pass := range 2 {
		for _, at := range order {
			if at == not || pass == 0 && s.allowed&(1<<at) == 0 {
				continue
			}
			if other == not || v.regions[other].weight.Own == 0 && v.regions[at].weight.Own > 0 {
				other = at
			}
		}
		if other != not {
			break
		}
	}
	return other
}

// fill sets the hosts: the override or the best of the first region, one in
// another failure domain (of the same region when it has one), and one in
// another region.
func (v *View) fill(c *Choice, overrides []hostView, first, second uint8, key uint64) {
	near, nearOther := best(v.regions[first].hosts, key)
	far, farOther := best(v.regions[second].hosts, key)
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
	if !c.addOther(overrides, domain) {
		c.addOther(computed[:], domain)
	}
	for _, h := range overrides {
		c.add(h)
	}
	for _, h := range computed {
		c.add(h)
	}
}

// addOther appends the first host that stands outside a failure domain.
func (c *Choice) addOther(hosts []hostView, domain uint16) bool {
	for _, h := range hosts {
		if h.index != noHost && h.domain != domain {
			c.add(h)
			return true
		}
	}
	return false
}

// noHost is the index of no host.
const noHost = 0xffff

// best returns the hosts with the highest and the next rendezvous score, the
// latter in another failure domain, or hosts with index noHost.
func best(hosts []hostView, key uint64) (top, other hostView) {
	top.index, other.index = noHost, noHost
	var topScore, otherScore uint64
	for _, h := range hosts {
		score := mix(h.seed ^ key)
		switch {
		case top.index == noHost || score > topScore:
			if top.index != noHost && h.domain != top.domain {
				other, otherScore = top, topScore
			}
			top, topScore = h, score
		case h.domain != top.domain && (other.index == noHost || score > otherScore):
			other, otherScore = h, score
		}
	}
	return top, other
}

// add appends a host that is not yet there while there is room.
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

// ttl returns the time to live of an answer: shorter while shares move, and
// different from caller to caller.
func ttl(key uint64, moving bool) time.Duration {
	limit := MaxTTL
	if moving {
		limit = shortTTL
	}
	return limit - limit*time.Duration(mix(key)%ttlSpread)/256
}

// Hosts returns the hosts of a choice that this view made.
func (v *View) Hosts(c Choice) []Host {
	hosts := make([]Host, c.count)
	for i := range hosts {
		hosts[i] = v.hosts[c.hosts[i]]
	}
	return hosts
}

// computeTag hashes what answers depend on, apart from the table's blocks, whose
// change always comes with a new version.
func (v *View) computeTag() uint64 {
	d := xxhash.New()
	var number [8]byte
	put := func(x uint64) {
		binary.BigEndian.PutUint64(number[:], x)
		_, _ = d.Write(number[:]) // a hash never fails to write
	}
	put(v.version)
	put(uint64(v.table.Len()))
	for _, r := range v.regions {
		put(r.seed)
		put(uint64(r.weight.Own)<<8 | uint64(r.weight.Other))
		_, _ = d.Write(r.nearest)
	}
	for _, h := range v.hosts {
		_, _ = d.WriteString(h.Name + "\x00" + h.Addr + "\x00" + h.API + "\x00" + h.FailureDomain + "\x00")
		put(h.Incarnation)
	}
	return d.Sum64() ^ v.movesTag()
}

// movesTag is independent of the order of services.
func (v *View) movesTag() uint64 {
	var tag uint64
	for name, s := range v.services {
		seed := xxhash.Sum64String(name)
		for _, m := range s.moves {
			tag ^= mix(seed ^ m.seed ^ uint64(m.threshold))
		}
	}
	return tag
}
