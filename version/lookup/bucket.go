package lookup

const (
	// bucketBits sets the number of buckets of a region, so that each of 152 hosts
	// is the best of about 100.
	bucketBits  = 14
	bucketCount = 1 << bucketBits
)

// bucket holds the hosts of a region with the best rendezvous score for a part of
// the key space: the best of all, and the best in another failure domain than that
// one. They are indexes of the region's hosts, or noHost.
type bucket struct{ top, other uint16 }

// fillBuckets finds the best hosts for each bucket, or takes them over from the
// previous view when the region has the same hosts there.
func (v *View) fillBuckets(r *regionView, previous *View) {
	if r.buckets = previous.bucketsOf(v, r); r.buckets != nil {
		return
	}
	r.buckets = make([]bucket, bucketCount)
	for i := range r.buckets {
		r.buckets[i] = best(r.hosts, mix(uint64(i)+1))
	}
}

// bucketsOf returns the buckets of the same region with the same hosts, or nil.
func (v *View) bucketsOf(other *View, r *regionView) []bucket {
	if v == nil {
		return nil
	}
	at, ok := v.regionIndex(r.name)
	if !ok || len(v.regions[at].hosts) != len(r.hosts) {
		return nil
	}
	for i, h := range v.regions[at].hosts {
		was, is := v.hosts[h.index], other.hosts[r.hosts[i].index]
		if was.Name != is.Name || was.FailureDomain != is.FailureDomain {
			return nil
		}
	}
	return v.regions[at].buckets
}

// pick returns the best host for a key, and the best in another failure domain,
// or hosts with index noHost.
func (r *regionView) pick(key uint64) (top, other hostView) {
	b := r.buckets[mix(r.seed+key)>>(64-bucketBits)]
	return r.host(b.top), r.host(b.other)
}

func (r *regionView) host(at uint16) hostView {
	if at == noHost {
		return hostView{index: noHost}
	}
	return r.hosts[at]
}

// noHost is the index of no host.
const noHost = 0xffff

// best returns the hosts with the highest and the next rendezvous score, the
// latter in another failure domain.
func best(hosts []hostView, key uint64) bucket {
	b := bucket{top: noHost, other: noHost}
	var topScore, otherScore uint64
	for i, h := range hosts {
		score := mix(h.seed ^ key)
		switch {
		case b.top == noHost || score > topScore:
			if b.top != noHost && h.domain != hosts[b.top].domain {
				b.other, otherScore = b.top, topScore
			}
			b.top, topScore = uint16(i), score
		case h.domain != hosts[b.top].domain && (b.other == noHost || score > otherScore):
			b.other, otherScore = uint16(i), score
		}
	}
	return b
}
