package watch

import (
	"time"

	"quetzalknot/process/membership"
	"quetzalknot/process/sitereport"
	"quetzalknot/version/lookup"
	"quetzalknot/version/state"
)

// Weights aggregates the reports about all sites into weights of regions.
func (s *Monitor) Weights(snap *state.Snapshot, members []membership.Member) map[string]lookup.Weight {
	levels := make(map[string][]sitereport.Level)
	for site, watchers := range s.watchers.assign(snap, members) {
		level := sitereport.Aggregate(s.reports.About(site.Name()), watchers)
		levels[site.Region] = append(levels[site.Region], level)
	}
	weights := make(map[string]lookup.Weight, len(levels))
	for region, all := range levels {
		l := sitereport.CombineSites(all)
		weights[region] = lookup.Weight{Own: l.Own, Other: l.Other}
	}
	return weights
}

// Latencies returns the latencies between regions on which enough recent reports agree.
func (s *Monitor) Latencies(members []membership.Member) map[lookup.RegionPair]time.Duration {
	measured := make(map[lookup.RegionPair]time.Duration)
	hosts := reportHosts(members)
	byRegion := membersByRegion(members)
	for from := range byRegion {
		for to := range byRegion {
			link := sitereport.Link{From: from, To: to}
			reports := s.reports.About(link.Name())
			if from == to || len(reports) == 0 {
				continue
			}
			if latency, ok := sitereport.AggregateLink(reports, sitereport.LinkWatchersOf(link, hosts)); ok {
				measured[lookup.RegionPair{From: from, To: to}] = latency
			}
		}
	}
	return measured
}
