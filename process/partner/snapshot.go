package partner

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"quetzalknot/process/mirror"
)

const (
	// maxSnapshotBytes bounds a decompressed snapshot.
	maxSnapshotBytes = 64 << 20
	// snapshotReuse is how long an encoded snapshot is used for further callers: hosts that
	// start together ask together.
	snapshotReuse = 500 * time.Millisecond
	// farPullDelay is how long a host without tables waits, from its start, for those of its
	// own region before it pulls them from another region.
	farPullDelay = 3 * time.Second
)

// Snapshot holds the full tables and the members that a host knows.
type Snapshot struct {
	Tables  []mirror.Delta
	Members []Member
}

// SnapshotRequest asks for the snapshot of a host.
type SnapshotRequest struct {
	// TakesParts says that the caller fetches a large snapshot in parts. Earlier releases do not.
	TakesParts bool `cbor:",omitempty"`
}

// SnapshotReply carries a snapshot in CBOR, compressed with DEFLATE, or offers it in parts. Packed is empty then, and
// while the host lacks a table.
type SnapshotReply struct {
	Packed []byte
	Parts  *Offer `cbor:",omitempty"`
}

// snapshotCache holds the encoded snapshot that was made last.
type snapshotCache struct {
	mu     sync.Mutex
	packed []byte
	madeAt time.Time
}

// Snapshot returns this host's tables and members.
func (s *service) Snapshot(request *SnapshotRequest, reply *SnapshotReply) error {
	packed, err := s.g.packedSnapshot()
	if err == nil && request.TakesParts && len(packed) > partBytes {
		offer := s.g.offers.add(packed, s.g.opts.Now())
		reply.Parts = &offer
		return nil
	}
	reply.Packed = packed
	return err
}

// packedSnapshot returns the encoded snapshot of this host, or nil while it lacks a table.
func (g *Group) packedSnapshot() ([]byte, error) {
	if !g.HasTables() {
		return nil, nil
	}
	now := g.opts.Now()
	g.snapshot.mu.Lock()
	defer g.snapshot.mu.Unlock()
	if g.snapshot.packed != nil && now.Sub(g.snapshot.madeAt) < snapshotReuse {
		return g.snapshot.packed, nil
	}
	snapshot := Snapshot{Members: g.knownMembers()}
	for _, name := range g.opts.Tables {
		snapshot.Tables = append(snapshot.Tables, g.opts.Mirror.DeltaSince(name, mirror.Position{}))
	}
	packed, err := pack(snapshot)
	if err != nil {
		return nil, err
	}
	g.snapshot.packed, g.snapshot.madeAt = packed, now
	return packed, nil
}

// HasTables reports whether this host has a copy of each table.
func (g *Group) HasTables() bool {
	return !slices.ContainsFunc(g.opts.Tables, func(name string) bool { return g.opts.Mirror.Revision(name) == 0 })
}

// knownMembers returns the known hosts that are not leaving, and this host.
func (g *Group) knownMembers() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := []Member{g.opts.Self}
	for _, s := range g.members {
		if !s.leaving {
			members = append(members, s.Member)
		}
	}
	return members
}

// pack encodes a value in CBOR and compresses it.
func pack(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode a large reply")
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpack decodes what pack has made.
func unpack[T any](packed []byte) (T, error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxSnapshotBytes)
	var v T
	err := cbor.NewDecoder(r).Decode(&v)
	return v, errors.Wrap(err, "decode a large reply")
}

// snapshotPull stands for all tables in pullsRunning.
const snapshotPull = ""

// startSnapshotPull starts a pull of all tables from the sender of a heartbeat, unless it
// lacks one itself or such a pull is running.
func (g *Group) startSnapshotPull(h *Heartbeat) {
	for _, name := range g.opts.Tables {
		if h.Positions[name] == 0 {
			return
		}
	}
	if !g.startPull(snapshotPull, h) {
		return
	}
	go func() {
		defer g.endPull(snapshotPull)
		started := g.opts.Now()
		err := g.pullSnapshot(h.From)
		if err == nil {
			return
		}
		evPullFailed.Log(g.opts.Log).Str("member", h.From.Name).Strs("tables", g.opts.Tables).
			Int64("took_ms", g.opts.Now().Sub(started).Milliseconds()).Err(err).Send()
		var remote rpc.ServerError
		if !errors.As(err, &remote) {
			return
		}
		for _, name := range g.opts.Tables {
			g.pullDelta(h.From, name, g.opts.Mirror.Position(name)) // an older release has no snapshots
		}
	}()
}

// errNoSnapshot reports that a host lacks a table.
var errNoSnapshot = errors.New("the partner has no snapshot")

// pullSnapshot fetches and applies the snapshot of a host in place of full tables.
func (g *Group) pullSnapshot(from Member) error {
	g.opts.Metrics.Counter("partners.snapshots").Add(1)
	started := g.opts.Now()
	packed, err := g.callSnapshot(from)
	if err != nil {
		return err
	}
	g.opts.Metrics.Counter("partners.snapshot_bytes").Add(int64(len(packed)))
	snapshot, err := unpack[Snapshot](packed)
	if err != nil {
		return err
	}
	took := g.opts.Now().Sub(started)
	g.AddMembers(snapshot.Members)
	for _, delta := range snapshot.Tables {
		g.logSynchronised(from, delta, took)
		g.opts.Apply(delta)
	}
	g.mu.Lock()
	g.hasMembers = true
	g.mu.Unlock()
	return nil
}

// callSnapshot fetches the snapshot of a host: by one call, or in parts if it is large.
func (g *Group) callSnapshot(from Member) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := new(SnapshotReply)
	err := g.opts.Client.Call(ctx, from.Peer, serviceName+".Snapshot", &SnapshotRequest{TakesParts: true}, reply)
	switch {
	case err != nil:
		return nil, err
	case reply.Parts != nil:
		return g.fetch(from, snapshotPull, *reply.Parts)
	case len(reply.Packed) == 0:
		return nil, errNoSnapshot
	default:
		return reply.Packed, nil
	}
}

// HasMembers reports whether the members were taken over from another host's snapshot.
func (g *Group) HasMembers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasMembers
}

// ExchangeHeartbeats sends heartbeats to the hosts at once and waits for the replies. If one of them has
// the tables that this host lacks, they are pulled from it.
func (g *Group) ExchangeHeartbeats(ctx context.Context, hosts []Member) {
	var calls sync.WaitGroup
	for _, m := range hosts {
		if m.Name != g.opts.Self.Name {
			calls.Go(func() { g.sendHeartbeat(ctx, m) })
		}
	}
	calls.Wait()
}

// mayPullFrom reports whether changes may be pulled from a host. Those of other regions are
// pulled only if no reader of the store in this region reports that it reads them, so that a
// change crosses to a region few times.
func (g *Group) mayPullFrom(m Member) bool {
	if m.Region == g.opts.Self.Region {
		return true
	}
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.nearReaderAt.IsZero() && now.Sub(g.nearReaderAt) < readerTimeout {
		return false
	}
	return now.Sub(g.startedAt) >= farPullDelay || g.opts.StoreStatus().Failing
}
