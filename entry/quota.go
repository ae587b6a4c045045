package entry

import (
	"time"

	"quetzalknot/process/partner"
	"quetzalknot/process/quota"
	"quetzalknot/version/routes"
)

// newLimiter returns the limiter of this host's part of the rate limits of all hosts together.
func newLimiter(s *Settings, self partner.Member) *quota.Limiter {
	bounds := quota.Bounds{Window: time.Duration(s.Bounds.QuotaWindow), Overrun: s.Bounds.QuotaOverrun, Slack: s.Bounds.QuotaSlack}
	return quota.New(quota.Host{Name: self.Name, Address: self.Peer}, self.Incarnation, bounds, time.Now())
}

// otherHosts returns the hosts that share the rate limits with this one.
func (h *Host) otherHosts() ([]quota.Host, bool) {
	known, ok := h.group.Known()
	hosts := make([]quota.Host, 0, len(known))
	for _, k := range known {
		hosts = append(hosts, quota.Host{Name: k.Name, Address: k.Peer, Incarnation: k.Incarnation, Leaving: k.Leaving})
	}
	return hosts, ok
}

// setRateLimits puts the rate limits of the workspaces of a configuration in force.
func (h *Host) setRateLimits(workspaces []*routes.Workspace) {
	limits := make(map[string]quota.Limit)
	for _, w := range workspaces {
		if w.RatePerSecond > 0 {
			limits[w.Name] = quota.Limit{PerSecond: w.RatePerSecond, Burst: w.Burst}
		}
	}
	h.limiter.SetLimits(limits, time.Now())
	for name := range limits {
		h.listenLimitMetrics(name)
	}
}

// listenLimitMetrics publishes the metrics of the rate limit of a workspace.
func (h *Host) listenLimitMetrics(workspace string) {
	for name, read := range map[string]func(quota.Status) int64{
		"quota.limit_per_second.": func(s quota.Status) int64 { return int64(s.Limit.PerSecond) },
		"quota.admitted.":         func(s quota.Status) int64 { return s.Admitted },
		"quota.refused.":          func(s quota.Status) int64 { return s.Refused },
	} {
		h.metrics.Gauge(name+workspace, func() int64 { return read(h.limiter.Status(workspace, time.Now())) })
	}
}
