package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRequests bounds the requests with counts.
	maxRequests = 2000
	// spareRequests is for how many further requests there is space once some were removed.
	spareRequests = maxRequests / 8
)

// candidate is a request whose counts may be removed. rank is the number of requests of the same caller
// that are kept before it.
type candidate struct {
	fingerprint uint64
	total, rank int
	changedAt   time.Time
}

// counts reports whether any crash counts for the request; else it is kept since it was answered.
func (x candidate) counts() bool { return x.total > 0 }

// makeSpace makes space for a request when maxRequests is reached: it removes all expired counts and, as long
// as there is no space, requests of which nothing counts and then those of the callers with the most requests, so that a
// caller that sends many different ones drives out none of another.
func (c *Counts) makeSpace(now time.Time) {
	if len(c.requests) < maxRequests {
		return
	}
	byCaller := make(map[uint16][]candidate)
	for fingerprint, r := range c.requests {
		if r.expired(now) {
			c.remove(fingerprint)
			continue
		}
		byCaller[r.caller] = append(byCaller[r.caller], candidate{fingerprint: fingerprint, total: r.total(), changedAt: r.changedAt})
	}
	for _, x := range removalOrder(byCaller) {
		if len(c.requests) <= maxRequests-spareRequests {
			return
		}
		c.remove(x.fingerprint)
	}
}

// removalOrder returns the requests in the order of their removal. Those of one caller are kept by their
// total and then by age.
func removalOrder(byCaller map[uint16][]candidate) []candidate {
	var all []candidate
	for _, own := range byCaller {
		slices.SortFunc(own, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(b.total, a.total), b.changedAt.Compare(a.changedAt), cmp.Compare(a.fingerprint, b.fingerprint))
		})
		for i := range own {
			own[i].rank = i
		}
		all = append(all, own...)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(compareBool(a.counts(), b.counts()), cmp.Compare(b.rank, a.rank), cmp.Compare(a.total, b.total), a.changedAt.Compare(b.changedAt), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	return all
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
