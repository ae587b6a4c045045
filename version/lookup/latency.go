package lookup

import (
	"time"

	"quetzalknot/version/config"
)

// Latencies of pairs of regions that nothing is known about.
const (
	unknownWithin  = time.Millisecond
	unknownBetween = 35 * time.Millisecond
)

// Pair is an ordered pair of regions.
type Pair struct{ From, To string }

// Latencies holds one-way latencies between regions: the settings of the
// operators, and measurements that count while they are fresh.
type Latencies struct {
	// Settings hold both ways.
	Settings map[Pair]time.Duration
	// Measured replace the settings. Stale measurements must be left out.
	Measured map[Pair]time.Duration
}

// Between returns the latency between two regions.
func (l Latencies) Between(from, to string) time.Duration {
	if d, ok := l.Measured[Pair{from, to}]; ok {
		return d
	}
	if d, ok := l.Settings[Pair{from, to}]; ok {
		return d
	}
	if d, ok := l.Settings[Pair{to, from}]; ok {
		return d
	}
	if from == to {
		return unknownWithin
	}
	return unknownBetween
}

// ShareAt returns the share that a shift moves at a moment, in steps of a second
// so that hosts with slightly different clocks mostly agree. A shift with a rate
// but no start moves no entries: when it began is known to the forwarding hosts only.
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
