package partner

import (
	"strings"

	"quetzalknot/process/peer"
)

// Classes of other hosts in the names of metrics: those of this host's failure domain, of
// another one in its region, of another region, and those that are not known.
const (
	classDomain  = "domain"
	classRegion  = "region"
	classFar     = "far"
	classUnknown = "unknown"
)

// CountMessage counts a call that was sent to an address or its reply, by class of the other
// host and by message. The host that makes a call counts the call and the reply, so that
// the sum over all hosts has each byte once.
func (g *Group) CountMessage(addr, method string, m peer.MessageSize) {
	_, message, _ := strings.Cut(method, ".")
	name := g.classOf(addr) + "." + strings.ToLower(message)
	g.opts.Metrics.Counter("partners.sent_bytes." + name).Add(int64(m.Sent))
	g.opts.Metrics.Counter("partners.received_bytes." + name).Add(int64(m.Received))
}

// classOf returns the class of the host at an address.
func (g *Group) classOf(addr string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if class, ok := g.classes[addr]; ok {
		return class
	}
	return classUnknown
}

// class returns the class of a host.
func (g *Group) class(m Member) string {
	switch {
	case m.Region != g.opts.Self.Region:
		return classFar
	case m.Domain != g.opts.Self.Domain:
		return classRegion
	default:
		return classDomain
	}
}
