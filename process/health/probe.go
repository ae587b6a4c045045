package health

import "time"

const (
	// probeFirst is the time from setting a target aside to its first probe.
	probeFirst = 500 * time.Millisecond
	// probeLast bounds the time between two probes.
	probeLast = 8 * time.Second
	// probeTraffic is how many requests of the service pass for each probe.
	probeTraffic = 400
	// probeLimit is the time after which a probe that has not ended counts as lost.
	probeLimit = 5 * time.Second
)

// probe schedules single requests to a target that is set aside.
type probe struct {
	wait time.Duration
	next time.Time
	// running is when the probe in flight began; zero with none.
	running time.Time
}

func (p *probe) reset(now time.Time) {
	*p = probe{wait: probeFirst, next: now.Add(probeFirst)}
}

func (p *probe) due(now time.Time) bool {
	if !p.running.IsZero() && now.Sub(p.running) < probeLimit {
		return false
	}
	return !now.Before(p.next)
}

func (p *probe) begin(now time.Time) {
	p.running = now
	p.wait = min(2*p.wait, probeLast)
	p.next = now.Add(p.wait)
}
