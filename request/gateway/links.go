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

var evShares = eventlog.Define(1401, zerolog.InfoLevel, "parts of links and lent slots changed")

// shareInterval is how often the list of live hosts is taken into the parts.
const shareInterval = time.Second

// setUpLinks makes the budgets of the links between regions, and the pool whose
// connections keep them.
func (g *Gateway) setUpLinks() {
	g.shares = share.NewView()
	g.links = link.New(&g.opts.Settings.Links, g.shares, g.opts.Metrics)
	dial := link.DialFunc(g.opts.Dial)
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	g.pool = target.NewPool(target.Dial(g.links.Pace(g.opts.Settings.Host.Region, g.targetRegion, dial)))
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

// linkRoom reports whether requests may be steered to a region over the link.
func (g *Gateway) linkRoom(region string) bool {
	home := g.opts.Settings.Host.Region
	now := time.Now()
	there := g.links.Room(link.Direction{From: home, To: region}, now)
	return there && g.links.Room(link.Direction{From: region, To: home}, now)
}

// shareLoop keeps this host's parts of lent slots up to date. A host whose lease
// or whose knowledge of the tickets is old takes in no list, so that its parts lapse.
func (g *Gateway) shareLoop(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	var generation uint64
	usable := false
	for {
		now := time.Now()
		g.takeInShares(now)
		if next, u := g.shares.Generation(), g.shares.Usable(now); next != generation || u != usable {
			generation, usable = next, u
			evShares.Log(g.opts.Log).Int("hosts", g.shares.Hosts()).Bool("usable", usable).Send()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (g *Gateway) takeInShares(now time.Time) {
	if !g.opts.Fresh() || !g.opts.Members.Lease().Valid(now) {
		return
	}
	members := g.opts.Members.Live()
	live := make([]share.Host, len(members))
	for i, m := range members {
		live[i] = share.Host{Name: processName(m), Region: m.Region}
	}
	g.shares.Observe(now, processName(g.opts.Members.Self()), live)
}

func processName(m membership.Member) string {
	return m.Host + "#" + strconv.FormatUint(m.Incarnation, 10)
}
