// Package tables brings the block table that tickets name into force: it loads
// the stored snapshot and its deltas from the object store, or from other hosts
// while the store is down, and lays the blocks of tickets over them.
//
// A table enters force whole or not at all. Loading and building happen beside
// the look-ups, which read the table in force without a lock.
package tables

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/platform"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/process/peer"
	"quetzalknot/version/config"
	"quetzalknot/version/lookup"
)

var (
	evInForce  = eventlog.Define(2211, zerolog.InfoLevel, "block table in force")
	evRefused  = eventlog.Define(2212, zerolog.ErrorLevel, "block table refused")
	evDeferred = eventlog.Define(2213, zerolog.WarnLevel, "block table not loaded yet")
	evFromPeer = eventlog.Define(2214, zerolog.InfoLevel, "block table read from another host")
)

const (
	// firstPause and longestPause bound the time between two tries to load a table.
	firstPause   = time.Second
	longestPause = 30 * time.Second
	// gcAbove is the number of blocks above which a replaced table is collected at once.
	gcAbove = 100_000
)

// Options are what a Keeper works with.
type Options struct {
	Objects platform.Objects
	Caller  peer.Caller
	// Peers returns the peer addresses of other hosts, best first.
	Peers   func() []string
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Wanted is what tickets say about blocks.
type Wanted struct {
	// Version is the configuration version that says it.
	Version uint64
	// Tables names at most one stored table.
	Tables []config.BlockTable
	// Blocks lie over the stored table.
	Blocks []config.Block
}

// Keeper keeps the block table in force. It is safe for concurrent use.
type Keeper struct {
	opts   Options
	wake   chan struct{}
	table  atomic.Pointer[lookup.Table]
	served served

	mu     sync.Mutex
	wanted Wanted

	// The fields below belong to Run.
	base    *lookup.Snapshot
	loading *lookup.Loading
	loadFor lookup.Sum
	chain   []*lookup.Delta
	stored  *lookup.Table
}

// New returns a keeper with an empty table.
func New(opts Options) *Keeper {
	k := &Keeper{opts: opts, wake: make(chan struct{}, 1), stored: &lookup.Table{}}
	k.table.Store(k.stored)
	opts.Metrics.Gauge("lookup.table_blocks", func() int64 { return int64(k.Table().Len()) })
	return k
}

// Table returns the table in force.
func (k *Keeper) Table() *lookup.Table { return k.table.Load() }

// Want replaces what tickets say. Run brings it into force.
func (k *Keeper) Want(w Wanted) {
	k.mu.Lock()
	k.wanted = w
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run brings what is wanted into force until ctx ends, trying again after failures.
func (k *Keeper) Run(ctx context.Context) {
	pause := firstPause
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		err := k.Step(ctx)
		if err == nil {
			pause = firstPause
			timer.Stop()
		} else {
			k.logFailure(err)
			timer.Reset(pause/2 + time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, longestPause)
		}
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-timer.C:
		}
	}
}

func (k *Keeper) logFailure(err error) {
	k.opts.Metrics.Counter("lookup.table_failures").Add(1)
	var format *lookup.FormatError
	var block *lookup.BlockError
	if errors.As(err, &format) || errors.As(err, &block) {
		evRefused.Log(k.opts.Log).Err(err).Send()
		return
	}
	evDeferred.Log(k.opts.Log).Err(err).Send()
}

// Step brings what is wanted into force once. After an error the table in force
// is unchanged, and the next Step goes on where this one stopped.
func (k *Keeper) Step(ctx context.Context) error {
	k.mu.Lock()
	w := k.wanted
	k.mu.Unlock()
	if err := k.load(ctx, w.Tables); err != nil {
		return err
	}
	changes, err := lookup.Changes(w.Blocks)
	if err != nil {
		return err
	}
	table, err := k.stored.Apply(changes)
	if err != nil {
		return err
	}
	before := k.table.Swap(table)
	evInForce.Log(k.opts.Log).Uint64("version", w.Version).Int("blocks", table.Len()).Send()
	if before.Len() > gcAbove && before != table {
		runtime.GC() // the replaced table would count twice until the next cycle
	}
	return nil
}

// load makes stored the table that the tickets name.
func (k *Keeper) load(ctx context.Context, named []config.BlockTable) error {
	switch len(named) {
	case 0:
		k.base, k.chain, k.stored = nil, nil, &lookup.Table{}
		return nil
	case 1:
	default:
		return &lookup.FormatError{Reason: "tickets name " + named[0].Name + " and " + named[1].Name + "; remove one"}
	}
	sum, err := parseSum(named[0].SHA256)
	if err != nil {
		return err
	}
	base, chain, table := k.base, k.chain, k.stored
	if base == nil || base.Sum != sum {
		if base, err = k.loadSnapshot(ctx, named[0].Object, sum); err != nil {
			return err
		}
		chain, table = nil, base.Table
	}
	if chain, table, err = k.loadDeltas(ctx, base, chain, table, named[0].Deltas); err != nil {
		return err
	}
	k.base, k.chain, k.stored = base, chain, table
	k.served.set(base, chain)
	return nil
}

func parseSum(text string) (lookup.Sum, error) {
	var sum lookup.Sum
	n, err := hex.Decode(sum[:], []byte(text))
	if err != nil || n != len(sum) || len(text) != 2*len(sum) {
		return sum, &lookup.FormatError{Reason: "sha256 " + text + " is not 64 hexadecimal digits"}
	}
	return sum, nil
}

// loadDeltas applies the named deltas. It keeps those that are applied already
// and starts again from the snapshot when the list is another one.
func (k *Keeper) loadDeltas(ctx context.Context, base *lookup.Snapshot, chain []*lookup.Delta, table *lookup.Table, named []config.BlockDelta) ([]*lookup.Delta, *lookup.Table, error) {
	if !continues(chain, named) {
		chain, table = nil, base.Table
	}
	last := base.Sum
	if len(chain) > 0 {
		last = chain[len(chain)-1].Sum
	}
	for _, d := range named[len(chain):] {
		delta, err := k.readDelta(ctx, d)
		if err != nil {
			return nil, nil, err
		}
		if table, err = table.ApplyDelta(last, delta); err != nil {
			return nil, nil, err
		}
		last, delta.Changes = delta.Sum, nil
		chain = append(chain[:len(chain):len(chain)], delta)
	}
	return chain, table, nil
}

// continues reports whether the applied deltas begin the named ones.
func continues(chain []*lookup.Delta, named []config.BlockDelta) bool {
	if len(chain) > len(named) {
		return false
	}
	for i, d := range chain {
		sum, err := parseSum(named[i].SHA256)
		if err != nil || sum != d.Sum {
			return false
		}
	}
	return true
}
