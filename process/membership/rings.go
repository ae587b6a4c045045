package membership

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// scope limits which members a ring holds, as seen from one member.
type scope func(self, other Member) bool

func sameDomain(self, other Member) bool { return self.FailureDomain == other.FailureDomain }

func sameRegion(self, other Member) bool {
	return self.Region == other.Region && self.FailureDomain != other.FailureDomain
}

func otherDomain(self, other Member) bool { return self.FailureDomain != other.FailureDomain }

func otherRegion(self, other Member) bool { return self.Region != other.Region }

// rings are the scopes of the rings. On each, hosts stand in an order of their
// own, and a host's partner is its successor.
var rings = []scope{sameDomain, sameRegion, otherDomain, otherDomain, otherRegion, otherRegion}

// Degree is the most partners that a host has.
var Degree = len(rings)

// Partners returns the members that a host exchanges with: its successor on each
// of several rings, at least one in another failure domain where there is one.
// Each host is the successor of about as many hosts as it has partners, whatever
// the number of hosts.
func Partners(self Member, others []Member) []Member {
	chosen := make([]Member, 0, Degree)
	taken := map[string]bool{self.Host: true}
	for i, in := range rings {
		next, ok := successor(strconv.Itoa(i), self, others, func(m Member) bool { return !taken[m.Host] && in(self, m) })
		if !ok {
			next, ok = successor(strconv.Itoa(i), self, others, func(m Member) bool { return !taken[m.Host] })
		}
		if ok {
			taken[next.Host] = true
			chosen = append(chosen, next)
		}
	}
	return chosen
}

// successor returns the member that follows self on a ring.
func successor(ring string, self Member, others []Member, eligible func(Member) bool) (Member, bool) {
	own := xxhash.Sum64String(ring + self.Host)
	var best Member
	least := uint64(math.MaxUint64)
	found := false
	for _, m := range others {
		if !eligible(m) {
			continue
		}
		distance := xxhash.Sum64String(ring+m.Host) - own
		if !found || distance < least {
			best, least, found = m, distance, true
		}
	}
	return best, found
}

// Rank returns how many of the members precede a host in the rendezvous order of
// a duty. The hosts of the lowest ranks have the duty.
func Rank(duty, host string, members []Member) int {
	own := xxhash.Sum64String(duty + host)
	rank := 0
	for _, m := range members {
		if m.Host != host && xxhash.Sum64String(duty+m.Host) > own {
			rank++
		}
	}
	return rank
}
