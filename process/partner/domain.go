package partner

import "slices"

const (
	// minDomainReaders is the least number of store readers of a failure domain of a large region.
	minDomainReaders = 2
	// maxFirstHosts bounds the first hosts of the failure domain that are partners, alive or not.
	maxFirstHosts = 12
)

// domainReaders returns the number of store readers of this host's failure domain: such that its
// region has at least minServingHosts. It is 0 if the region is so small that its hosts are all
// partners; their readers are chosen for the region.
func (g *Group) domainReaders() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.readerLimit == nil {
		limit := g.findDomainReaders()
		g.readerLimit = &limit
	}
	return *g.readerLimit
}

// findDomainReaders computes domainReaders. The lock must be held.
func (g *Group) findDomainReaders() int {
	hosts, domains := 1, map[string]bool{g.opts.Self.Domain: true}
	for _, s := range g.members {
		if s.Region == g.opts.Self.Region && !s.forgotten {
			hosts++
			domains[s.Domain] = true
		}
	}
	if hosts <= nearPartners+1 {
		return 0
	}
	return max(minDomainReaders, (minServingHosts+len(domains)-1)/len(domains))
}

// domainPartners returns the hosts of this host's failure domain that are partners wherever they
// stand on the ring of names. In a large region these are the store readers of the failure domain,
// and for a store reader all hosts alive there, so that each host hears the readers itself.
func (g *Group) domainPartners() []Member {
	limit := g.domainReaders()
	if limit == 0 {
		return nil
	}
	first := g.firstOfDomain(limit)
	if !g.IsStoreReader() {
		return first
	}
	others := slices.DeleteFunc(inDomain(g.Alive(), g.opts.Self.Domain), func(m Member) bool { return m.Name == g.opts.Self.Name })
	return addMissing(first, others)
}

// firstOfDomain returns the other hosts of the failure domain in the order in which they become store
// readers, up to the one that is the limit-th alive. The ones before it may have started again
// or sent no heartbeat yet.
func (g *Group) firstOfDomain(limit int) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var known []Member
	for _, s := range g.members {
		if s.Domain == g.opts.Self.Domain && s.Region == g.opts.Self.Region {
			known = append(known, s.Member)
		}
	}
	ranked := rankHosts(known)
	alive := 0
	for i, m := range ranked {
		if s := g.members[m.Name]; s.alive && !s.leaving {
			alive++
		}
		if alive == limit || i+1 == maxFirstHosts {
			return ranked[:i+1]
		}
	}
	return ranked
}

// inDomain returns the members of a failure domain.
func inDomain(members []Member, domain string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Domain != domain })
}
