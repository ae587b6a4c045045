package sitereport

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// WatcherCount is the number of hosts that watch each site or link.
const WatcherCount = 3

// Host is a member that can watch sites.
type Host struct {
	Name          string
	Region        string
	FailureDomain string
}

// Site identifies the set of targets of one failure domain.
type Site struct {
	Region        string
	FailureDomain string
}

// Name returns the name of the site in reports.
func (s Site) Name() string { return s.Region + "/" + s.FailureDomain }

// WatchersOf returns the hosts that watch a site, chosen by rendezvous hashing: one of
// the site's failure domain, one of another failure domain of its region and one of
// another region, so that a fault of one failure domain or region cannot suppress or
// falsify all reports. Where a scope has no host, any other host takes its place.
func WatchersOf(site Site, hosts []Host) []string {
	scopes := [WatcherCount]func(h Host) bool{
		func(h Host) bool { return h.FailureDomain == site.FailureDomain },
		func(h Host) bool { return h.Region == site.Region && h.FailureDomain != site.FailureDomain },
		func(h Host) bool { return h.Region != site.Region },
	}
	var chosen []string
	for i, inScope := range scopes {
		notChosen := func(h Host) bool { return !slices.Contains(chosen, h.Name) }
		name := highestScore(site, i, hosts, func(h Host) bool { return notChosen(h) && inScope(h) })
		if name == "" {
			name = highestScore(site, i, hosts, notChosen)
		}
		if name != "" {
			chosen = append(chosen, name)
		}
	}
	return chosen
}

// highestScore returns the name of the eligible host with the highest rendezvous-hash
// score, or "" if no host is eligible.
func highestScore(site Site, scope int, hosts []Host, eligible func(Host) bool) string {
	seed := xxhash.Sum64String(strconv.Itoa(scope) + site.Name())
	var name string
	var best uint64
	for _, h := range hosts {
		if score := mixBits(seed ^ xxhash.Sum64String(h.Name)); eligible(h) && (name == "" || score > best) {
			name, best = h.Name, score
		}
	}
	return name
}

// Level is the share of the offered callers that a site or region accepts, from 0 for
// none to Full for all.
type Level struct {
	// Own applies to callers that are nearest to the site, Other to all other callers.
	Own   uint8
	Other uint8
}

// Full is the level of a site that accepts all callers.
const Full = 255

// Aggregate aggregates the reports about a site into one level. It uses only reports of
// the site's watchers that are not older than MaxReportAge.
//
// With three reports, Own and Other are each the median, which a single wrong report
// cannot raise above both others. With two, Own is the higher and Other the lower
// value, so that own callers are turned away only as far as both reports agree. With
// one, Own is the reported value and Other is 0. Without reports, Own is Full and
// Other is 0.
func Aggregate(reports []Report, watchers []string) Level {
	var own, other []uint8
	for _, r := range reports {
		fromWatcher := slices.ContainsFunc(watchers, func(name string) bool { return IDOf(name) == r.Reporter })
		if fromWatcher && time.Duration(r.AgeMS)*time.Millisecond <= MaxReportAge {
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

// CombineSites returns the level of a region: the highest Own and the highest Other of its
// sites. Without sites it returns the same level as Aggregate without reports.
func CombineSites(sites []Level) Level {
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
