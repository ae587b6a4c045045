package quetzalknot

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/digest"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/membership"
	"quetzalknot/version/lookup"
	"quetzalknot/version/tables"
)

var evLink = eventlog.Define(1502, zerolog.InfoLevel, "latency to a region reported")

// linkTimeout bounds one measurement of a latency.
const linkTimeout = 2 * time.Second

// linkReports are the ways to other regions that this host measures.
type linkReports struct {
	// reporters belong to the watch loop.
	reporters map[digest.Link]*digest.LinkReporter
}

// regionsOf returns the members by region.
func regionsOf(members []membership.Member) map[string][]membership.Member {
	byRegion := make(map[string][]membership.Member)
	for _, m := range members {
		byRegion[m.Region] = append(byRegion[m.Region], m)
	}
	return byRegion
}

// watchLinks measures the latency to the regions that this host has the duty for.
func (n *Node) watchLinks(ctx context.Context) {
	members := n.members.Live()
	hosts := watchHosts(members)
	for region, there := range regionsOf(members) {
		link := digest.Link{From: n.settings.Host.Region, To: region}
		if link.From == link.To || !slices.Contains(digest.LinkWatchersOf(link, hosts), n.settings.Host.Name) {
			delete(n.linkReports.reporters, link)
			continue
		}
		if trip, ok := n.roundTrip(ctx, there[rand.IntN(len(there))]); ok {
			n.reportLink(link, trip)
		}
	}
}

// roundTrip times a call to another host over a connection that is open.
func (n *Node) roundTrip(ctx context.Context, to membership.Member) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	var took time.Duration
	for range 2 {
		began := time.Now()
		if err := n.clients.Call(ctx, to.PeerAddr, tables.ServiceName+".Ping", &tables.PingArgs{}, &tables.PingReply{}); err != nil {
			return 0, false
		}
		took = time.Since(began)
	}
	return took, true
}

func (n *Node) reportLink(link digest.Link, trip time.Duration) {
	r := n.linkReports.reporters[link]
	if r == nil {
		r = &digest.LinkReporter{}
		n.linkReports.reporters[link] = r
	}
	level, publish := r.Next(trip, time.Now())
	if !publish {
		return
	}
	evLink.Log(n.log).Str("from", link.From).Str("to", link.To).Dur("one_way_ms", digest.LatencyOf(level)).Send()
	n.metrics.Counter("sites.published_reports").Add(1)
	n.engine.Publish(digest.Topic, n.sites.reports.Own(link.Name(), n.settings.Host.Name, digest.Level{Own: level}))
}

// measuredLatencies returns the latencies between regions that fresh reports agree on.
func (n *Node) measuredLatencies(members []membership.Member) map[lookup.Pair]time.Duration {
	measured := make(map[lookup.Pair]time.Duration)
	hosts := watchHosts(members)
	byRegion := regionsOf(members)
	for from := range byRegion {
		for to := range byRegion {
			link := digest.Link{From: from, To: to}
			reports := n.sites.reports.About(link.Name())
			if from == to || len(reports) == 0 {
				continue
			}
			if latency, ok := digest.SettleLink(reports, digest.LinkWatchersOf(link, hosts)); ok {
				measured[lookup.Pair{From: from, To: to}] = latency
			}
		}
	}
	return measured
}
