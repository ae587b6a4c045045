// Package resolver serves look-ups, by which callers find the entry hosts to use.
//
// resolver.go updates the view from which look-ups are answered, handlers.go serves the HTTP
// calls, and limits.go limits their rate per address.
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

// viewInterval is the time between checks for changed inputs of the view.
const viewInterval = 200 * time.Millisecond

// reportsRefreshInterval is the interval at which the view is rebuilt even without a change,
// since reports about sites expire.
const reportsRefreshInterval = 10 * time.Second

// Keys provides the prefixes of idempotency keys.
type Keys interface {
	// Prefix returns the prefix of the keys that an entry host's process accepts, or "".
	Prefix(h lookup.Host) string
	// Period identifies the period in which callers may use the key prefixes of a
	// cached answer for new keys. It is part of the entity tag.
	Period() string
}

// Options are the dependencies of a Resolver.
type Options struct {
	Settings *settings.Settings
	Objects  platform.Objects
	Config   *state.Holder
	Members  *membership.Members
	Client   peer.RPCClient
	Sites    *watch.Monitor
	Keys     Keys
	// HasAllTickets reports whether this host has all tickets that had been accepted when it started.
	HasAllTickets func() bool
	// UpToDate reports whether this host's configuration is known to be the newest.
	UpToDate func() bool
	Metrics  *metrics.Set
	Log      zerolog.Logger
}

// Resolver serves look-ups. It is safe for concurrent use.
type Resolver struct {
	opts      Options
	tables    *tables.Loader
	view      atomic.Pointer[lookup.View]
	limits    *callerLimits
	latencies map[lookup.RegionPair]time.Duration
	// unreadyReason returns why look-ups cannot be answered yet, or "".
	unreadyReason func() string
	started       time.Time
	// discovered is true once the view was made from members among which the other hosts
	// had been discovered.
	discovered atomic.Bool
	lastInputs viewInputs
	// configChanged wakes viewLoop when a new configuration version is in force.
	configChanged chan struct{}
}

// viewInputs are the inputs of a view; the view is rebuilt when they change.
type viewInputs struct {
	config  *state.Snapshot
	table   *lookup.Table
	members []membership.Member
	// timeStep is the current time, truncated to a second while shifts are in force and
	// to reportsRefreshInterval otherwise, since reports about sites expire.
	timeStep time.Time
	// reportsSum is a hash of the reports about sites.
	reportsSum uint64
}

// New returns a resolver with an empty view.
func New(opts Options) *Resolver {
	l := &Resolver{
		opts: opts, configChanged: make(chan struct{}, 1), limits: newCallerLimits(opts.Settings.Lookup.PerCaller),
		latencies: configuredLatencies(opts.Settings.Lookup),
	}
	l.tables = tables.New(tables.Options{
		Objects: opts.Objects, Client: opts.Client, Peers: l.tablePeers, Metrics: opts.Metrics, Log: opts.Log,
	})
	l.view.Store(lookup.NewView(lookup.Inputs{}))
	l.unreadyReason = l.notLoadedReason
	opts.Metrics.Gauge("lookup.entry_hosts", func() int64 { return int64(l.view.Load().HostCount()) })
	return l
}

// Register adds the service by which other hosts read tables.
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

func configuredLatencies(s settings.Lookup) map[lookup.RegionPair]time.Duration {
	latencies := make(map[lookup.RegionPair]time.Duration, len(s.Latencies))
	for _, l := range s.Latencies {
		latencies[lookup.RegionPair{From: l.From, To: l.To}] = time.Duration(l.OneWayMS * float64(time.Millisecond))
	}
	return latencies
}

// tablePeers returns the peer addresses of other hosts in random order, but those of this
// region first.
func (l *Resolver) tablePeers() []string {
	members := slices.Clone(l.opts.Members.Live())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b membership.Member) int {
		return l.regionDistance(a) - l.regionDistance(b)
	})
	var addrs []string
	for _, m := range members {
		if m.Host != l.opts.Settings.Host.Name {
			addrs = append(addrs, m.PeerAddr)
		}
	}
	return addrs
}

func (l *Resolver) regionDistance(m membership.Member) int {
	if m.Region == l.opts.Settings.Host.Region {
		return 0
	}
	return 1
}

// tableGracePeriod is the time after its start for which a host answers no look-ups while the
// block table is not loaded. Later it answers without the table, since other hosts may not
// have it either.
const tableGracePeriod = 30 * time.Second

// notLoadedReason returns why this host cannot answer look-ups yet, or "". A host that has not
// loaded the state must not answer, nor send callers to distant regions while its block
// table is being loaded. A host that has not discovered the others must not name itself
// alone, since callers cache the answer and need another host when the first fails. A host
// whose state is no longer up to date answers for the services that it knows; see
// unknownService for the others.
func (l *Resolver) notLoadedReason() string {
	switch {
	case !l.discovered.Load():
		return "the other hosts are not discovered yet"
	case l.view.Load().Version() > 0 && l.tables.Loaded():
		return ""
	case !l.opts.HasAllTickets():
		return "the state is not loaded yet"
	case l.opts.Config.Load().Version > 0 && time.Since(l.started) < tableGracePeriod:
		return "the block table is not loaded yet"
	default:
		return ""
	}
}

// Run loads tables and updates the view until ctx is cancelled.
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
		case <-l.configChanged:
		}
	}
}

// ApplyConfig applies a new configuration version to look-ups without delay.
func (l *Resolver) ApplyConfig(snap *state.Snapshot) {
	l.tables.SetDesired(tables.DesiredState{Version: snap.Version, Tables: snap.BlockTables, Blocks: snap.Blocks})
	select {
	case l.configChanged <- struct{}{}:
	default:
	}
}

// renewView replaces the view if an input changed.
func (l *Resolver) renewView(now time.Time) {
	discovered := l.opts.Members.Discovered() // asked before the members that it speaks of are read
	defer func() { l.discovered.Store(discovered) }()
	next := viewInputs{
		config: l.opts.Config.Load(), table: l.tables.Table(), members: l.opts.Members.Live(),
		timeStep: now.Truncate(reportsRefreshInterval), reportsSum: l.opts.Sites.Sum(),
	}
	if len(next.config.Shifts) > 0 {
		next.timeStep = now.Truncate(time.Second)
	}
	if next.equal(l.lastInputs) {
		return
	}
	l.lastInputs = next
	view := lookup.NewView(l.lookupInputs(next, now))
	previous := l.view.Swap(view)
	if view.Tag() != previous.Tag() {
		evView.Log(l.opts.Log).Uint64("version", view.Version()).Int("hosts", view.HostCount()).Str("tag", view.TagText()).Send()
	}
}

func (a viewInputs) equal(b viewInputs) bool {
	same := a.config == b.config && a.table == b.table && a.timeStep.Equal(b.timeStep) && a.reportsSum == b.reportsSum
	return same && slices.Equal(a.members, b.members)
}

func (l *Resolver) lookupInputs(from viewInputs, now time.Time) lookup.Inputs {
	in := lookup.Inputs{
		Version: from.config.Version, Table: from.table,
		Placements: from.config.Placements, Shifts: from.config.Shifts,
		Weights:    l.opts.Sites.Weights(from.config, from.members),
		Latency:    lookup.Latencies{Configured: l.latencies, Measured: l.opts.Sites.Latencies(from.members)}.Between,
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
