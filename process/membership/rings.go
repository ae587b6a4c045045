package membership

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// scope reports whether other is on a ring, as seen from self.
type scope func(self, other Member) bool

func sameDomain(self, other Member) bool { return self.FailureDomain == other.FailureDomain }

func sameRegionOtherDomain(self, other Member) bool {
	return self.Region == other.Region && self.FailureDomain != other.FailureDomain
}

func otherDomain(self, other Member) bool { return self.FailureDomain != other.FailureDomain }

func otherRegion(self, other Member) bool { return self.Region != other.Region }

// rings holds the scope of each hash ring. Each ring orders the hosts by a different
// hash, and a host's partner on it is its successor.
var rings = []scope{sameDomain, sameRegionOtherDomain, otherDomain, otherDomain, otherRegion, otherRegion}

// MaxPartners is the largest number of partners that a host has.
var MaxPartners = len(rings)

// Partners returns the gossip partners of a host: its successor on each of several
// hash rings. At least one is in another failure domain if there is such a host. A
// ring without an eligible host falls back to any host that is not a partner yet.
// Each host is the partner of about MaxPartners others, whatever the number of hosts.
func Partners(self Member, others []Member) []Member {
	chosen := make([]Member, 0, MaxPartners)
	taken := map[string]bool{self.Host: true}
	for i, inScope := range rings {
		next, ok := successor(strconv.Itoa(i), self, others, func(m Member) bool { return !taken[m.Host] && inScope(self, m) })
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

// successor returns the eligible member that follows self on a ring.
func successor(ring string, self Member, others []Member, eligible func(Member) bool) (Member, bool) {
	selfPosition := xxhash.Sum64String(ring + self.Host)
	var best Member
	minDistance := uint64(math.MaxUint64)
	found := false
	for _, m := range others {
		if !eligible(m) {
			continue
		}
		distance := xxhash.Sum64String(ring+m.Host) - selfPosition
		if !found || distance < minDistance {
			best, minDistance, found = m, distance, true
		}
	}
	return best, found
}

// Rank returns how many of the members have a higher rendezvous-hash score for a task
// than the host. The hosts with the lowest ranks perform the task.
func Rank(task, host string, members []Member) int {
	score := xxhash.Sum64String(task + host)
	rank := 0
	for _, m := range members {
		if m.Host != host && xxhash.Sum64String(task+m.Host) > score {
			rank++
		}
	}
	return rank
}
