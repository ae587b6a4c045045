package sitereport

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// baseLatency is the latency of level 0.
	baseLatency = 50 * time.Microsecond
	// levelsPerDoubling is the number of levels between a latency and its double.
	levelsPerDoubling = 8
	// minLevelChange is the smallest change of the level that is published at once.
	minLevelChange = 3
	// maxSamples is the number of recent samples whose minimum is reported.
	maxSamples = 12
)

// Link is the network path from one region to another.
type Link struct {
	From string
	To   string
}

// Name returns the name of the link in reports.
func (l Link) Name() string { return l.From + ">" + l.To }

// LinkWatchersOf returns the hosts that measure a link, chosen by rendezvous hashing
// among the hosts of its From region.
func LinkWatchersOf(l Link, hosts []Host) []string {
	var chosen []string
	for i := range WatcherCount {
		seed := xxhash.Sum64String(strconv.Itoa(i) + l.Name())
		var name string
		var best uint64
		for _, h := range hosts {
			score := mixBits(seed ^ xxhash.Sum64String(h.Name))
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

// LatencyLevel returns the level of a one-way latency. Adjacent levels differ by 9 %.
func LatencyLevel(d time.Duration) uint8 {
	if d <= baseLatency {
		return 0
	}
	level := levelsPerDoubling * math.Log2(float64(d)/float64(baseLatency))
	return uint8(min(math.Round(level), math.MaxUint8))
}

// LatencyOf returns the one-way latency of a level. It reverses LatencyLevel, except
// for rounding.
func LatencyOf(level uint8) time.Duration {
	return time.Duration(float64(baseLatency) * math.Exp2(float64(level)/levelsPerDoubling))
}

// LinkReporter turns round-trip times of one link into levels to report. The zero value
// is ready to use. It is not safe for concurrent use.
type LinkReporter struct {
	samples     []time.Duration
	level       uint8
	publishedAt time.Time
}

// Observe adds a round-trip time and returns the level of the one-way latency, and whether
// to publish it. The latency is half of the smallest recent sample, since load on the
// hosts only ever increases a sample.
func (r *LinkReporter) Observe(roundTrip time.Duration, now time.Time) (level uint8, publish bool) {
	r.samples = append(r.samples, roundTrip)
	r.samples = r.samples[max(0, len(r.samples)-maxSamples):]
	current := LatencyLevel(slices.Min(r.samples) / 2)
	change := max(current, r.level) - min(current, r.level)
	if r.publishedAt.IsZero() || change >= minLevelChange || now.Sub(r.publishedAt) >= RepublishInterval {
		r.level, r.publishedAt = current, now
		return current, true
	}
	return r.level, false
}

// AggregateLink aggregates the reports about a link into one latency: the median of three,
// or the longer of two. It uses only reports of the link's watchers that are not older
// than MaxReportAge. ok is false with fewer than two reports, since a single one could be
// wrong; the latency of the settings is used then.
func AggregateLink(reports []Report, watchers []string) (latency time.Duration, ok bool) {
	var levels []uint8
	for _, r := range reports {
		fromWatcher := slices.ContainsFunc(watchers, func(name string) bool { return IDOf(name) == r.Reporter })
		if fromWatcher && time.Duration(r.AgeMS)*time.Millisecond <= MaxReportAge {
			levels = append(levels, r.Own)
		}
	}
	if len(levels) < 2 {
		return 0, false
	}
	slices.Sort(levels)
	return LatencyOf(levels[len(levels)/2]), true
}
