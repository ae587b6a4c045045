package partner

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"quetzalknot/process/chunk"
	"quetzalknot/process/mirror"
)

const (
	// largeDeltaBytes is the size of the values of a delta from which it is compressed and fetched in parts.
	largeDeltaBytes = 16 << 10
	// largeValueBytes is the size of a value from which only what the receiver does not have of it is sent.
	largeValueBytes = 8 << 10
)

// LargeRequest requests a delta that a PullReply said to be large.
type LargeRequest struct {
	_     struct{} `cbor:",toarray"`
	Table string
	After uint64
	Era   uint64
	// Known are the caller's large values of the table.
	Known []KnownValue
}

// KnownValue states the hashes of the chunks of a value that the caller has.
type KnownValue struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Hashes []uint64
}

// LargeReply is the reply to a LargeRequest: a delta whose records are to be fetched in parts. They are a list of packedRecord in CBOR,
// compressed with DEFLATE.
type LargeReply struct {
	_         struct{} `cbor:",toarray"`
	Era, UpTo uint64
	Whole     bool
	Records   Offer
}

// packedRecord is a record of which the value is given, or the pieces of it that the receiver needs.
type packedRecord struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Revision uint64
	Removed  bool
	Value    []byte
	Pieces   *chunk.Pieces
}

// packedDeltas holds the offer of the records that were packed last, by what they are packed from: hosts that
// hear of a change together ask together.
type packedDeltas struct {
	mu     sync.Mutex
	source uint64
	offer  Offer
}

// Large returns the records of a table that are newer than the caller's revision, to be fetched in parts.
func (s *service) Large(request *LargeRequest, reply *LargeReply) error {
	d := s.g.opts.Mirror.DeltaSince(request.Table, mirror.Position{Era: request.Era, Revision: request.After})
	offer, err := s.g.offerRecords(d, request.Known)
	*reply = LargeReply{Era: d.Era, UpTo: d.UpTo, Whole: d.Whole, Records: offer}
	return err
}

// offerRecords offers the records of a delta to a host that has some values.
func (g *Group) offerRecords(d mirror.Delta, known []KnownValue) (Offer, error) {
	slices.SortFunc(d.Records, func(a, b mirror.Record) int { return cmp.Compare(a.Key, b.Key) })
	source := sourceOf(d, known)
	g.packed.mu.Lock()
	defer g.packed.mu.Unlock()
	now := g.opts.Now()
	if g.packed.source == source && g.offers.part(g.packed.offer, 0, now) != nil {
		return g.packed.offer, nil
	}
	packed, err := pack(packRecords(d.Records, known))
	if err != nil {
		return Offer{}, err
	}
	g.packed.source, g.packed.offer = source, g.offers.add(packed, now)
	return g.packed.offer, nil
}

// sourceOf returns a hash of what the packed records of a delta depend on.
func sourceOf(d mirror.Delta, known []KnownValue) uint64 {
	hash := xxhash.New()
	number := func(n uint64) { _, _ = hash.Write(binary.BigEndian.AppendUint64(nil, n)) }
	text := func(s string) {
		number(uint64(len(s)))
		_, _ = hash.WriteString(s)
	}
	text(d.Table)
	number(d.Era)
	for _, r := range d.Records {
		text(r.Key)
		number(r.Revision)
	}
	for _, k := range known {
		text(k.Key)
		for _, h := range k.Hashes {
			number(h)
		}
	}
	return hash.Sum64()
}

func packRecords(records []mirror.Record, known []KnownValue) []packedRecord {
	packed := make([]packedRecord, len(records))
	for i, r := range records {
		packed[i] = packedRecord{Key: r.Key, Revision: r.Revision, Removed: r.Removed, Value: r.Value}
		at := slices.IndexFunc(known, func(k KnownValue) bool { return k.Key == r.Key })
		if at >= 0 && len(r.Value) >= largeValueBytes {
			pieces := chunk.Split(r.Value, known[at].Hashes)
			packed[i].Value, packed[i].Pieces = nil, &pieces
		}
	}
	return packed
}

// pullLarge fetches a large delta of the records of a table that are newer than own. If what the host sends does not fit this
// host's values, as with another way to cut them, it fetches whole values.
func (g *Group) pullLarge(from Member, name string, own mirror.Position) (mirror.Delta, error) {
	delta, err := g.pullMissing(from, name, own, g.opts.Mirror.Large(name, largeValueBytes))
	if errors.IsAny(err, chunk.ErrUnknownChunk, chunk.ErrWrongSum) {
		return g.pullMissing(from, name, own, nil)
	}
	return delta, err
}

// pullMissing fetches a large delta for a host that has some values.
func (g *Group) pullMissing(from Member, name string, own mirror.Position, values []mirror.Record) (mirror.Delta, error) {
	request := &LargeRequest{Table: name, After: own.Revision, Era: own.Era}
	for _, r := range values {
		request.Known = append(request.Known, KnownValue{Key: r.Key, Hashes: chunk.Hashes(r.Value)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := new(LargeReply)
	if err := g.opts.Client.Call(ctx, from.Peer, serviceName+".Large", request, reply); err != nil {
		return mirror.Delta{}, err
	}
	data, err := g.fetch(from, name, reply.Records)
	if err != nil {
		return mirror.Delta{}, err
	}
	packed, err := unpack[[]packedRecord](data)
	if err != nil {
		return mirror.Delta{}, err
	}
	records, err := unpackRecords(packed, values)
	return mirror.Delta{Table: name, Records: records, Era: reply.Era, UpTo: reply.UpTo, Whole: reply.Whole}, err
}

// unpackRecords returns the records that packed ones stand for, given the values that were stated to the sender.
func unpackRecords(packed []packedRecord, values []mirror.Record) ([]mirror.Record, error) {
	records := make([]mirror.Record, len(packed))
	for i, p := range packed {
		records[i] = mirror.Record{Key: p.Key, Revision: p.Revision, Value: p.Value, Removed: p.Removed}
		if p.Pieces == nil {
			continue
		}
		var older []byte
		if at := slices.IndexFunc(values, func(r mirror.Record) bool { return r.Key == p.Key }); at >= 0 {
			older = values[at].Value
		}
		value, err := chunk.Join(older, *p.Pieces)
		if err != nil {
			return nil, err
		}
		records[i].Value = value
	}
	return records, nil
}
