// Package resolver answers callers' look-ups: which entry hosts they should use.
//
// resolver.go keeps the view that answers follow from, handlers.go serves the calls,
// limits.go bounds them for each caller.
package resolver

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/platform"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/membership"
	"quetzalknot/process/metrics"
	"quetzalknot/process/peer"
	"quetzalknot/process/settings"
	"quetzalknot/version/config"
	"quetzalknot/version/lookup"
	"quetzalknot/version/state"
	"quetzalknot/version/tables"
	"quetzalknot/version/watch"
)

var (
	evLookup = eventlog.Define(2201, zerolog.InfoLevel, "look-up answered")
	evView   = eventlog.Define(2202, zerolog.InfoLevel, "look-ups use a new view")
)

// viewInterval is the time between two checks for new inputs of the look-ups.
const viewInterval = 200 * time.Millisecond

// reportsInterval is how often the view is made again for reports that grow old.
const reportsInterval = 10 * time.Second

// Keys says how the idempotency keys of callers begin.
type Keys interface {
	// Prefix returns the beginning of the keys that an entry host's process runs, or "".
	Prefix(h lookup.Host) string
	// Period names the time in which a cached answer may be used for new keys.
	Period() string
}

// Options are what a Resolver needs.
type Options struct {
	Settings *settings.Settings
	Objects  platform.Objects
	Config   *state.Holder
	Members  *membership.Members
	Caller   peer.Caller
	Sites    *watch.Sites
	Keys     Keys
	// Whole reports whether this host has all tickets that were accepted when it started.
	Whole   func() bool
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Resolver answers look-ups. It is safe for concurrent use.
type Resolver struct {
	opts      Options
	tables    *tables.Keeper
	view      atomic.Pointer[lookup.View]
	limits    *callerLimits
	latencies map[lookup.Pair]time.Duration
	// unready returns why look-ups can't be answered yet, or "".
	unready func() string
	started time.Time
	last    viewInputs
	// changed holds an item while a new configuration version is not yet in the view.
	changed chan struct{}
}

// viewInputs are what the last view was made from.
type viewInputs struct {
	config  *state.Snapshot
	table   *lookup.Table
	members []membership.Member
	// second changes each second while shifts are in force, and now and then
	// without, since reports about sites grow old.
	second time.Time
	// reports is the sum of the reports about sites.
	reports uint64
}

// New returns a resolver that has no view yet.
func New(opts Options) *Resolver {
	l := &Resolver{
		opts: opts, changed: make(chan struct{}, 1), limits: newCallerLimits(opts.Settings.Lookup.PerCaller),
		latencies: configuredLatencies(opts.Settings.Lookup),
	}
	l.tables = tables.New(tables.Options{
		Objects: opts.Objects, Caller: opts.Caller, Peers: l.tablePeers, Metrics: opts.Metrics, Log: opts.Log,
	})
	l.view.Store(lookup.NewView(lookup.Inputs{}))
	l.unready = l.notLoaded
	opts.Metrics.Gauge("lookup.entry_hosts", func() int64 { return int64(l.view.Load().Size()) })
	return l
}

// Register adds the calls by which other hosts fetch tables.
func (l *Resolver) Register(s *peer.Server) error {
	return s.Register(tables.ServiceName, l.tables.Service())
}

// Region returns the region of a caller's block, or "".
func (l *Resolver) Region(client netip.Addr) string {
	table := l.tables.Table()
	if table == nil || !client.IsValid() {
		return ""
	}
	return table.Region(client)
}

func configuredLatencies(s settings.Lookup) map[lookup.Pair]time.Duration {
	latencies := make(map[lookup.Pair]time.Duration, len(s.Latencies))
	for _, l := range s.Latencies {
		latencies[lookup.Pair{From: l.From, To: l.To}] = time.Duration(l.OneWayMS * float64(time.Millisecond))
	}
	return latencies
}

// tablePeers returns other hosts in random order, those of this region first.
func (l *Resolver) tablePeers() []string {
	members := slices.Clone(l.opts.Members.Live())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b membership.Member) int {
		return l.distance(a) - l.distance(b)
	})
	var addrs []string
	for _, m := range members {
		if m.Host != l.opts.Settings.Host.Name {
			addrs = append(addrs, m.PeerAddr)
		}
	}
	return addrs
}

