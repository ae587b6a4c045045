package digest

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Watchers is how many hosts watch each site.
const Watchers = 3

// Host is a member that can watch sites.
type Host struct {
	Name          string
	Region        string
	FailureDomain string
}

// Site is the targets of one failure domain.
type Site struct {
	Region        string
	FailureDomain string
}

// Name returns the name under which reports about the site spread.
func (s Site) Name() string { return s.Region + "/" + s.FailureDomain }

// WatchersOf returns the hosts that watch a site, in the order of a rendezvous
// hash: one of the site's failure domain, one of its region and one of another
// region where there are such, so that no fault of one place silences or
// falsifies all of them.
func WatchersOf(site Site, hosts []Host) []string {
	scopes := [Watchers]func(h Host) bool{
		func(h Host) bool { return h.FailureDomain == site.FailureDomain },
		func(h Host) bool { return h.Region == site.Region && h.FailureDomain != site.FailureDomain },
		func(h Host) bool { return h.Region != site.Region },
	}
	var chosen []string
	for i, in := range scopes {
		free := func(h Host) bool { return !slices.Contains(chosen, h.Name) }
		name := first(site, i, hosts, func(h Host) bool { return free(h) && in(h) })
		if name == "" {
			name = first(site, i, hosts, free)
		}
		if name != "" {
			chosen = append(chosen, name)
		}
	}
	return chosen
}

// first returns the eligible host with the highest rendezvous score, or "".
func first(site Site, scope int, hosts []Host, eligible func(Host) bool) string {
	seed := xxhash.Sum64String(strconv.Itoa(scope) + site.Name())
	var name string
	var best uint64
	for _, h := range hosts {
		if score := mix(seed ^ xxhash.Sum64String(h.Name)); eligible(h) && (name == "" || score > best) {
			name, best = h.Name, score
		}
	}
	return name
}

// Level is the settled state of a site or region, from 0 to Full.
type Level struct {
	// Own is for callers that are nearest to it, Other for all others.
	Own   uint8
	Other uint8
}

// Full is the level of a site that takes all it is offered.
const Full = 255

// Settle returns what reports about a site mean. Only fresh reports of hosts that
// are to watch the site count.
//
// With three, each figure is the middle one, which no single wrong report can
// raise above both others. With two, Other is the lower one; own callers are
// turned away only as far as both agree. With one or none, nobody else is
// attracted, and without reports own callers stay.
func Settle(reports []Report, watchers []string) Level {
	var own, other []uint8
	for _, r := range reports {
		known := slices.ContainsFunc(watchers, func(name string) bool { return IDOf(name) == r.Reporter })
		if known && time.Duration(r.AgeMS)*time.Millisecond <= MaxAge {
			own, other = append(own, r.Own), append(other, r.Other)
		}
	}
	slices.Sort(own)
	slices.Sort(other)
	switch len(own) {
	case 0:
		return Level{Own: Full}
	case 1:
		return Level{Own: own[0]}
	case 2:
		return Level{Own: own[1], Other: other[0]}
	default:
		return Level{Own: own[len(own)/2], Other: other[(len(other)-1)/2]}
	}
}

// Combine returns the level of a region from those of its sites: it takes
// callers as far as its best site does. Without sites it is as if unknown.
func Combine(sites []Level) Level {
	if len(sites) == 0 {
		return Level{Own: Full}
	}
	var best Level
	for _, s := range sites {
		best.Own = max(best.Own, s.Own)
		best.Other = max(best.Other, s.Other)
	}
	return best
}
