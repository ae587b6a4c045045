package health

import "time"

const (
	// initialProbeDelay is the time from the ejection of a target to its first probe.
	initialProbeDelay = 500 * time.Millisecond
	// maxProbeDelay bounds the time between two probes.
	maxProbeDelay = 8 * time.Second
	// requestsPerProbe is how many requests of the service are sent for each probe, so
	// that probes stay a small share of the traffic.
	requestsPerProbe = 400
	// probeTimeout is the time after which a probe that has not ended no longer blocks the
	// next one.
	probeTimeout = 5 * time.Second
)

// probeSchedule schedules probes, that is, single requests to an ejected target, with
// exponential backoff.
type probeSchedule struct {
	delay  time.Duration
	nextAt time.Time
	// startedAt is when the probe in flight began; zero if there is none.
	startedAt time.Time
}

func (p *probeSchedule) reset(now time.Time) {
	*p = probeSchedule{delay: initialProbeDelay, nextAt: now.Add(initialProbeDelay)}
}

func (p *probeSchedule) due(now time.Time) bool {
	if !p.startedAt.IsZero() && now.Sub(p.startedAt) < probeTimeout {
		return false
	}
	return !now.Before(p.nextAt)
}

func (p *probeSchedule) begin(now time.Time) {
	p.startedAt = now
	p.delay = min(2*p.delay, maxProbeDelay)
	p.nextAt = now.Add(p.delay)
}
