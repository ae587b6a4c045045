package quetzalknot

import "quetzalknot/process/metrics"

// Metrics returns the figures of the node.
func (n *Node) Metrics() *metrics.Set { return n.metrics }
