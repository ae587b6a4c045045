// Package watch health-checks sites, measures the latency of links between regions, and
// aggregates the reports of all hosts into weights and latencies for look-ups. A site is
// the set of targets of one failure domain. A few hosts watch each site and each link and
// report what they measure to all hosts.
//
// sites.go checks the targets of the sites that are assigned to this host, links.go
// measures round-trip times to other regions, aggregate.go aggregates the reports, and
// assignments.go determines which hosts watch which site.
package watch

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/httpwire"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/membership"
	"quetzalknot/process/metrics"
	"quetzalknot/process/pause"
	"quetzalknot/process/peer"
	"quetzalknot/process/settings"
	"quetzalknot/process/sitereport"
	"quetzalknot/version/spread"
	"quetzalknot/version/state"
)

var evSite = eventlog.Define(1501, zerolog.InfoLevel, "site level reported")

const (
	// siteInterval is the mean interval between checks of a watched site.
	siteInterval = 5 * time.Second
	// siteIdleConns is the number of idle connections kept to each target.
	siteIdleConns = 1
)

// Options holds the dependencies of a Sites.
type Options struct {
	Host    settings.Host
	Config  *state.Holder
	Members *membership.Members
	Client  peer.RPCClient
	Engine  *spread.Engine
	// Dial, if not nil, replaces net.Dialer.
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Monitor measures sites and links and aggregates the reports about them. Run must be
// called at most once; the other methods are safe for concurrent use.
type Monitor struct {
	opts      Options
	reports   *sitereport.Reports
	transport *http.Transport
	watchers  siteWatchers
	// reporters and linkReporters are used only by Run.
	reporters     map[sitereport.Site]*sitereport.Reporter
	linkReporters map[sitereport.Link]*sitereport.LinkReporter
}

// New returns a Sites without reports and registers its reports as a topic of the engine.
func New(opts Options) *Monitor {
	s := &Monitor{
		opts: opts, reports: sitereport.New(time.Now),
		transport:     newTransport(opts.Dial),
		reporters:     make(map[sitereport.Site]*sitereport.Reporter),
		linkReporters: make(map[sitereport.Link]*sitereport.LinkReporter),
	}
	opts.Engine.Register(sitereport.Topic, s.reports)
	return s
}

func newTransport(dial httpwire.DialFunc) *http.Transport {
	return &http.Transport{DialContext: httpwire.Dialer(dial), MaxIdleConnsPerHost: siteIdleConns, DisableCompression: true}
}

// Sum returns a hash of all reports.
func (s *Monitor) Sum() uint64 { return s.reports.Sum() }

// Run watches the sites and links that are assigned to this host until ctx ends.
func (s *Monitor) Run(ctx context.Context) {
	for pause.For(ctx, siteInterval*3/4+rand.N(siteInterval/2)) {
		s.watchSites(ctx)
		s.watchLinks(ctx)
	}
	s.transport.CloseIdleConnections()
}

// watchSites checks each site that is assigned to this host and publishes the reports
// that are due.
func (s *Monitor) watchSites(ctx context.Context) {
	snap := s.opts.Config.Load()
	bySite := s.watchers.assign(snap, s.opts.Members.Live())
	for _, site := range s.assignedSites(bySite) {
		m := sitereport.Probe(ctx, s.transport, siteTargets(snap, site))
		if ctx.Err() != nil {
			return
		}
		s.report(site, m, bySite[site])
	}
}

// report adds a measurement of a site and publishes the resulting level if a report is due.
func (s *Monitor) report(site sitereport.Site, m sitereport.Measurement, watchers []string) {
	now := time.Now()
	r := s.reporters[site]
	if r == nil {
		r = &sitereport.Reporter{}
		if known := s.reports.About(site.Name()); len(known) > 0 {
			r.Resume(sitereport.Aggregate(known, watchers), now)
		}
		s.reporters[site] = r
	}
	level, publish := r.Observe(m, now)
	if !publish {
		return
	}
	evSite.Log(s.opts.Log).Str("site", site.Name()).Int("up", m.Up).Int("targets", m.Total).Float64("room", m.FreeShare).
		Uint8("own", level.Own).Uint8("other", level.Other).Send()
	s.opts.Metrics.Counter("sites.published_reports").Add(1)
	s.opts.Engine.Publish(sitereport.Topic, s.reports.AddOwn(site.Name(), s.opts.Host.Name, level))
}

// assignedSites returns the sites that are assigned to this host and drops the
// reporters of all others.
func (s *Monitor) assignedSites(bySite map[sitereport.Site][]string) []sitereport.Site {
	var assigned []sitereport.Site
	for site, names := range bySite {
		if slices.Contains(names, s.opts.Host.Name) {
			assigned = append(assigned, site)
		}
	}
	for site := range s.reporters {
		if !slices.Contains(assigned, site) {
			delete(s.reporters, site)
		}
	}
	return assigned
}
