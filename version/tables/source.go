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
	// storeRange is the maximum number of bytes that one read of the object store requests.
	storeRange = 1 << 20
	// peerRange is the maximum number of bytes that one call to another host requests.
	peerRange = 64 << 10
	// readTimeout bounds one read of the object store or one call to another host.
	readTimeout = 10 * time.Second
	// peerRate is the rate at which a host reads a table from others, in bytes per second.
	peerRate = 1 << 20
	// maxPeersPerLoad is the maximum number of other hosts that are tried when the store fails.
	maxPeersPerLoad = 3
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

// peerObject is a lookup.Object that is read from another host.
type peerObject struct {
	caller peer.RPCClient
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

// loadSnapshot reads a snapshot from the store, or from other hosts if the store fails or
// returns invalid data. After a failure the next call resumes from the parts already read.
func (k *Loader) loadSnapshot(ctx context.Context, key string, sum lookup.Sum) (*lookup.Snapshot, error) {
	if k.loading == nil || k.loadingSum != sum {
		k.loading, k.loadingSum = lookup.NewLoader(sum), sum
	}
	snap, err := k.loading.Read(ctx, &storeObject{objects: k.opts.Objects, key: key})
	for _, addr := range k.peers() {
		if err == nil || ctx.Err() != nil {
			break
		}
		source := &peerObject{caller: k.opts.Client, addr: addr, sum: sum, limit: rate.NewLimiter(peerRate, peerRange)}
		var peerErr error
		if snap, peerErr = k.loading.Read(ctx, source); peerErr == nil {
			evFromPeer.Log(k.opts.Log).Str("peer", addr).Stringer("table", sum).Send()
			err = nil
		}
	}
	if err != nil {
		done, total := k.loading.Progress()
		return nil, errors.Wrapf(err, "object %q (%d of %d blocks read)", key, done, total)
	}
	k.loading = nil
	return snap, nil
}

func (k *Loader) peers() []string {
	if k.opts.Peers == nil {
		return nil
	}
	addrs := k.opts.Peers()
	return addrs[:min(len(addrs), maxPeersPerLoad)]
}

// readDelta reads one delta from the store, or from another host if the store fails.
func (k *Loader) readDelta(ctx context.Context, d config.BlockDelta) (*lookup.Delta, error) {
	sum, err := parseSum(d.SHA256)
	if err != nil {
		return nil, err
	}
	data, err := k.readAll(ctx, &storeObject{objects: k.opts.Objects, key: d.Object}, sum)
	for _, addr := range k.peers() {
		if err == nil || ctx.Err() != nil {
			break
		}
		source := &peerObject{caller: k.opts.Client, addr: addr, sum: sum, limit: rate.NewLimiter(peerRate, peerRange)}
		if found, peerErr := k.readAll(ctx, source, sum); peerErr == nil {
			data, err = found, nil
		}
	}
	if err != nil {
		return nil, errors.Wrapf(err, "object %q", d.Object)
	}
	return lookup.DecodeDelta(data)
}

// readAll reads an object, up to the size limit of deltas, and checks its SHA-256.
func (k *Loader) readAll(ctx context.Context, o lookup.RangeReader, sum lookup.Sum) ([]byte, error) {
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
