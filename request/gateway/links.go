package gateway

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/connection/target"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/link"
	"quetzalknot/process/membership"
	"quetzalknot/process/share"
)

var evSharesChanged = eventlog.Define(1401, zerolog.InfoLevel, "shares of links and spill slots changed")

// shareInterval is how often the shares are updated from the list of live hosts.
const shareInterval = time.Second

// setUpLinks creates the bandwidth budgets of the links between regions, and the pool
// whose connections keep within them.
func (g *Gateway) setUpLinks() {
	g.shares = share.NewView()
	g.links = link.New(&g.opts.Settings.Links, g.shares, g.opts.Metrics)
	dial := link.DialFunc(g.opts.Dial)
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	g.pool = target.NewPool(target.DialFunc(g.links.PacedDial(g.opts.Settings.Host.Region, g.targetRegion, dial)))
}

// targetRegion returns the region of the target with an address, or "".
func (g *Gateway) targetRegion(addr string) string {
	for _, svc := range g.opts.Config.Load().Services {
		for i := range svc.Targets {
			if svc.Targets[i].Addr == addr {
				return svc.Targets[i].Region
			}
		}
	}
	return ""
}

// linkHasCapacity reports whether the link to a region has free capacity in both
// directions, so that requests may be routed to it.
func (g *Gateway) linkHasCapacity(region string) bool {
	home := g.opts.Settings.Host.Region
	now := time.Now()
	outbound := g.links.HasCapacity(link.Direction{From: home, To: region}, now)
	return outbound && g.links.HasCapacity(link.Direction{From: region, To: home}, now)
}

// shareLoop keeps this host's shares of links and spill slots up to date.
func (g *Gateway) shareLoop(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	var generation uint64
	usable := false
	for {
		now := time.Now()
		g.updateShares(now)
		if next, usableNow := g.shares.Generation(), g.shares.Usable(now); next != generation || usableNow != usable {
			generation, usable = next, usableNow
			evSharesChanged.Log(g.opts.Log).Int("hosts", g.shares.HostCount()).Bool("usable", usable).Send()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateShares passes the list of live hosts to the shares, unless this host's lease is
// invalid or its configuration may be out of date. In that case its shares expire.
func (g *Gateway) updateShares(now time.Time) {
	if !g.opts.UpToDate() || !g.opts.Members.Lease().Valid(now) {
		return
	}
	members := g.opts.Members.Live()
	live := make([]share.Host, len(members))
	for i, m := range members {
		live[i] = share.Host{Name: processName(m), Region: m.Region}
	}
	g.shares.Observe(now, processName(g.opts.Members.Self()), live)
}

// processName identifies one process of a host.
func processName(m membership.Member) string {
	return m.Host + "#" + strconv.FormatUint(m.Incarnation, 10)
}
