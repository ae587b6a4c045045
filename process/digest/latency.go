package digest

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// latencyUnit is the latency of level 0.
	latencyUnit = 50 * time.Microsecond
	// levelsPerDouble is how many levels a doubled latency rises by.
	levelsPerDouble = 8
	// latencySlack is by how many levels a latency must change to be published.
	latencySlack = 3
	// latencySamples is how many measurements the least one is taken of.
	latencySamples = 12
)

// Link is the way from one region to another.
type Link struct {
	From string
	To   string
}

// Name returns the name under which reports about the link spread.
func (l Link) Name() string { return l.From + ">" + l.To }

// LinkWatchersOf returns the hosts of the first region that measure a link.
func LinkWatchersOf(l Link, hosts []Host) []string {
	var chosen []string
	for i := range Watchers {
		seed := xxhash.Sum64String(strconv.Itoa(i) + l.Name())
		var name string
		var best uint64
		for _, h := range hosts {
			score := mix(seed ^ xxhash.Sum64String(h.Name))
			if h.Region == l.From && !slices.Contains(chosen, h.Name) && (name == "" || score > best) {
				name, best = h.Name, score
			}
		}
		if name != "" {
			chosen = append(chosen, name)
		}
	}
	return chosen
}

// LatencyLevel returns the level of a one-way latency; levels are 9 % apart.
func LatencyLevel(d time.Duration) uint8 {
	if d <= latencyUnit {
		return 0
	}
	level := levelsPerDouble * math.Log2(float64(d)/float64(latencyUnit))
	return uint8(min(math.Round(level), math.MaxUint8))
}

// LatencyOf returns the latency of a level.
func LatencyOf(level uint8) time.Duration {
	return time.Duration(float64(latencyUnit) * math.Exp2(float64(level)/levelsPerDouble))
}

// LinkReporter turns round trips over one link into reports. Its zero value knows
// nothing; it is not safe for concurrent use.
type LinkReporter struct {
	samples   []time.Duration
	level     uint8
	published time.Time
}

// Next takes in a round trip and returns the level of the one-way latency, and
// whether to publish it. The least of the last samples counts, since load on the
// hosts only ever adds to it.
func (r *LinkReporter) Next(roundTrip time.Duration, now time.Time) (level uint8, publish bool) {
	r.samples = append(r.samples, roundTrip)
	r.samples = r.samples[max(0, len(r.samples)-latencySamples):]
	next := LatencyLevel(slices.Min(r.samples) / 2)
	change := max(next, r.level) - min(next, r.level)
	if r.published.IsZero() || change >= latencySlack || now.Sub(r.published) >= RepeatEvery {
		r.level, r.published = next, now
		return next, true
	}
	return r.level, false
}

// SettleLink returns the latency that fresh reports of the watchers of a link
// agree on: the middle of three, the longer of two. One report alone, which
// could be wrong, does not replace the settings.
func SettleLink(reports []Report, watchers []string) (latency time.Duration, ok bool) {
	var levels []uint8
	for _, r := range reports {
		known := slices.ContainsFunc(watchers, func(name string) bool { return IDOf(name) == r.Reporter })
		if known && time.Duration(r.AgeMS)*time.Millisecond <= MaxAge {
			levels = append(levels, r.Own)
		}
	}
	if len(levels) < 2 {
		return 0, false
	}
	slices.Sort(levels)
	return LatencyOf(levels[len(levels)/2]), true
}
