package partner

import (
	"cmp"
	"slices"
)

// allPartners returns the hosts that this host sends heartbeats to.
func (g *Group) allPartners() []Member { return addMissing(g.partners(), g.domainPartners()) }

// partners returns the hosts that this host sends heartbeats to because they are next to it on the
// ring of names of their region.
func (g *Group) partners() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	byRegion := make(map[string][]Member)
	for _, s := range g.members {
		byRegion[s.Region] = append(byRegion[s.Region], s.Member)
	}
	var partners []Member
	for region, list := range byRegion {
		partners = append(partners, g.nearest(list, g.partnerLimit(region, len(list)))...)
	}
	return partners
}

// addMissing appends the members that are not in the list yet.
func addMissing(list, more []Member) []Member {
	listed := make(map[string]bool, len(list))
	for _, m := range list {
		listed[m.Name] = true
	}
	for _, m := range more {
		if !listed[m.Name] {
			list = append(list, m)
		}
	}
	return list
}

// partnerLimit returns the largest number of partners in a region of the given number of hosts.
func (g *Group) partnerLimit(region string, hosts int) int {
	switch {
	case region == g.opts.Self.Region:
		return nearPartners
	case hosts <= smallRegion:
		return smallRegionPartners
	default:
		return farPartners
	}
}

// nearest returns up to limit members next to this host on the ring of sorted host names.
func (g *Group) nearest(list []Member, limit int) []Member {
	if len(list) <= limit {
		return list
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	at, _ := slices.BinarySearchFunc(list, g.opts.Self.Name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
	chosen := make([]Member, 0, limit)
	for i := range limit {
		chosen = append(chosen, list[(at-limit/2+i+len(list))%len(list)])
	}
	return chosen
}
