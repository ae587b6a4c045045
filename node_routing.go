package quetzalknot

import (
	"quetzalknot/process/slots"
	"quetzalknot/request/route"
)

// newRouter returns the router of this host.
func (n *Node) newRouter() *route.Router {
	return route.NewRouter(slots.NewLocal(), n.metrics, n.log, route.WithRegion(n.settings.Host.Region))
}
