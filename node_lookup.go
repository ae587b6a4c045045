package quetzalknot

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
	"quetzalknot/process/membership"
	"quetzalknot/process/peer"
	"quetzalknot/process/settings"
	"quetzalknot/version/config"
	"quetzalknot/version/lookup"
	"quetzalknot/version/state"
	"quetzalknot/version/tables"
)

var (
	evLookup = eventlog.Define(2201, zerolog.InfoLevel, "look-up answered")
	evView   = eventlog.Define(2202, zerolog.InfoLevel, "look-ups use a new view")
)

// viewInterval is the time between two checks for new inputs of the look-ups.
const viewInterval = 200 * time.Millisecond

// reportsInterval is how often the view is made again for reports that grow old.
const reportsInterval = 10 * time.Second

// lookups is the part of a node that answers look-ups.
type lookups struct {
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

// setUpLookups makes the parts without starting them.
func (n *Node) setUpLookups(caller peer.Caller) {
	n.lookups.tables = tables.New(tables.Options{
		Objects: n.platform.Objects, Caller: caller, Peers: n.tablePeers, Metrics: n.metrics, Log: n.log,
	})
	n.lookups.view.Store(lookup.NewView(lookup.Inputs{}))
	n.lookups.changed = make(chan struct{}, 1)
	n.lookups.unready = n.lookupsUnready
	n.lookups.limits = newCallerLimits(n.settings.Lookup.PerCaller)
	n.lookups.latencies = configuredLatencies(n.settings.Lookup)
	n.metrics.Gauge("lookup.entry_hosts", func() int64 { return int64(n.lookups.view.Load().Size()) })
}

func configuredLatencies(s settings.Lookup) map[lookup.Pair]time.Duration {
	latencies := make(map[lookup.Pair]time.Duration, len(s.Latencies))
	for _, l := range s.Latencies {
		latencies[lookup.Pair{From: l.From, To: l.To}] = time.Duration(l.OneWayMS * float64(time.Millisecond))
	}
	return latencies
}

// tablePeers returns other hosts in random order, those of this region first.
func (n *Node) tablePeers() []string {
	members := slices.Clone(n.members.Live())
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b membership.Member) int {
		return n.distance(a) - n.distance(b)
	})
	var addrs []string
	for _, m := range members {
		if m.Host != n.settings.Host.Name {
			addrs = append(addrs, m.PeerAddr)
		}
	}
	return addrs
}

func (n *Node) distance(m membership.Member) int {
	if m.Region == n.settings.Host.Region {
		return 0
	}
	return 1
}

// tableGrace is how long after its start a host refuses look-ups for want of the
// block table. Later it answers without, since no other host may be better off.
const tableGrace = 30 * time.Second

// lookupsUnready returns why this host can't answer look-ups yet, or "". A host
// that does not have the state yet must not say that a service is unknown, nor
// send callers to far regions while its block table is on its way.
func (n *Node) lookupsUnready() string {
	switch {
	case n.lookups.view.Load().Version() > 0 && n.lookups.tables.Loaded():
		return ""
	case !n.engine.Whole():
		return "the state is not loaded yet"
	case n.Version() > 0 && time.Since(n.lookups.started) < tableGrace:
		return "the block table is not loaded yet"
	default:
		return ""
	}
}

// startLookups begins to load tables and to renew the view.
func (n *Node) startLookups(ctx context.Context) {
	n.lookups.started = time.Now()
	n.loops.Go(func() { n.lookups.tables.Run(ctx) })
	n.loops.Go(func() { n.viewLoop(ctx) })
}

func (n *Node) viewLoop(ctx context.Context) {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		n.renewView(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.lookups.changed:
		}
	}
}

// configChanged makes the look-ups follow a new configuration version at once.
func (l *lookups) configChanged() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// renewView puts a new view in place of the last one when an input changed.
func (n *Node) renewView(now time.Time) {
	next := viewInputs{
		config: n.config.Load(), table: n.lookups.tables.Table(), members: n.members.Live(),
		second: now.Truncate(reportsInterval), reports: n.sites.reports.Sum(),
	}
	if len(next.config.Shifts) > 0 {
		next.second = now.Truncate(time.Second)
	}
	if next.equal(n.lookups.last) {
		return
	}
	n.lookups.last = next
	view := lookup.NewView(n.viewInputs(next, now))
	before := n.lookups.view.Swap(view)
	if view.Tag() != before.Tag() {
		evView.Log(n.log).Uint64("version", view.Version()).Int("hosts", view.Size()).Str("tag", view.TagText()).Send()
	}
}

func (a viewInputs) equal(b viewInputs) bool {
	same := a.config == b.config && a.table == b.table && a.second.Equal(b.second) && a.reports == b.reports
	return same && slices.Equal(a.members, b.members)
}

func (n *Node) viewInputs(from viewInputs, now time.Time) lookup.Inputs {
	in := lookup.Inputs{
		Version: from.config.Version, Table: from.table,
		Placements: from.config.Placements, Shifts: from.config.Shifts,
		Weights:    n.regionWeights(from.config, from.members),
		Latency:    lookup.Latencies{Settings: n.lookups.latencies, Measured: n.measuredLatencies(from.members)}.Between,
		ShiftShare: shiftShareAt(now),
		Previous:   n.lookups.view.Load(),
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
