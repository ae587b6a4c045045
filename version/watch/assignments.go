package watch

import (
	"cmp"
	"slices"
	"sync"

	"quetzalknot/process/membership"
	"quetzalknot/process/sitereport"
	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

// siteWatchers caches which hosts watch each site until the configuration or the
// members change.
type siteWatchers struct {
	mu     sync.Mutex
	inputs assignmentInputs
	bySite map[sitereport.Site][]string
}

// assignmentInputs holds the values from which the assignment is computed.
type assignmentInputs struct {
	config  *state.Snapshot
	members []membership.Member
}

// assign returns the names of the hosts that watch each site.
func (w *siteWatchers) assign(snap *state.Snapshot, members []membership.Member) map[sitereport.Site][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bySite != nil && w.inputs.config == snap && slices.Equal(w.inputs.members, members) {
		return w.bySite
	}
	hosts := reportHosts(members)
	w.inputs = assignmentInputs{config: snap, members: members}
	w.bySite = make(map[sitereport.Site][]string)
	for _, site := range sitesOf(snap) {
		w.bySite[site] = sitereport.WatchersOf(site, hosts)
	}
	return w.bySite
}

// reportHosts returns the members in the form in which sitereport chooses watchers.
func reportHosts(members []membership.Member) []sitereport.Host {
	hosts := make([]sitereport.Host, len(members))
	for i, m := range members {
		hosts[i] = sitereport.Host{Name: m.Host, Region: m.Region, FailureDomain: m.FailureDomain}
	}
	return hosts
}

// sitesOf returns the sites of all targets, sorted by name.
func sitesOf(snap *state.Snapshot) []sitereport.Site {
	seen := make(map[sitereport.Site]bool)
	for _, s := range snap.Services {
		for _, t := range s.Targets {
			seen[sitereport.Site{Region: t.Region, FailureDomain: t.FailureDomain}] = true
		}
	}
	all := make([]sitereport.Site, 0, len(seen))
	for site := range seen {
		all = append(all, site)
	}
	slices.SortFunc(all, func(a, b sitereport.Site) int { return cmp.Compare(a.Name(), b.Name()) })
	return all
}

// siteTargets returns the targets of a site that are not leaving, sorted by a hash of
// the address so that the targets of different services are interleaved.
func siteTargets(snap *state.Snapshot, site sitereport.Site) []sitereport.Target {
	var targets []sitereport.Target
	for _, s := range snap.Services {
		for _, t := range s.Targets {
			inSite := sitereport.Site{Region: t.Region, FailureDomain: t.FailureDomain} == site
			if inSite && !snap.LeavingTargets[state.TargetKey{Service: s.Name, Target: t.Name}] {
				targets = append(targets, sitereport.Target{
					Addr: t.Addr, Slots: t.Slots,
					HealthPath: cmp.Or(s.HealthPath, config.DefaultHealthPath),
					LoadPath:   cmp.Or(s.LoadPath, config.DefaultLoadPath),
				})
			}
		}
	}
	slices.SortFunc(targets, func(a, b sitereport.Target) int {
		return cmp.Or(cmp.Compare(sitereport.IDOf(a.Addr), sitereport.IDOf(b.Addr)), cmp.Compare(a.Addr, b.Addr))
	})
	return targets
}
