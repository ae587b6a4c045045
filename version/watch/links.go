package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
	"quetzalknot/process/membership"
	"quetzalknot/process/sitereport"
	"quetzalknot/version/tables"
)

var evLink = eventlog.Define(1502, zerolog.InfoLevel, "latency to a region reported")

// linkTimeout bounds one latency measurement.
const linkTimeout = 2 * time.Second

// membersByRegion groups the members by region.
func membersByRegion(members []membership.Member) map[string][]membership.Member {
	byRegion := make(map[string][]membership.Member)
	for _, m := range members {
		byRegion[m.Region] = append(byRegion[m.Region], m)
	}
	return byRegion
}

// watchLinks measures the latency to the regions that are assigned to this host.
func (s *Monitor) watchLinks(ctx context.Context) {
	members := s.opts.Members.Live()
	hosts := reportHosts(members)
	for region, candidates := range membersByRegion(members) {
		link := sitereport.Link{From: s.opts.Host.Region, To: region}
		if link.From == link.To || !slices.Contains(sitereport.LinkWatchersOf(link, hosts), s.opts.Host.Name) {
			delete(s.linkReporters, link)
			continue
		}
		if rtt, ok := s.roundTrip(ctx, candidates[rand.IntN(len(candidates))]); ok {
			s.reportLink(link, rtt)
		}
	}
}

// roundTrip returns the round-trip time of a call to another host. It makes two calls and
// ignores the time of the first, which may include opening the connection.
func (s *Monitor) roundTrip(ctx context.Context, to membership.Member) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	var took time.Duration
	for range 2 {
		began := time.Now()
		if err := s.opts.Client.Call(ctx, to.PeerAddr, tables.ServiceName+".Ping", &tables.PingArgs{}, &tables.PingReply{}); err != nil {
			return 0, false
		}
		took = time.Since(began)
	}
	return took, true
}

// reportLink adds a measurement of a link and publishes the resulting level if a report is
// due.
func (s *Monitor) reportLink(link sitereport.Link, rtt time.Duration) {
	r := s.linkReporters[link]
	if r == nil {
		r = &sitereport.LinkReporter{}
		s.linkReporters[link] = r
	}
	level, publish := r.Observe(rtt, time.Now())
	if !publish {
		return
	}
	evLink.Log(s.opts.Log).Str("from", link.From).Str("to", link.To).Dur("one_way_ms", sitereport.LatencyOf(level)).Send()
	s.opts.Metrics.Counter("sites.published_reports").Add(1)
	s.opts.Engine.Publish(sitereport.Topic, s.reports.AddOwn(link.Name(), s.opts.Host.Name, sitereport.Level{Own: level}))
}
