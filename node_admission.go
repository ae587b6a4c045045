package quetzalknot

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"quetzalknot/process/membership"
	"quetzalknot/process/share"
	"quetzalknot/request/admit"
	"quetzalknot/request/latency"
	"quetzalknot/request/route"
	"quetzalknot/request/steer"
)

// shareInterval is how often the list of live hosts is taken into the parts.
const shareInterval = time.Second

// newAdmitter returns the node's queues, and the choice of regions, in front of a router.
func (n *Node) newAdmitter(router *route.Router) *admit.Admitter {
	n.shares = share.NewView()
	steerer := steer.New(steer.Options{
		Next: router, Region: n.settings.Host.Region, Home: n.homeRegion, Fresh: n.Fresh,
		View: n.shares, Metrics: n.metrics, Log: n.log,
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
	for {
		n.takeInShares(time.Now())
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
