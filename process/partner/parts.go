package partner

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// partBytes is the size of the parts in which a large reply is fetched. Heartbeats on the same connection wait for one
	// part at most.
	partBytes = 64 << 10
	// offerRetention is how long a reply that is fetched in parts is kept after its last use, and maxOffers bounds how many
	// are.
	offerRetention = 10 * time.Second
	maxOffers      = 8
)

// errOfferGone reports that a host no longer has the reply that was being fetched in parts.
var errOfferGone = errors.New("the partner no longer has the reply")

// errWrongSum reports that the parts of a reply do not make up what was offered.
var errWrongSum = errors.New("the parts of the reply have another hash")

// Offer says that a reply is to be fetched in parts. Offers with the same Sum and Size are of the same bytes, also at
// different hosts.
type Offer struct {
	_    struct{} `cbor:",toarray"`
	Sum  uint64
	Size int
}

// PartRequest asks for the part of an offered reply that begins at an offset.
type PartRequest struct {
	_      struct{} `cbor:",toarray"`
	Offer  Offer
	Offset int
}

// PartReply is the reply to a PartRequest. Data is empty if the host no longer has the reply.
type PartReply struct {
	_    struct{} `cbor:",toarray"`
	Data []byte
}

// offers holds the replies that other hosts fetch in parts.
type offers struct {
	mu  sync.Mutex
	all map[Offer]*offered
}

type offered struct {
	packed []byte
	usedAt time.Time
}

// add offers a reply.
func (o *offers) add(packed []byte, now time.Time) Offer {
	offer := Offer{Sum: xxhash.Sum64(packed), Size: len(packed)}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = make(map[Offer]*offered)
	}
	o.all[offer] = &offered{packed: packed, usedAt: now}
	o.expire(now)
	return offer
}

// expire drops the replies that were not used lately, and beyond maxOffers those whose last use is longest ago. The lock
// must be held.
func (o *offers) expire(now time.Time) {
	for len(o.all) > 0 {
		var oldest Offer
		found := false
		for offer, kept := range o.all {
			if !found || kept.usedAt.Before(o.all[oldest].usedAt) {
				oldest, found = offer, true
			}
		}
		if len(o.all) <= maxOffers && now.Sub(o.all[oldest].usedAt) < offerRetention {
			return
		}
		delete(o.all, oldest)
	}
}

// part returns the part of a reply that begins at an offset, or nil if there is none.
func (o *offers) part(offer Offer, offset int, now time.Time) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	kept := o.all[offer]
	if kept == nil || offset < 0 || offset >= len(kept.packed) {
		return nil
	}
	kept.usedAt = now
	return kept.packed[offset:min(len(kept.packed), offset+partBytes)]
}

// Part returns a part of a reply that was offered.
func (s *service) Part(request *PartRequest, reply *PartReply) error {
	reply.Data = s.g.offers.part(request.Offer, request.Offset, s.g.opts.Now())
	return nil
}
