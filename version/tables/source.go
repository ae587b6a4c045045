package tables

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"quetzalknot/platform"
	"quetzalknot/process/peer"
	"quetzalknot/version/config"
	"quetzalknot/version/lookup"
)

const (
	// storeRange is how many bytes one read of the object store asks for.
	storeRange = 1 << 20
	// peerRange is how many bytes one call to another host asks for.
	peerRange = 64 << 10
	// readTimeout bounds one read.
	readTimeout = 10 * time.Second
	// peerRate is the rate at which a host reads a table from others, in bytes a second.
	peerRate = 1 << 20
	// peersTried is how many hosts one try asks.
	peersTried = 3
)

// storeObject is a lookup.Object in the object store.
type storeObject struct {
	objects platform.Objects
	key     string
}

// MaxRange implements lookup.Object.
func (o *storeObject) MaxRange() int64 { return storeRange }

// ReadRange implements lookup.Object.
func (o *storeObject) ReadRange(ctx context.Context, offset, length int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return o.objects.GetRange(ctx, o.key, offset, length)
}

// peerObject is a lookup.Object that another host writes from its memory.
type peerObject struct {
	caller peer.Caller
	addr   string
	sum    lookup.Sum
	limit  *rate.Limiter
}

// MaxRange implements lookup.Object.
func (o *peerObject) MaxRange() int64 { return peerRange }

// ReadRange implements lookup.Object.
func (o *peerObject) ReadRange(ctx context.Context, offset, length int64) ([]byte, error) {
	if err := o.limit.WaitN(ctx, int(min(length, peerRange))); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var reply ReadReply
	err := o.caller.Call(ctx, o.addr, ServiceName+".Read", &ReadArgs{Sum: o.sum, Offset: offset, Length: length}, &reply)
	return reply.Data, err
}

// loadSnapshot reads a snapshot from the store, or from other hosts when the
// store fails or gives something else. What was read before a failure is kept.
func (k *Keeper) loadSnapshot(ctx context.Context, key string, sum lookup.Sum) (*lookup.Snapshot, error) {
	if k.loading == nil || k.loadFor != sum {
		k.loading, k.loadFor = lookup.NewLoading(sum), sum
	}
	snap, err := k.loading.Read(ctx, &storeObject{objects: k.opts.Objects, key: key})
	for _, addr := range k.peers() {
		if err == nil || ctx.Err() != nil {
			break
		}
		source := &peerObject{caller: k.opts.Caller, addr: addr, sum: sum, limit: rate.NewLimiter(peerRate, peerRange)}
		var peerErr error
		if snap, peerErr = k.loading.Read(ctx, source); peerErr == nil {
			evFromPeer.Log(k.opts.Log).Str("peer", addr).Stringer("table", sum).Send()
			err = nil
		}
	}
	if err != nil {
		done, total := k.loading.Done()
		return nil, errors.Wrapf(err, "object %q (%d of %d blocks read)", key, done, total)
	}
	k.loading = nil
	return snap, nil
}

func (k *Keeper) peers() []string {
	if k.opts.Peers == nil {
		return nil
	}
	addrs := k.opts.Peers()
	return addrs[:min(len(addrs), peersTried)]
}

// readDelta reads one delta from the store, or from another host.
func (k *Keeper) readDelta(ctx context.Context, d config.BlockDelta) (*lookup.Delta, error) {
	sum, err := parseSum(d.SHA256)
	if err != nil {
		return nil, err
	}
	data, err := k.readWhole(ctx, &storeObject{objects: k.opts.Objects, key: d.Object}, sum)
	for _, addr := range k.peers() {
		if err == nil || ctx.Err() != nil {
			break
		}
		source := &peerObject{caller: k.opts.Caller, addr: addr, sum: sum, limit: rate.NewLimiter(peerRate, peerRange)}
		if found, peerErr := k.readWhole(ctx, source, sum); peerErr == nil {
			data, err = found, nil
		}
	}
	if err != nil {
		return nil, errors.Wrapf(err, "object %q", d.Object)
	}
	return lookup.DecodeDelta(data)
}

// readWhole reads an object to its end and checks its sum.
func (k *Keeper) readWhole(ctx context.Context, o lookup.Object, sum lookup.Sum) ([]byte, error) {
	var data []byte
	for len(data) <= lookup.MaxDeltaBytes {
		part, err := o.ReadRange(ctx, int64(len(data)), o.MaxRange())
		if err != nil {
			return nil, err
		}
		data = append(data, part...)
		if int64(len(part)) < o.MaxRange() {
			break
		}
	}
	if sha256.Sum256(data) != sum {
		return nil, &lookup.FormatError{Reason: "its SHA-256 does not match"}
	}
	return data, nil
}
