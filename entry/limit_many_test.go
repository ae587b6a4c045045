package entry

import (
	"fmt"
	"testing"
	"time"

	"quetzalknot/process/fleet"
)

// TestManyLimitsAreKnownEverywhere guards against limits that partners never learn of, since more of them
// began at once than one heartbeat carries.
func TestManyLimitsAreKnownEverywhere(t *testing.T) {
	const targets = 600
	c := newCluster(t, 1, 2)
	c.eventually("the hosts have discovered each other", func() bool {
		return len(c.hosts[0].group.Alive()) == 2 && len(c.hosts[1].group.Alive()) == 2
	})
	now := time.Now()
	for _, h := range c.hosts {
		for i := range targets {
			h.fleet.Upsert(fleet.Entry{ID: fmt.Sprint("m-", i), Service: "many", Addr: "127.0.0.1:1", FailureDomain: "no-gler", Slots: 1, Born: 1, Sequence: 1}, now)
		}
	}
	var limits []fleet.StatedLimit
	for i := range targets {
		limits = append(limits, fleet.StatedLimit{Target: fmt.Sprint("m-", i), Born: 1, PerSecond: 3})
	}
	for len(limits) > 0 {
		n := min(100, len(limits))
		c.hosts[0].fleet.ApplyStatedLimits(limits[:n], time.Now())
		limits = limits[n:]
	}
	c.eventually("the other host knows all limits", func() bool { return c.hosts[1].fleet.Count("limited", time.Now()) == targets })
}
