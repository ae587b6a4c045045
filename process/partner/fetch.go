package partner

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// receivingTime is how long after its last part a reply counts as arriving.
const receivingTime = 500 * time.Millisecond

// fetched is what has arrived of a reply that is fetched in parts. It is kept when a fetch fails, and the next one goes on
// from there if the same bytes are offered, by whichever host.
type fetched struct {
	offer Offer
	data  []byte
	// partAt is when the last part arrived.
	partAt time.Time
}

// fetch returns an offered reply, which it fetches in parts for a pull. Each part has callTimeout, and the whole has as long as parts
// arrive. After an error the next fetch of the same offer goes on where this one ended.
func (g *Group) fetch(from Member, pull string, offer Offer) ([]byte, error) {
	if offer.Size < 0 || offer.Size > maxSnapshotBytes {
		return nil, errWrongSum
	}
	f := g.resume(pull, offer)
	for len(f.data) < offer.Size {
		part, err := g.fetchPart(from, offer, len(f.data))
		if err != nil {
			return nil, err
		}
		f.data = append(f.data, part...)
		g.recordPart(f)
	}
	g.forgetFetched(pull)
	if xxhash.Sum64(f.data) != offer.Sum {
		return nil, errWrongSum
	}
	return f.data, nil
}

func (g *Group) fetchPart(from Member, offer Offer, offset int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	g.opts.Metrics.Counter("partners.parts").Add(1)
	reply := new(PartReply)
	if err := g.opts.Client.Call(ctx, from.Peer, serviceName+".Part", &PartRequest{Offer: offer, Offset: offset}, reply); err != nil {
		return nil, err
	}
	if len(reply.Data) == 0 || len(reply.Data) > offer.Size-offset {
		return nil, errOfferGone
	}
	return reply.Data, nil
}

// resume returns what has arrived of an offered reply.
func (g *Group) resume(pull string, offer Offer) *fetched {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.fetching[pull]
	if f == nil || f.offer != offer {
		f = &fetched{offer: offer}
		g.fetching[pull] = f
	}
	f.partAt = now
	return f
}

func (g *Group) recordPart(f *fetched) {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	f.partAt = now
}

func (g *Group) forgetFetched(pull string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.fetching, pull)
}

// Receiving reports whether a large reply about a table is arriving from a partner.
func (g *Group) Receiving(table string) bool { return g.receiving(table) || g.ReceivingSnapshot() }

// ReceivingSnapshot reports whether the snapshot of a partner is arriving.
func (g *Group) ReceivingSnapshot() bool { return g.receiving(snapshotPull) }

func (g *Group) receiving(pull string) bool {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.fetching[pull]
	return f != nil && g.pullsRunning[pull] && now.Sub(f.partAt) < receivingTime
}
