package credit

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"quetzalknot/process/slots"
)

const (
	// partitionsPerRegion is into how many parts the targets of a region are divided.
	partitionsPerRegion = 64
	// electorCount is how many hosts promise for one owner.
	electorCount = 3
)

// Host is a live entry host.
type Host struct {
	Process
	Region        string
	FailureDomain string
	// Addr takes the calls of other hosts.
	Addr string
}

// TargetInfo is what lending needs to know about a target.
type TargetInfo struct {
	Capacity
	Region string
}

// partitionOf returns the partition of a target.
func partitionOf(t slots.Target, region string) string {
	n := xxhash.Sum64String(t.Service+"/"+t.Name) % partitionsPerRegion
	return region + "/" + strconv.FormatUint(n, 10)
}

func rank(key, host string) uint64 { return xxhash.Sum64String(key + "/" + host) }

// ranked returns hosts by their rank for a key, best first.
func ranked(key string, hosts []Host) []Host {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b Host) int {
		if rank(key, a.Host) > rank(key, b.Host) {
			return -1
		}
		return 1
	})
	return sorted
}

// preferred returns the host that should own a partition: one of its region, or
// any when the region has none.
func preferred(partition, region string, live []Host) (Host, bool) {
	local := slices.DeleteFunc(slices.Clone(live), func(h Host) bool { return h.Region != region })
	if len(local) == 0 {
		local = live
	}
	if len(local) == 0 {
		return Host{}, false
	}
	return ranked(partition, local)[0], true
}

// electorsOf returns the electors of an owner: itself and others, of its region
// first and of other failure domains first. They depend on the owner alone, so
// that an owner of many partitions asks few hosts.
func electorsOf(owner Host, live []Host) []string {
	near := func(h Host) int {
		switch {
		case h.Host == owner.Host:
			return 0
		case h.Region == owner.Region && h.FailureDomain != owner.FailureDomain:
			return 1
		case h.Region == owner.Region:
			return 2
		default:
			return 3
		}
	}
	sorted := ranked(owner.Host, live)
	slices.SortStableFunc(sorted, func(a, b Host) int { return near(a) - near(b) })
	names := []string{owner.Host}
	for _, h := range sorted {
		if h.Host != owner.Host && len(names) < electorCount {
			names = append(names, h.Host)
		}
	}
	if len(names)%2 == 0 {
		names = names[:len(names)-1]
	}
	return names
}
