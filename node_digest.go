package quetzalknot

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/digest"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/membership"
	"quetzalknot/process/pause"
	"quetzalknot/version/config"
	"quetzalknot/version/lookup"
	"quetzalknot/version/state"
)

var evSite = eventlog.Define(1501, zerolog.InfoLevel, "site level reported")

const (
	// siteInterval is the mean time between two checks of a watched site.
	siteInterval = 5 * time.Second
	// siteIdleConns is how many idle connections to each target are kept for checks.
	siteIdleConns = 1
)

// sites is the part of a node that watches sites and settles reports about them.
type sites struct {
	reports   *digest.Reports
	transport *http.Transport
	watchers  watchers
	// reporters belong to the watch loop.
	reporters map[digest.Site]*digest.Reporter
}

// watchers remembers which hosts watch which site while nothing changes.
type watchers struct {
	mu     sync.Mutex
	from   dutyInputs
	bySite map[digest.Site][]string
}

// dutyInputs are what the duties follow from.
type dutyInputs struct {
	config  *state.Snapshot
	members []membership.Member
}

func (n *Node) setUpSites(dial Dial) {
	n.sites.reports = digest.New(time.Now)
	n.sites.transport = &http.Transport{DialContext: dial, MaxIdleConnsPerHost: siteIdleConns, DisableCompression: true}
	n.sites.reporters = make(map[digest.Site]*digest.Reporter)
	n.linkReports.reporters = make(map[digest.Link]*digest.LinkReporter)
	n.engine.Register(digest.Topic, n.sites.reports)
}

// startSites begins to watch the sites that this host has the duty for.
func (n *Node) startSites(ctx context.Context) {
	if !n.settings.Roles.Watch {
		return
	}
	n.loops.Go(func() {
		for pause.For(ctx, siteInterval*3/4+rand.N(siteInterval/2)) {
			n.watchSites(ctx)
			n.watchLinks(ctx)
		}
		n.sites.transport.CloseIdleConnections()
	})
}

// watchSites checks each site of this host's duties and publishes what changed.
func (n *Node) watchSites(ctx context.Context) {
	snap := n.config.Load()
	bySite := n.sites.watchers.of(snap, n.members.Live())
	for _, site := range n.duties(bySite) {
		m := digest.Probe(ctx, n.sites.transport, siteTargets(snap, site))
		if ctx.Err() != nil {
			return
		}
		n.report(site, m, bySite[site])
	}
}

func (n *Node) report(site digest.Site, m digest.Measurement, watchers []string) {
	now := time.Now()
	r := n.sites.reporters[site]
	if r == nil {
		r = &digest.Reporter{}
		if known := n.sites.reports.About(site.Name()); len(known) > 0 {
			r.Resume(digest.Settle(known, watchers), now)
		}
		n.sites.reporters[site] = r
	}
	level, publish := r.Next(m, now)
	if !publish {
		return
	}
	evSite.Log(n.log).Str("site", site.Name()).Int("up", m.Up).Int("targets", m.Total).Float64("room", m.Room).
		Uint8("own", level.Own).Uint8("other", level.Other).Send()
	n.metrics.Counter("sites.published_reports").Add(1)
	n.engine.Publish(digest.Topic, n.sites.reports.Own(site.Name(), n.settings.Host.Name, level))
}

// duties returns the sites that this host watches and forgets the others.
func (n *Node) duties(bySite map[digest.Site][]string) []digest.Site {
	var mine []digest.Site
	for site, names := range bySite {
		if slices.Contains(names, n.settings.Host.Name) {
			mine = append(mine, site)
		}
	}
	for site := range n.sites.reporters {
		if !slices.Contains(mine, site) {
			delete(n.sites.reporters, site)
		}
	}
	return mine
}

// of returns the hosts that watch each site.
func (w *watchers) of(snap *state.Snapshot, members []membership.Member) map[digest.Site][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bySite != nil && w.from.config == snap && slices.Equal(w.from.members, members) {
		return w.bySite
	}
	hosts := watchHosts(members)
	w.from = dutyInputs{config: snap, members: members}
	w.bySite = make(map[digest.Site][]string)
	for _, site := range sitesOf(snap) {
		w.bySite[site] = digest.WatchersOf(site, hosts)
	}
	return w.bySite
}

func watchHosts(members []membership.Member) []digest.Host {
	hosts := make([]digest.Host, len(members))
	for i, m := range members {
		hosts[i] = digest.Host{Name: m.Host, Region: m.Region, FailureDomain: m.FailureDomain}
	}
	return hosts
}

// sitesOf returns the places of all targets in order.
func sitesOf(snap *state.Snapshot) []digest.Site {
	seen := make(map[digest.Site]bool)
	for _, s := range snap.Services {
		for _, t := range s.Targets {
			seen[digest.Site{Region: t.Region, FailureDomain: t.FailureDomain}] = true
		}
	}
	all := make([]digest.Site, 0, len(seen))
	for site := range seen {
		all = append(all, site)
	}
	slices.SortFunc(all, func(a, b digest.Site) int { return cmp.Compare(a.Name(), b.Name()) })
	return all
}

// siteTargets returns the targets of a site that do not leave, in an order that
// mixes the services.
func siteTargets(snap *state.Snapshot, site digest.Site) []digest.Target {
	var targets []digest.Target
	for _, s := range snap.Services {
		for _, t := range s.Targets {
			in := digest.Site{Region: t.Region, FailureDomain: t.FailureDomain} == site
			if in && !snap.LeavingTargets[state.TargetKey{Service: s.Name, Target: t.Name}] {
				targets = append(targets, digest.Target{
					Addr: t.Addr, Slots: t.Slots,
					HealthPath: cmp.Or(s.HealthPath, config.DefaultHealthPath),
					LoadPath:   cmp.Or(s.LoadPath, config.DefaultLoadPath),
				})
			}
		}
	}
	slices.SortFunc(targets, func(a, b digest.Target) int {
		return cmp.Or(cmp.Compare(digest.IDOf(a.Addr), digest.IDOf(b.Addr)), cmp.Compare(a.Addr, b.Addr))
	})
	return targets
}

// regionWeights settles the reports about all sites into weights of regions.
func (n *Node) regionWeights(snap *state.Snapshot, members []membership.Member) map[string]lookup.Weight {
	levels := make(map[string][]digest.Level)
	for site, watchers := range n.sites.watchers.of(snap, members) {
		level := digest.Settle(n.sites.reports.About(site.Name()), watchers)
		levels[site.Region] = append(levels[site.Region], level)
	}
	weights := make(map[string]lookup.Weight, len(levels))
	for region, all := range levels {
		l := digest.Combine(all)
		weights[region] = lookup.Weight{Own: l.Own, Other: l.Other}
	}
	return weights
}
