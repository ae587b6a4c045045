package quetzalknot

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/connection/target"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/link"
	"quetzalknot/process/membership"
	"quetzalknot/process/share"
	"quetzalknot/request/admit"
	"quetzalknot/request/latency"
	"quetzalknot/request/route"
	"quetzalknot/request/steer"
)

var evShares = eventlog.Define(1401, zerolog.InfoLevel, "parts of links and lent slots changed")

// shareInterval is how often the list of live hosts is taken into the parts.
const shareInterval = time.Second

// setUpLinks makes the budgets of the links between regions, and the pool whose
// connections keep them.
func (n *Node) setUpLinks(opts Options) {
	n.shares = share.NewView()
	n.links = link.New(&n.settings.Links, n.shares, n.metrics)
	dial := link.DialFunc(opts.Dial)
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	n.pool = target.NewPool(target.Dial(n.links.Pace(n.settings.Host.Region, n.targetRegion, dial)))
}

// targetRegion returns the region of the target with an address, or "".
func (n *Node) targetRegion(addr string) string {
	for _, svc := range n.config.Load().Services {
		for i := range svc.Targets {
			if svc.Targets[i].Addr == addr {
				return svc.Targets[i].Region
			}
		}
	}
	return ""
}

// linkRoom reports whether requests may be steered to a region over the link.
func (n *Node) linkRoom(region string) bool {
	home := n.settings.Host.Region
	now := time.Now()
	there := n.links.Room(link.Direction{From: home, To: region}, now)
	return there && n.links.Room(link.Direction{From: region, To: home}, now)
}

// newAdmitter returns the node's queues, and the choice of regions, in front of a router.
func (n *Node) newAdmitter(router *route.Router) *admit.Admitter {
	steerer := steer.New(steer.Options{
		Next: router, Region: n.settings.Host.Region, Home: n.homeRegion, Fresh: n.Fresh,
		View: n.shares, LinkRoom: n.linkRoom, Metrics: n.metrics, Log: n.log,
	})
	return admit.New(steerer, latency.NewTracker(), n.metrics, n.log, admit.WithRegions(steerer.Assign))
}

// homeRegion returns the region of the caller's block, or "".
func (n *Node) homeRegion(client netip.Addr) string {
	table := n.lookups.tables.Table()
	if table == nil || !client.IsValid() {
		return ""
	}
	return table.Region(client)
}

// shareLoop keeps this host's parts of lent slots up to date. A host whose lease
// or whose knowledge of the tickets is old takes in no list, so that its parts lapse.
func (n *Node) shareLoop(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	var generation uint64
	usable := false
	for {
		now := time.Now()
		n.takeInShares(now)
		if g, u := n.shares.Generation(), n.shares.Usable(now); g != generation || u != usable {
			generation, usable = g, u
			evShares.Log(n.log).Int("hosts", n.shares.Hosts()).Bool("usable", usable).Send()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) takeInShares(now time.Time) {
	if !n.Fresh() || !n.members.Lease().Valid(now) {
		return
	}
	members := n.members.Live()
	live := make([]share.Host, len(members))
	for i, m := range members {
		live[i] = share.Host{Name: processName(m), Region: m.Region}
	}
	n.shares.Observe(now, processName(n.members.Self()), live)
}

func processName(m membership.Member) string {
	return m.Host + "#" + strconv.FormatUint(m.Incarnation, 10)
}
