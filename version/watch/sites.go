// Package watch measures sites and the ways between regions, and settles what the
// hosts report of them into weights and latencies for the look-ups.
//
// sites.go checks the targets of the sites that this host watches, links.go times
// calls to other regions, settle.go settles the reports,
// duties.go says which host watches what.
package watch

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/digest"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/membership"
	"quetzalknot/process/metrics"
	"quetzalknot/process/pause"
	"quetzalknot/process/peer"
	"quetzalknot/process/settings"
	"quetzalknot/version/spread"
	"quetzalknot/version/state"
)

var evSite = eventlog.Define(1501, zerolog.InfoLevel, "site level reported")

const (
	// siteInterval is the mean time between two checks of a watched site.
	siteInterval = 5 * time.Second
	// siteIdleConns is how many idle connections to each target are kept for checks.
	siteIdleConns = 1
)

// Options are what a Sites needs.
type Options struct {
	Host    settings.Host
	Config  *state.Holder
	Members *membership.Members
	Caller  peer.Caller
	Engine  *spread.Engine
	// Dial replaces net.Dialer. May be nil.
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Sites watches sites and links, and settles reports about them. Run must be called
// once at most; the other methods are safe for concurrent use.
type Sites struct {
	opts      Options
	reports   *digest.Reports
	transport *http.Transport
	watchers  watchers
	// reporters and linkReporters belong to Run.
	reporters     map[digest.Site]*digest.Reporter
	linkReporters map[digest.Link]*digest.LinkReporter
}

// New returns a Sites without reports, and registers them with the engine.
func New(opts Options) *Sites {
	s := &Sites{
		opts: opts, reports: digest.New(time.Now),
		transport:     &http.Transport{DialContext: opts.Dial, MaxIdleConnsPerHost: siteIdleConns, DisableCompression: true},
		reporters:     make(map[digest.Site]*digest.Reporter),
		linkReporters: make(map[digest.Link]*digest.LinkReporter),
	}
	opts.Engine.Register(digest.Topic, s.reports)
	return s
}

// Sum returns a hash of all reports.
func (s *Sites) Sum() uint64 { return s.reports.Sum() }

// Run watches what this host has the duty for, until ctx ends.
func (s *Sites) Run(ctx context.Context) {
	for pause.For(ctx, siteInterval*3/4+rand.N(siteInterval/2)) {
		s.watchSites(ctx)
		s.watchLinks(ctx)
	}
	s.transport.CloseIdleConnections()
}

// watchSites checks each site of this host's duties and publishes what changed.
func (s *Sites) watchSites(ctx context.Context) {
	snap := s.opts.Config.Load()
	bySite := s.watchers.of(snap, s.opts.Members.Live())
	for _, site := range s.duties(bySite) {
		m := digest.Probe(ctx, s.transport, siteTargets(snap, site))
		if ctx.Err() != nil {
			return
		}
		s.report(site, m, bySite[site])
	}
}

func (s *Sites) report(site digest.Site, m digest.Measurement, watchers []string) {
	now := time.Now()
	r := s.reporters[site]
	if r == nil {
		r = &digest.Reporter{}
		if known := s.reports.About(site.Name()); len(known) > 0 {
			r.Resume(digest.Settle(known, watchers), now)
		}
		s.reporters[site] = r
	}
	level, publish := r.Next(m, now)
	if !publish {
		return
	}
	evSite.Log(s.opts.Log).Str("site", site.Name()).Int("up", m.Up).Int("targets", m.Total).Float64("room", m.Room).
		Uint8("own", level.Own).Uint8("other", level.Other).Send()
	s.opts.Metrics.Counter("sites.published_reports").Add(1)
	s.opts.Engine.Publish(digest.Topic, s.reports.Own(site.Name(), s.opts.Host.Name, level))
}

// duties returns the sites that this host watches and forgets the others.
func (s *Sites) duties(bySite map[digest.Site][]string) []digest.Site {
	var mine []digest.Site
	for site, names := range bySite {
		if slices.Contains(names, s.opts.Host.Name) {
			mine = append(mine, site)
		}
	}
	for site := range s.reporters {
		if !slices.Contains(mine, site) {
			delete(s.reporters, site)
		}
	}
	return mine
}
