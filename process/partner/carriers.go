package partner

import (
	"cmp"
	"math"
	"slices"
)

const (
	// carriersLeast is how many hosts of a region callers are sent to at least, where
	// there are so many.
	carriersLeast = 3
	// fillMost is the part of a host's capacity that is planned with.
	fillMost = 0.5
	// comparable is the part of the strongest host's capacity that a host must have to
	// be preferred for its failure domain.
	comparable = 0.5
)

// Carriers returns the hosts of one region that callers are sent to: the strongest few
// that carry the demand, in requests a second, spread over failure domains. A host that
// carries more requests knows more of its targets and needs fewer connections to them.
// Callers choose among the hosts by chance, so that each carries an equal part; where no
// number of hosts carries the demand it is the number that carries most. Hosts that know
// the same members and the same demand return the same ones.
func Carriers(members []Member, demand float64) []Member {
	ranked := rank(members)
	best, most := len(ranked), 0.0
	weakest := math.Inf(1)
	for i, m := range ranked {
		n := i + 1
		weakest = min(weakest, m.Capacity)
		if n < carriersLeast && n < len(ranked) {
			continue
		}
		carried := fillMost * weakest * float64(n)
		if carried >= demand {
			return ranked[:n]
		}
		if carried > most {
			best, most = n, carried
		}
	}
	return ranked[:best]
}

// rank orders hosts by capacity, taking comparable ones from the failure domains in turn.
func rank(members []Member) []Member {
	left := slices.Clone(members)
	slices.SortFunc(left, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	ranked := make([]Member, 0, len(left))
	taken := make(map[string]int)
	for len(left) > 0 {
		at := 0
		for i, m := range left {
			if m.Capacity < comparable*left[0].Capacity {
				break
			}
			if taken[m.Domain] < taken[left[at].Domain] {
				at = i
			}
		}
		ranked = append(ranked, left[at])
		taken[left[at].Domain]++
		left = slices.Delete(left, at, at+1)
	}
	return ranked
}

// Carriers returns the hosts that callers of a region are sent to: of those that are
// alive there, or else all that are alive anywhere.
func (g *Group) Carriers(region string) []Member {
	alive := g.Alive()
	near := inRegion(alive, region)
	if len(near) == 0 {
		return alive
	}
	return Carriers(near, g.demand(region))
}

// inRegion returns the members of a region.
func inRegion(members []Member, region string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Region != region })
}

// demand returns how many requests a second the hosts of a region got lately.
func (g *Group) demand(region string) float64 {
	total := 0.0
	if region == g.opts.Self.Region {
		total = g.opts.Rate()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.members {
		if s.alive && s.Region == region {
			total += s.rate
		}
	}
	return total
}

// strong returns the known hosts that carry requests while little is asked for, by
// name, whether they are alive or not. The lock must be held.
func (g *Group) strong() map[string]bool {
	if g.strongNames == nil {
		g.strongNames = g.findStrong()
	}
	return g.strongNames
}

func (g *Group) findStrong() map[string]bool {
	byRegion := map[string][]Member{g.opts.Self.Region: {g.opts.Self}}
	for _, s := range g.members {
		byRegion[s.Region] = append(byRegion[s.Region], s.Member)
	}
	names := make(map[string]bool)
	for _, members := range byRegion {
		addBase(names, members)
	}
	return names
}

// addBase adds the names of the hosts of one region that carry requests while little is
// asked for.
func addBase(names map[string]bool, members []Member) {
	for _, m := range Carriers(members, 0) {
		names[m.Name] = true
	}
}
