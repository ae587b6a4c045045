// Package link keeps the bytes that this host sends between regions within its part
// of each link, so that the sum over all hosts stays within the link without a
// message between them.
//
// Short exchanges never wait: their bytes are counted, and long uploads and answers
// wait for what is left.
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
	// settledShare is the share of a link that is divided among the hosts whose view
	// of each other is settled. The rest is for hosts that are new or do not know.
	settledShare = 0.9
	bitsPerByte  = 8
	// chunkBytes is how much of a long body moves at once.
	chunkBytes = 32 << 10
	// minBurstBytes and burstTime bound what may move at once after a pause.
	minBurstBytes = 256 << 10
	burstTime     = 50 * time.Millisecond
	// maxDebt is how far short exchanges may run ahead of the budget before no
	// request is steered over the link of its own accord.
	maxDebt = 200 * time.Millisecond
)

// Direction is one direction of a link.
type Direction struct {
	From string
	To   string
}

// Links are the budgets of this host. It is safe for concurrent use.
type Links struct {
	view     *share.View
	minHosts int
	capacity map[Direction]float64
	crossing *expvar.Int
	waited   *expvar.Int

	mu      sync.Mutex
	budgets map[Direction]*rate.Limiter
}

// New returns the budgets for the links of the settings, divided by view. It adds
// its figures to m.
func New(s *settings.Links, view *share.View, m *metrics.Set) *Links {
	l := &Links{
		view: view, minHosts: s.MinHosts,
		crossing: m.Counter("link.crossing_bytes"), waited: m.Counter("link.wait_us"),
		capacity: make(map[Direction]float64), budgets: make(map[Direction]*rate.Limiter),
	}
	for _, pair := range s.Pairs {
		bytesPerSecond := float64(pair.BitsPerSecond) / bitsPerByte
		l.capacity[Direction{pair.A, pair.B}] = bytesPerSecond
		l.capacity[Direction{pair.B, pair.A}] = bytesPerSecond
	}
	return l
}

// Rate returns this host's part of a direction in bytes per second, and whether
// the direction has a budget at all.
func (l *Links) Rate(d Direction, now time.Time) (float64, bool) {
	capacity, ok := l.capacity[d]
	if !ok {
		return 0, false
	}
	hosts := max(l.minHosts, l.view.Count(d.From, d.To))
	part := settledShare
	if !l.view.Usable(now) {
		part = 1 - settledShare
	}
	return capacity * part / float64(hosts), true
}

// Spend takes n bytes, at most chunkBytes, from the budget of a direction. It
// returns how long a long body waits before these bytes move.
func (l *Links) Spend(d Direction, n int, now time.Time) time.Duration {
	l.crossing.Add(int64(n))
	budget := l.budget(d, now)
	if budget == nil {
		return 0
	}
	return budget.ReserveN(now, n).DelayFrom(now)
}

// Room reports whether requests may be steered over a direction that do not have to
// use it.
func (l *Links) Room(d Direction, now time.Time) bool {
	budget := l.budget(d, now)
	if budget == nil {
		return true
	}
	return budget.TokensAt(now) > -maxDebt.Seconds()*float64(budget.Limit())
}

// budget returns the token bucket of a direction, at the part that applies now, or nil.
func (l *Links) budget(d Direction, now time.Time) *rate.Limiter {
	perSecond, ok := l.Rate(d, now)
	if !ok {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.budgets[d]
	if b == nil {
		b = rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))
		l.budgets[d] = b
	}
	if float64(b.Limit()) != perSecond {
		b.SetLimitAt(now, rate.Limit(perSecond))
		b.SetBurstAt(now, burstOf(perSecond))
	}
	return b
}

func burstOf(perSecond float64) int { return max(minBurstBytes, int(perSecond*burstTime.Seconds())) }
