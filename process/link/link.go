// Package link limits the bytes per second that this host sends between regions to its
// share of each link, so that all hosts together stay within the link's capacity without
// coordination.
//
// Short exchanges never wait, but their bytes are charged to the share; long uploads and
// responses wait until the share allows them.
package link

import (
	"expvar"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"quetzalknot/process/metrics"
	"quetzalknot/process/settings"
	"quetzalknot/process/share"
)

const (
	// stableShare is the fraction of a link's capacity that is divided among the hosts with
	// a usable view of the live hosts. The rest is for the others, such as hosts that have
	// just started.
	stableShare = 0.9
	bitsPerByte = 8
	// chunkBytes is how much of a long body is sent at once.
	chunkBytes = 32 << 10
	// minBurstBytes and burstTime set the burst size: how much may be sent at once after a
	// pause.
	minBurstBytes = 256 << 10
	burstTime     = 50 * time.Millisecond
	// maxDebt is how far short exchanges may overdraw the budget, as time at the host's
	// rate, before HasCapacity keeps requests that could be routed elsewhere off the link.
	maxDebt = 200 * time.Millisecond
)

// Direction is one direction of a link between two regions.
type Direction struct {
	From string
	To   string
}

// Links holds this host's budgets of all links. It is safe for concurrent use.
type Links struct {
	view          *share.View
	minHosts      int
	capacity      map[Direction]float64
	crossingBytes *expvar.Int
	waitMicros    *expvar.Int

	mu       sync.Mutex
	limiters map[Direction]*rate.Limiter
}

// New returns the budgets of the links in the settings, divided among the hosts of view.
// It registers its metrics with m.
func New(s *settings.Links, view *share.View, m *metrics.Set) *Links {
	l := &Links{
		view: view, minHosts: s.MinHosts,
		crossingBytes: m.Counter("link.crossing_bytes"), waitMicros: m.Counter("link.wait_us"),
		capacity: make(map[Direction]float64), limiters: make(map[Direction]*rate.Limiter),
	}
	for _, pair := range s.Pairs {
		bytesPerSecond := float64(pair.BitsPerSecond) / bitsPerByte
		l.capacity[Direction{pair.A, pair.B}] = bytesPerSecond
		l.capacity[Direction{pair.B, pair.A}] = bytesPerSecond
	}
	return l
}

// Rate returns this host's share of a direction in bytes per second, and whether the
// direction has a budget.
func (l *Links) Rate(d Direction, now time.Time) (float64, bool) {
	capacity, ok := l.capacity[d]
	if !ok {
		return 0, false
	}
	hosts := max(l.minHosts, l.view.Count(d.From, d.To))
	fraction := stableShare
	if !l.view.Usable(now) {
		fraction = 1 - stableShare
	}
	return capacity * fraction / float64(hosts), true
}

// Charge charges n bytes, at most chunkBytes, to the budget of a direction. It returns how
// long a long body must wait before it sends these bytes.
func (l *Links) Charge(d Direction, n int, now time.Time) time.Duration {
	l.crossingBytes.Add(int64(n))
	limiter := l.limiter(d, now)
	if limiter == nil {
		return 0
	}
	return limiter.ReserveN(now, n).DelayFrom(now)
}

// HasCapacity reports whether the budget of a direction allows requests that could be routed
// elsewhere.
func (l *Links) HasCapacity(d Direction, now time.Time) bool {
	limiter := l.limiter(d, now)
	if limiter == nil {
		return true
	}
	return limiter.TokensAt(now) > -maxDebt.Seconds()*float64(limiter.Limit())
}

// limiter returns the token bucket of a direction, adjusted to this host's current share,
// or nil if the direction has no budget.
func (l *Links) limiter(d Direction, now time.Time) *rate.Limiter {
	perSecond, ok := l.Rate(d, now)
	if !ok {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.limiters[d]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))
		l.limiters[d] = limiter
	}
	if float64(limiter.Limit()) != perSecond {
		limiter.SetLimitAt(now, rate.Limit(perSecond))
		limiter.SetBurstAt(now, burstOf(perSecond))
	}
	return limiter
}

// burstOf returns the burst size in bytes at a rate.
func burstOf(perSecond float64) int { return max(minBurstBytes, int(perSecond*burstTime.Seconds())) }
