package quota

import "time"

// pool holds the shares that a host allocates, its own one and those that it was lent, and when each lapses.
// Tokens of each workspace accrue at the rate of its limit times the sum of the shares, up to its capacity
// times that sum. A share that is added brings no tokens with it, so the tokens of all hosts together never
// exceed the capacity.
type pool struct {
	incarnation int64
	// shares are the shares by host. The own one has no expiry.
	shares map[string]poolShare
	// share is the sum of shares, and integral that of share over time in seconds, until at.
	share, integral float64
	at              time.Time
	// nextExpiry is when the next share lapses; zero if none does.
	nextExpiry time.Time
}

type poolShare struct {
	share    float64
	expires  time.Time
	sequence uint64
	// incarnation is that of the host that lent the share.
	incarnation int64
}

// bucket is the token bucket of a workspace in a pool.
type bucket struct {
	rate, capacity float64
	level          float64
	// settledAt is the pool's integral up to which level contains the accrued tokens.
	settledAt float64
}

func newPool(incarnation int64, now time.Time) pool {
	return pool{incarnation: incarnation, shares: make(map[string]poolShare), at: now}
}

// advance accrues tokens until now and ends shares that have lapsed.
func (p *pool) advance(now time.Time, limits map[string]*limitState) {
	for !p.nextExpiry.IsZero() && !now.Before(p.nextExpiry) {
		p.accrue(p.nextExpiry)
		p.settle(limits)
		for host, s := range p.shares {
			if !s.expires.IsZero() && !p.at.Before(s.expires) {
				delete(p.shares, host)
			}
		}
		p.sum()
		p.settle(limits)
	}
	p.accrue(now)
}

func (p *pool) accrue(until time.Time) {
	if d := until.Sub(p.at); d > 0 {
		p.integral += p.share * d.Seconds()
		p.at = until
	}
}

func (p *pool) sum() {
	p.share, p.nextExpiry = 0, time.Time{}
	for _, s := range p.shares {
		p.share += s.share
		if !s.expires.IsZero() && (p.nextExpiry.IsZero() || s.expires.Before(p.nextExpiry)) {
			p.nextExpiry = s.expires
		}
	}
}

// set adds, replaces or, with share 0, removes the share of a host, at the time of the last advance.
func (p *pool) set(host string, s poolShare, limits map[string]*limitState) {
	changed := p.shares[host].share != s.share
	if changed {
		p.settle(limits)
	}
	if s.share == 0 {
		delete(p.shares, host)
	} else {
		p.shares[host] = s
	}
	p.sum()
	if changed {
		p.settle(limits)
	}
}

// settle brings the buckets of all workspaces up to date. It is called before and after the sum of the shares
// changes.
func (p *pool) settle(limits map[string]*limitState) {
	for _, s := range limits {
		p.settleOne(s)
	}
}

func (p *pool) settleOne(s *limitState) {
	s.level = min(s.capacity*p.share, s.level+s.rate*(p.integral-s.settledAt))
	s.settledAt = p.integral
}

// take takes up to n tokens and returns how many it took.
func (p *pool) take(s *limitState, n int) int {
	p.settleOne(s)
	n = min(n, int(s.level))
	s.level -= float64(n)
	return n
}

func (p *pool) add(s *limitState, n int) {
	p.settleOne(s)
	s.level = min(s.capacity*p.share, s.level+float64(n))
}

// wait returns the time until there is a token, and false if there will be none.
func (p *pool) wait(s *limitState) (time.Duration, bool) {
	p.settleOne(s)
	if s.rate*p.share <= 0 {
		return 0, false
	}
	return time.Duration(max(0, 1-s.level) / (s.rate * p.share) * float64(time.Second)), true
}
