package quetzalknot

import (
	"quetzalknot/request/admit"
	"quetzalknot/request/latency"
	"quetzalknot/request/route"
)

// newAdmitter returns the node's queues in front of a router.
func (n *Node) newAdmitter(router *route.Router) *admit.Admitter {
	return admit.New(router, latency.NewTracker(), n.metrics, n.log)
}
