package lookup

const (
	// bucketBits is the binary logarithm of the number of buckets of a region. With
	// 152 hosts, each host ranks first in about 100 buckets.
	bucketBits  = 14
	bucketCount = 1 << bucketBits
)

// bucket holds the result of rendezvous hashing for one part of the key space: the
// region's host with the highest score, and the highest-scoring host outside that
// host's failure domain. Both are indexes into the region's hosts, or noHost.
type bucket struct{ best, otherDomain uint16 }

// fillBuckets computes the buckets of a region, or reuses those of the previous
// view if the region had the same hosts there.
func (v *View) fillBuckets(r *regionView, previous *View) {
	if r.buckets = previous.bucketsOf(v, r); r.buckets != nil {
		return
	}
	r.buckets = make([]bucket, bucketCount)
	for i := range r.buckets {
		r.buckets[i] = bestHosts(r.hosts, mix(uint64(i)+1))
	}
}

// bucketsOf returns v's buckets for the region r of the view other, or nil if v does
// not have the same hosts in that region.
func (v *View) bucketsOf(other *View, r *regionView) []bucket {
	if v == nil {
		return nil
	}
	at, ok := v.regionIndex(r.name)
	if !ok || len(v.regions[at].hosts) != len(r.hosts) {
		return nil
	}
	for i, h := range v.regions[at].hosts {
		old, current := v.hosts[h.index], other.hosts[r.hosts[i].index]
		if old.Name != current.Name || old.FailureDomain != current.FailureDomain {
			return nil
		}
	}
	return v.regions[at].buckets
}

// pick returns the host with the highest rendezvous score for a key and the
// highest-scoring host in another failure domain. A missing host has index noHost.
func (r *regionView) pick(key uint64) (first, second hostView) {
	b := r.buckets[mix(r.seed+key)>>(64-bucketBits)]
	return r.host(b.best), r.host(b.otherDomain)
}

func (r *regionView) host(at uint16) hostView {
	if at == noHost {
		return hostView{index: noHost}
	}
	return r.hosts[at]
}

// noHost is the index that marks a missing host.
const noHost = 0xffff

// bestHosts returns the host with the highest rendezvous score for a key, and the host
// with the highest score among the other failure domains.
func bestHosts(hosts []hostView, key uint64) bucket {
	b := bucket{best: noHost, otherDomain: noHost}
	var topScore, otherScore uint64
	for i, h := range hosts {
		score := mix(h.seed ^ key)
		switch {
		case b.best == noHost || score > topScore:
			if b.best != noHost && h.domain != hosts[b.best].domain {
				b.otherDomain, otherScore = b.best, topScore
			}
			b.best, topScore = uint16(i), score
		case h.domain != hosts[b.best].domain && (b.otherDomain == noHost || score > otherScore):
			b.otherDomain, otherScore = uint16(i), score
		}
	}
	return b
}
