package watch

import (
	"cmp"
	"slices"
	"sync"

	"quetzalknot/process/digest"
	"quetzalknot/process/membership"
	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

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
