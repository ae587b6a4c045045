package cluster

import (
	"context"
	"math"

	"github.com/cockroachdb/errors"

	"quetzalknot/tools/standin/platformd"
	"quetzalknot/tools/standin/targetd"
)

// Kinds of faults, as written in experiment files and replay plans.
const (
	FaultSlow                = "slow"
	FaultCrash               = "crash"
	FaultShed                = "shed"
	FaultFalseLoad           = "load-lies"
	FaultStoreDown           = "store-down"
	FaultStoreSlow           = "store-slow"
	FaultStoreLosesResponses = "store-loses-answers"
	FaultHostStop            = "host-stop"
	FaultRegionPartition     = "region-cut"
	FaultRegionDown          = "region-down"
)

// Fault describes a fault to inject into a cluster.
type Fault struct {
	Kind string `toml:"kind"`
	// Service and Share select targets: the first Share of the service's targets,
	// rounded up. The kind region-down selects all targets of Region instead.
	Service string  `toml:"service"`
	Share   float64 `toml:"share"`
	// Factor multiplies the run time of slow targets.
	Factor float64 `toml:"factor"`
	// DelayMS is the delay of a slow store's responses in milliseconds.
	DelayMS int `toml:"delay_ms"`
	// Host is the index of the host that is stopped, counted from 0.
	Host int `toml:"host"`
	// Region is the region that region-cut partitions from the others and region-down stops.
	Region string `toml:"region"`
}

// Check returns an error when the fault is not valid.
func (ft *Fault) Check() error {
	switch ft.Kind {
	case FaultSlow, FaultCrash, FaultShed, FaultFalseLoad:
		if ft.Service == "" || ft.Share <= 0 || ft.Share > 1 {
			return errors.Newf("fault %q: give service, and share above 0 and at most 1", ft.Kind)
		}
	case FaultStoreDown, FaultStoreSlow, FaultStoreLosesResponses, FaultHostStop, FaultRegionPartition, FaultRegionDown:
	default:
		return errors.Newf("fault kind = %q: unknown", ft.Kind)
	}
	return nil
}

// ApplyFault starts a fault (on) or ends it.
func (c *Cluster) ApplyFault(ctx context.Context, ft Fault, on bool) error {
	switch ft.Kind {
	case FaultSlow, FaultShed, FaultFalseLoad:
		c.setTargetFaults(ft, on)
	case FaultCrash:
		return c.setCrashed(c.affectedTargets(ft), on)
	case FaultStoreDown, FaultStoreSlow, FaultStoreLosesResponses:
		c.setStoreFaults(ft, on)
	case FaultHostStop:
		if on {
			return c.StopHost(ctx, ft.Host)
		}
		return c.StartHost(ctx, ft.Host)
	case FaultRegionPartition:
		c.setRegionPartitioned(ft.Region, on)
	case FaultRegionDown:
		return c.setRegionDown(ctx, ft.Region, on)
	}
	return nil
}

// affectedTargets returns the targets that Service and Share of a fault select.
func (c *Cluster) affectedTargets(ft Fault) []*targetd.Server {
	servers := c.Targets[ft.Service]
	n := int(math.Ceil(ft.Share * float64(len(servers))))
	return servers[:min(n, len(servers))]
}

func (c *Cluster) setTargetFaults(ft Fault, on bool) {
	for _, s := range c.affectedTargets(ft) {
		faults := s.Faults()
		switch ft.Kind {
		case FaultSlow:
			faults.SlowFactor = 0
			if on {
				faults.SlowFactor = ft.Factor
			}
		case FaultShed:
			faults.ShedAll = on
		case FaultFalseLoad:
			faults.ReportedInFlight = nil
			if on {
				faults.ReportedInFlight = new(int)
			}
		}
		s.SetFaults(faults)
	}
}

func (c *Cluster) setCrashed(servers []*targetd.Server, on bool) error {
	for _, s := range servers {
		if on {
			s.Crash()
			continue
		}
		if err := s.Restart(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) setStoreFaults(ft Fault, on bool) {
	var state platformd.FaultState
	if on {
		state.Down = ft.Kind == FaultStoreDown
		state.LoseResponses = ft.Kind == FaultStoreLosesResponses
		state.DelayMS = ft.DelayMS
	}
	c.Platform.Faults.Set(state)
}

// setRegionPartitioned sets whether new connections between a region and all others fail.
func (c *Cluster) setRegionPartitioned(region string, on bool) {
	for _, r := range c.Deployment.Regions {
		if r.Name != region {
			c.Network.SetBlocked(region, r.Name, on)
			c.Network.SetBlocked(r.Name, region, on)
		}
	}
}

// setRegionDown stops or restarts every target and host of a region.
func (c *Cluster) setRegionDown(ctx context.Context, region string, on bool) error {
	for name, svc := range c.services {
		for i, t := range svc.Targets {
			if t.Region != region {
				continue
			}
			if err := c.setCrashed(c.Targets[name][i:i+1], on); err != nil {
				return err
			}
		}
	}
	for i, h := range c.hosts {
		if h.Region != region {
			continue
		}
		if err := c.ApplyFault(ctx, Fault{Kind: FaultHostStop, Host: i}, on); err != nil {
			return err
		}
	}
	return nil
}
