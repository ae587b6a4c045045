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

// storeObject is a lookup.RangeReader of an object in the object store.
type storeObject struct {
	objects platform.Objects
	key     string
}

// MaxRange implements lookup.RangeReader.
func (o *storeObject) MaxRange() int64 { return storeRange }

// ReadRange implements lookup.RangeReader.
func (o *storeObject) ReadRange(ctx context.Context, offset, length int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return o.objects.GetRange(ctx, o.key, offset, length)
}

// peerObject is a lookup.RangeReader of a table or delta that another host serves.
type peerObject struct {
	client peer.RPCClient
	addr   string
	sum    lookup.Sum
	limit  *rate.Limiter
}

// MaxRange implements lookup.RangeReader.
func (o *peerObject) MaxRange() int64 { return peerRange }

// ReadRange implements lookup.RangeReader.
func (o *peerObject) ReadRange(ctx context.Context, offset, length int64) ([]byte, error) {
	if err := o.limit.WaitN(ctx, int(min(length, peerRange))); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var reply ReadReply
	err := o.client.Call(ctx, o.addr, ServiceName+".Read", &ReadArgs{Sum: o.sum, Offset: offset, Length: length}, &reply)
	return reply.Data, err
}

// loadSnapshot reads a snapshot from the store, or from other hosts if the store fails or
// returns invalid data. After a failure the next call resumes from the parts already read.
func (l *Loader) loadSnapshot(ctx context.Context, key string, sum lookup.Sum) (*lookup.Snapshot, error) {
	if l.loading == nil || l.loadingSum != sum {
		l.loading, l.loadingSum = lookup.NewLoader(sum), sum
	}
	snap, err := l.loading.Read(ctx, &storeObject{objects: l.opts.Objects, key: key})
	for _, addr := range l.peers() {
		if err == nil || ctx.Err() != nil {
			break
		}
		source := &peerObject{client: l.opts.Client, addr: addr, sum: sum, limit: rate.NewLimiter(peerRate, peerRange)}
		var peerErr error
		if snap, peerErr = l.loading.Read(ctx, source); peerErr == nil {
			evFromPeer.Log(l.opts.Log).Str("peer", addr).Stringer("table", sum).Send()
			err = nil
		}
	}
	if err != nil {
		done, total := l.loading.Progress()
		return nil, errors.Wrapf(err, "object %q (%d of %d blocks read)", key, done, total)
	}
	l.loading = nil
	return snap, nil
}

func (l *Loader) peers() []string {
	if l.opts.Peers == nil {
		return nil
	}
	addrs := l.opts.Peers()
	return addrs[:min(len(addrs), maxPeersPerLoad)]
}

// readDelta reads one delta from the store, or from another host if the store fails or
// returns invalid data.
func (l *Loader) readDelta(ctx context.Context, d config.BlockDelta) (*lookup.Delta, error) {
	sum, err := parseSum(d.SHA256)
	if err != nil {
		return nil, err
	}
	data, err := l.readAll(ctx, &storeObject{objects: l.opts.Objects, key: d.Object}, sum)
	for _, addr := range l.peers() {
		if err == nil || ctx.Err() != nil {
			break
		}
		source := &peerObject{client: l.opts.Client, addr: addr, sum: sum, limit: rate.NewLimiter(peerRate, peerRange)}
		if found, peerErr := l.readAll(ctx, source, sum); peerErr == nil {
			data, err = found, nil
		}
	}
	if err != nil {
		return nil, errors.Wrapf(err, "object %q", d.Object)
	}
	return lookup.DecodeDelta(data)
}

// readAll reads an object, up to the size limit of deltas, and checks its SHA-256.
func (l *Loader) readAll(ctx context.Context, o lookup.RangeReader, sum lookup.Sum) ([]byte, error) {
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
