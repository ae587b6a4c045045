package partner

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minServingHosts is the least number of serving hosts of a region that has so many.
	minServingHosts = 3
	// maxUtilisation is the share of a host's capacity that may be planned for.
	maxUtilisation = 0.5
	// comparableCapacity is the share of the largest remaining capacity that a host needs
	// to be preferred for its failure domain.
	comparableCapacity = 0.5
)

// ServingHosts returns the serving hosts of one region, that is, those that callers are sent
// to: the fewest hosts of the largest capacity that can serve the demand (in requests per
// second), but at least minServingHosts, spread over failure domains. Few hosts are preferred
// because a host with more requests observes more of its targets and needs fewer connections
// to them.
//
// Callers choose among the serving hosts at random, so each gets an equal part and the
// smallest capacity sets the limit. If no number of hosts can serve the demand, the number
// that can serve the most requests is used. Hosts that know the same members and the same
// demand get the same result.
func ServingHosts(members []Member, demand float64) []Member {
	ranked := rankHosts(members)
	bestCount, maxServed := len(ranked), 0.0
	minCapacity := math.Inf(1)
	for i, m := range ranked {
		n := i + 1
		minCapacity = min(minCapacity, m.Capacity)
		if n < minServingHosts && n < len(ranked) {
			continue
		}
		served := maxUtilisation * minCapacity * float64(n)
		if served >= demand {
			return ranked[:n]
		}
		if served > maxServed {
			bestCount, maxServed = n, served
		}
	}
	return ranked[:bestCount]
}

// rankHosts sorts hosts by falling capacity; among hosts of comparable capacity it prefers
// the failure domain from which fewest were taken.
func rankHosts(members []Member) []Member {
	remaining := slices.Clone(members)
	slices.SortFunc(remaining, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	ranked := make([]Member, 0, len(remaining))
	takenByDomain := make(map[string]int)
	for len(remaining) > 0 {
		next := 0
		for i, m := range remaining {
			if m.Capacity < comparableCapacity*remaining[0].Capacity {
				break
			}
			if takenByDomain[m.Domain] < takenByDomain[remaining[next].Domain] {
				next = i
			}
		}
		ranked = append(ranked, remaining[next])
		takenByDomain[remaining[next].Domain]++
		remaining = slices.Delete(remaining, next, next+1)
	}
	return ranked
}

// ServingHosts returns the serving hosts of a region, chosen among the hosts alive there. If there are none, it returns
// the serving hosts of the home regions of what is looked up, and if there are none either, all hosts alive anywhere.
func (g *Group) ServingHosts(region string, homes ...string) []Member {
	alive := g.Alive()
	if near := inRegion(alive, region); len(near) > 0 {
		return ServingHosts(near, g.demand(region))
	}
	var atHome []Member
	for _, home := range homes {
		if near := inRegion(alive, home); len(near) > 0 {
			atHome = append(atHome, ServingHosts(near, g.demand(home))...)
		}
	}
	if len(atHome) == 0 {
		return alive
	}
	return atHome
}

// inRegion returns the members of a region.
func inRegion(members []Member, region string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Region != region })
}

// demand returns the sum of the recent request rates of the hosts of a region.
func (g *Group) demand(region string) float64 {
	total := 0.0
	if region == g.opts.Self.Region {
		total = g.opts.RequestRate()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.members {
		if s.alive && s.Region == region {
			total += s.requestRate
		}
	}
	return total
}

// baseHosts returns the names of the known hosts, alive or not but not forgotten, that serve
// their region at the lowest demand. The lock must be held.
func (g *Group) baseHosts() map[string]bool {
	if g.baseNames == nil {
		g.baseNames = g.findBaseHosts()
	}
	return g.baseNames
}

// findBaseHosts computes baseHosts. The lock must be held.
func (g *Group) findBaseHosts() map[string]bool {
	byRegion := map[string][]Member{g.opts.Self.Region: {g.opts.Self}}
	for _, s := range g.members {
		if !s.forgotten {
			byRegion[s.Region] = append(byRegion[s.Region], s.Member)
		}
	}
	names := make(map[string]bool)
	for _, members := range byRegion {
		addBaseHosts(names, members)
	}
	return names
}

// addBaseHosts adds the names of the hosts of one region that serve at zero demand.
func addBaseHosts(names map[string]bool, members []Member) {
	for _, m := range ServingHosts(members, 0) {
		names[m.Name] = true
	}
}