func (l *Resolver) distance(m membership.Member) int {
	if m.Region == l.opts.Settings.Host.Region {
		return 0
	}
	return 1
}

// tableGrace is how long after its start a host refuses look-ups for want of the
// block table. Later it answers without, since no other host may be better off.
const tableGrace = 30 * time.Second

// notLoaded returns why this host can't answer look-ups yet, or "". A host
// that does not have the state yet must not say that a service is unknown, nor
// send callers to far regions while its block table is on its way.
func (l *Resolver) notLoaded() string {
	switch {
	case l.view.Load().Version() > 0 && l.tables.Loaded():
		return ""
	case !l.opts.Whole():
		return "the state is not loaded yet"
	case l.opts.Config.Load().Version > 0 && time.Since(l.started) < tableGrace:
		return "the block table is not loaded yet"
	default:
		return ""
	}
}

// Run loads tables and renews the view until ctx ends.
func (l *Resolver) Run(ctx context.Context) {
	l.started = time.Now()
	var loading sync.WaitGroup
	loading.Go(func() { l.tables.Run(ctx) })
	l.viewLoop(ctx)
	loading.Wait()
}

func (l *Resolver) viewLoop(ctx context.Context) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		l.renewView(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.changed:
		}
	}
}

// InForce makes the look-ups follow a new configuration version at once.
func (l *Resolver) InForce(snap *state.Snapshot) {
	l.tables.Want(tables.Wanted{Version: snap.Version, Tables: snap.BlockTables, Blocks: snap.Blocks})
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// renewView puts a new view in place of the last one when an input changed.
func (l *Resolver) renewView(now time.Time) {
	next := viewInputs{
		config: l.opts.Config.Load(), table: l.tables.Table(), members: l.opts.Members.Live(),
		second: now.Truncate(reportsInterval), reports: l.opts.Sites.Sum(),
	}
	if len(next.config.Shifts) > 0 {
		next.second = now.Truncate(time.Second)
	}
	if next.equal(l.last) {
		return
	}
	l.last = next
	view := lookup.NewView(l.viewInputs(next, now))
	before := l.view.Swap(view)
	if view.Tag() != before.Tag() {
		evView.Log(l.opts.Log).Uint64("version", view.Version()).Int("hosts", view.Size()).Str("tag", view.TagText()).Send()
	}
}

func (a viewInputs) equal(b viewInputs) bool {
	same := a.config == b.config && a.table == b.table && a.second.Equal(b.second) && a.reports == b.reports
	return same && slices.Equal(a.members, b.members)
}

func (l *Resolver) viewInputs(from viewInputs, now time.Time) lookup.Inputs {
	in := lookup.Inputs{
		Version: from.config.Version, Table: from.table,
		Placements: from.config.Placements, Shifts: from.config.Shifts,
		Weights:    l.opts.Sites.Weights(from.config, from.members),
		Latency:    lookup.Latencies{Settings: l.latencies, Measured: l.opts.Sites.Latencies(from.members)}.Between,
		ShiftShare: shiftShareAt(now),
		Previous:   l.view.Load(),
	}
	for name := range from.config.Services {
		in.Services = append(in.Services, name)
	}
	for _, m := range from.members {
		if m.ForwardAddr != "" && !from.config.LeavingHosts[m.Host] {
			in.Hosts = append(in.Hosts, entryHost(m))
		}
	}
	return in
}

func entryHost(m membership.Member) lookup.Host {
	return lookup.Host{
		Name: m.Host, Addr: m.ForwardAddr, API: m.APIAddr,
		Region: m.Region, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation,
	}
}

func shiftShareAt(now time.Time) func(*config.Shift) float64 {
	return func(s *config.Shift) float64 { return lookup.ShareAt(s, now) }
}
