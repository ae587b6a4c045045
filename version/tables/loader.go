// Package tables loads the block table that tickets name and puts it into force. It
// reads the stored snapshot and its deltas from the object store, or from other hosts
// while the store is down, and applies the blocks of tickets on top of them.
//
// A table replaces the one in force only when it is complete. Loading and building do
// not block look-ups, which read the table in force without a lock.
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
	evRejected = eventlog.Define(2212, zerolog.ErrorLevel, "block table rejected")
	evDeferred = eventlog.Define(2213, zerolog.WarnLevel, "block table not loaded yet")
	evFromPeer = eventlog.Define(2214, zerolog.InfoLevel, "block table read from another host")
)

const (
	// initialBackoff and maxBackoff bound the time between attempts to load a table.
	initialBackoff = time.Second
	maxBackoff     = 30 * time.Second
	// minBlocksForGC is the number of blocks above which the garbage collector runs as
	// soon as a table is replaced.
	minBlocksForGC = 100_000
)

// Options are the dependencies of a Loader.
type Options struct {
	Objects platform.Objects
	Client  peer.RPCClient
	// Peers returns the peer addresses of other hosts in order of preference.
	Peers   func() []string
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// DesiredState is the desired state of the block table according to tickets.
type DesiredState struct {
	// Version is the configuration version that Tables and Blocks belong to.
	Version uint64
	// Tables holds the stored tables that tickets name; more than one is an error.
	Tables []config.BlockTable
	// Blocks are applied on top of the stored table.
	Blocks []config.Block
}

// Loader holds the block table in force and replaces it as tickets change. It is safe for
// concurrent use.
type Loader struct {
	opts   Options
	wake   chan struct{}
	table  atomic.Pointer[lookup.Table]
	loaded atomic.Bool
	served servedTables

	mu      sync.Mutex
	desired DesiredState

	// The fields below are used only by Reconcile and the methods that it calls.

	// base is the snapshot that was loaded last, chain the deltas applied to it, and
	// storedTable the result. loading is a load that is not complete yet, and loadingSum the
	// sum of its snapshot.
	base        *lookup.Snapshot
	loading     *lookup.Loader
	loadingSum  lookup.Sum
	chain       []*lookup.Delta
	storedTable *lookup.Table
}

// New returns a Loader with an empty table.
func New(opts Options) *Loader {
	l := &Loader{opts: opts, wake: make(chan struct{}, 1), storedTable: &lookup.Table{}}
	l.table.Store(l.storedTable)
	opts.Metrics.Gauge("lookup.table_blocks", func() int64 { return int64(l.Table().Len()) })
	return l
}

// Table returns the table in force.
func (l *Loader) Table() *lookup.Table { return l.table.Load() }

// Loaded reports whether a table of some configuration version, possibly an empty one,
// has been put into force.
func (l *Loader) Loaded() bool { return l.loaded.Load() }

// SetDesired sets the desired state and wakes Run, which puts it into force.
func (l *Loader) SetDesired(w DesiredState) {
	l.mu.Lock()
	l.desired = w
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run puts each desired state into force until ctx is cancelled. It retries failures
// with exponential backoff.
func (l *Loader) Run(ctx context.Context) {
	backoff := initialBackoff
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	for {
		err := l.Reconcile(ctx)
		if err == nil {
			backoff = initialBackoff
			timer.Stop()
		} else {
			l.logFailure(err)
			timer.Reset(backoff/2 + time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, maxBackoff)
		}
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
		}
	}
}

func (l *Loader) logFailure(err error) {
	l.opts.Metrics.Counter("lookup.table_failures").Add(1)
	var format *lookup.FormatError
	var block *lookup.BlockError
	if errors.As(err, &format) || errors.As(err, &block) {
		evRejected.Log(l.opts.Log).Err(err).Send()
		return
	}
	evDeferred.Log(l.opts.Log).Err(err).Send()
}

// Reconcile puts the current desired state into force. After an error the table in force is
// unchanged, and the next Reconcile resumes where this one stopped.
func (l *Loader) Reconcile(ctx context.Context) error {
	l.mu.Lock()
	w := l.desired
	l.mu.Unlock()
	if err := l.load(ctx, w.Tables); err != nil {
		return err
	}
	changes, err := lookup.ChangesOf(w.Blocks)
	if err != nil {
		return err
	}
	table, err := l.storedTable.Apply(changes)
	if err != nil {
		return err
	}
	previous := l.table.Swap(table)
	if w.Version > 0 {
		l.loaded.Store(true)
	}
	evInForce.Log(l.opts.Log).Uint64("version", w.Version).Int("blocks", table.Len()).Send()
	if previous.Len() > minBlocksForGC && previous != table {
		runtime.GC() // otherwise both tables occupy memory until the next cycle
	}
	return nil
}

// load reads the stored table and deltas that tickets name and sets storedTable.
func (l *Loader) load(ctx context.Context, named []config.BlockTable) error {
	switch len(named) {
	case 0:
		l.base, l.chain, l.storedTable, l.loading = nil, nil, &lookup.Table{}, nil
		l.served.set(nil, nil)
		return nil
	case 1:
	default:
		return &lookup.FormatError{Reason: "tickets name two block tables, " + named[0].Name + " and " + named[1].Name + "; remove one"}
	}
	sum, err := parseSum(named[0].SHA256)
	if err != nil {
		return err
	}
	base, chain, table := l.base, l.chain, l.storedTable
	if base == nil || base.Sum != sum {
		if base, err = l.loadSnapshot(ctx, named[0].Object, sum); err != nil {
			return err
		}
		chain, table = nil, base.Table
	}
	if chain, table, err = l.loadDeltas(ctx, base, chain, table, named[0].Deltas); err != nil {
		return err
	}
	l.base, l.chain, l.storedTable = base, chain, table
	l.served.set(base, chain)
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

// loadDeltas applies the named deltas and returns the applied deltas and the resulting
// table. Deltas that are already applied are kept if they are a prefix of the named
// ones; otherwise it starts again from the snapshot.
func (l *Loader) loadDeltas(ctx context.Context, base *lookup.Snapshot, chain []*lookup.Delta, table *lookup.Table, named []config.BlockDelta) ([]*lookup.Delta, *lookup.Table, error) {
	if !isPrefix(chain, named) {
		chain, table = nil, base.Table
	}
	last := base.Sum
	if len(chain) > 0 {
		last = chain[len(chain)-1].Sum
	}
	for _, d := range named[len(chain):] {
		delta, err := l.readDelta(ctx, d)
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

// isPrefix reports whether the applied deltas are a prefix of the named ones.
func isPrefix(chain []*lookup.Delta, named []config.BlockDelta) bool {
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
