package resolver

import (
	"net/netip"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

const (
	// limitedCallers is how many addresses are remembered.
	limitedCallers = 16_384
	// limitBurst is how many seconds' worth of look-ups one address may make at once.
	limitBurst = 6
)

// callerLimits bounds the look-ups of each address, so that one can't use up the
// host. The address that asked least recently is forgotten first.
type callerLimits struct {
	perSecond float64
	burst     int
	known     *lru.Cache[netip.Addr, *rate.Limiter]
}

func newCallerLimits(perSecond float64) *callerLimits {
	known, err := lru.New[netip.Addr, *rate.Limiter](limitedCallers)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &callerLimits{perSecond: perSecond, burst: max(maxBatch, int(limitBurst*perSecond)), known: known}
}

func (l *callerLimits) allow(addr netip.Addr, n int, now time.Time) bool {
	limiter, ok := l.known.Get(addr)
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(l.perSecond), l.burst)
		if known, raced, _ := l.known.PeekOrAdd(addr, limiter); raced {
			limiter = known
		}
	}
	return limiter.AllowN(now, n)
}
