package resolver

import (
	"net/netip"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

const (
	// maxTrackedCallers is the maximum number of addresses whose rate limiters are kept.
	maxTrackedCallers = 16_384
	// burstSeconds is the size of a burst, in seconds of look-ups at the allowed rate.
	burstSeconds = 6
)

// callerLimits limits the rate of look-ups per address, so that one address cannot
// overload the host. It keeps the most recently used addresses.
type callerLimits struct {
	perSecond float64
	burst     int
	limiters  *lru.Cache[netip.Addr, *rate.Limiter]
}

func newCallerLimits(perSecond float64) *callerLimits {
	limiters, err := lru.New[netip.Addr, *rate.Limiter](maxTrackedCallers)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &callerLimits{perSecond: perSecond, burst: max(maxBatch, int(burstSeconds*perSecond)), limiters: limiters}
}

func (l *callerLimits) allow(addr netip.Addr, n int, now time.Time) bool {
	limiter, ok := l.limiters.Get(addr)
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(l.perSecond), l.burst)
		if existing, exists, _ := l.limiters.PeekOrAdd(addr, limiter); exists {
			limiter = existing
		}
	}
	return limiter.AllowN(now, n)
}
