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
	// callerBits is how many of the highest bits of a fingerprint identify the caller.
	callerBits = 16
)

// Fingerprint returns the fingerprint of a request, by the hash of what identifies its caller and by that of
// the request.
func Fingerprint(caller, request uint64) uint64 {
	return caller<<(64-callerBits) | request>>callerBits
}

// callerOf returns what the fingerprint says of the caller.
func callerOf(fingerprint uint64) uint64 { return fingerprint >> (64 - callerBits) }

// candidate is a request whose counts may be removed. rank is the number of requests of the same caller
// that are kept before it.
type candidate struct {
	fingerprint uint64
	total, rank int
	changedAt   time.Time
}

// makeSpace makes space for a request when maxRequests is reached: it removes all expired counts and, as long
// as there is no space, those of the callers with the most requests, so that a caller that sends many
// different ones drives out none of another.
func (c *Counts) makeSpace(now time.Time) {
	if len(c.requests) < maxRequests {
		return
	}
	byCaller := make(map[uint64][]candidate)
	for fingerprint, r := range c.requests {
		if r.expired(now) {
			delete(c.requests, fingerprint)
			continue
		}
		caller := callerOf(fingerprint)
		byCaller[caller] = append(byCaller[caller], candidate{fingerprint: fingerprint, total: r.total(), changedAt: r.changedAt})
	}
	for _, x := range removalOrder(byCaller) {
		if len(c.requests) <= maxRequests-spareRequests {
			return
		}
		delete(c.requests, x.fingerprint)
	}
}

// removalOrder returns the requests in the order of their removal. Those of one caller are kept by their
// total and then by age.
func removalOrder(byCaller map[uint64][]candidate) []candidate {
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
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.total, b.total), a.changedAt.Compare(b.changedAt), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	return all
}
