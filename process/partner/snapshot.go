package partner

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
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
type SnapshotRequest struct{}

// SnapshotReply carries a snapshot in CBOR, compressed with DEFLATE. Packed is empty while
// the host lacks a table.
type SnapshotReply struct{ Packed []byte }

// snapshotCache holds the encoded snapshot that was made last.
type snapshotCache struct {
	mu     sync.Mutex
	packed []byte
	madeAt time.Time
}

// Snapshot returns this host's tables and members.
func (s *service) Snapshot(_ *SnapshotRequest, reply *SnapshotReply) error {
	packed, err := s.g.packedSnapshot()
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

func pack(s Snapshot) ([]byte, error) {
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode a snapshot")
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

func unpack(packed []byte) (Snapshot, error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxSnapshotBytes)
	var s Snapshot
	err := cbor.NewDecoder(r).Decode(&s)
	return s, errors.Wrap(err, "decode a snapshot")
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
	if !g.startPull(snapshotPull) {
		return
	}
	go func() {
		defer g.endPull(snapshotPull)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if g.pullSnapshot(ctx, h.From) {
			return
		}
		for _, name := range g.opts.Tables {
			g.pullDelta(h.From, name, g.opts.Mirror.Position(name)) // an older release has no snapshots
		}
	}()
}

// pullSnapshot fetches and applies the snapshot of a host in place of full tables. It
// returns false if that host has none to give.
func (g *Group) pullSnapshot(ctx context.Context, from Member) bool {
	reply := new(SnapshotReply)
	g.opts.Metrics.Counter("partners.snapshots").Add(1)
	started := g.opts.Now()
	if err := g.opts.Client.Call(ctx, from.Peer, serviceName+".Snapshot", &SnapshotRequest{}, reply); err != nil || len(reply.Packed) == 0 {
		return false
	}
	g.opts.Metrics.Counter("partners.snapshot_bytes").Add(int64(len(reply.Packed)))
	snapshot, err := unpack(reply.Packed)
	if err != nil {
		return false
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
	return true
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
