package lookup

import (
	"time"

	"quetzalknot/version/config"
)

// Latencies of pairs of regions that are neither measured nor configured.
const (
	defaultLatencyWithin  = time.Millisecond
	defaultLatencyBetween = 35 * time.Millisecond
)

// RegionPair is an ordered pair of regions.
type RegionPair struct{ From, To string }

// Latencies holds one-way latencies between regions: those that operators configured,
// and recent measurements, which take precedence.
type Latencies struct {
	// Configured are the configured latencies. Each applies to both directions.
	Configured map[RegionPair]time.Duration
	// Measured are measured latencies, which take precedence over Configured.
	// Measurements that are too old must be left out.
	Measured map[RegionPair]time.Duration
}

// Between returns the one-way latency between two regions.
func (l Latencies) Between(from, to string) time.Duration {
	if d, ok := l.Measured[RegionPair{from, to}]; ok {
		return d
	}
	if d, ok := l.Configured[RegionPair{from, to}]; ok {
		return d
	}
	if d, ok := l.Configured[RegionPair{to, from}]; ok {
		return d
	}
	if from == to {
		return defaultLatencyWithin
	}
	return defaultLatencyBetween
}

// ShareAt returns the share that a shift moves at the given time. The time is truncated
// to seconds so that hosts with slightly different clocks mostly agree. A shift with a
// rate but no start has share 0 here, because only each forwarding host records when
// such a shift began.
func ShareAt(s *config.Shift, now time.Time) float64 {
	now = now.Truncate(time.Second)
	switch {
	case !s.End.IsZero() && !now.Before(s.End):
		return 0
	case s.RatePerSecond == 0 && (s.Start.IsZero() || !now.Before(s.Start)):
		return s.Share
	case s.Start.IsZero() || now.Before(s.Start):
		return 0
	}
	return min(s.Share, s.RatePerSecond*now.Sub(s.Start).Seconds())
}
