package quetzalknot

import (
	"context"
	"time"

	"quetzalknot/process/credit"
	"quetzalknot/process/membership"
	"quetzalknot/process/slots"
	"quetzalknot/request/route"
	"quetzalknot/version/config"
)

// releaseTimeout bounds the hand-over of granting rights at a stop.
const releaseTimeout = 4 * time.Second

// routing is the part of a node that lends and borrows slots.
type routing struct {
	credits *credit.Service
	stop    func()
}

// newRouter returns the router of this host. Services with the policy credits
// take their slots from loans, the others from this host's own counts.
func (n *Node) newRouter() *route.Router {
	n.routing.credits = credit.NewService(credit.Options{
		Self: n.creditSelf, Table: n.platform.Table, Caller: n.clients,
		Hosts: n.creditHosts, Targets: n.creditTargets, Version: n.Version, Metrics: n.metrics, Log: n.log,
	})
	return route.NewRouter(slots.NewLocal(), n.metrics, n.log,
		route.WithCredits(n.routing.credits), route.WithRegion(n.settings.Host.Region))
}

// startRouting begins to lend and borrow slots. It goes on while the requests in
// flight of a stopping host finish.
func (n *Node) startRouting() {
	n.routing.credits.SetSelf(n.process())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.routing.credits.Run(ctx)
	}()
	n.routing.stop = func() {
		cancel()
		<-ended
	}
}

// leaveGranting hands the granting rights over, so that other hosts lend at once.
func (n *Node) leaveGranting(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	n.routing.credits.Leave(ctx)
}

// haltRouting ends lending and borrowing without giving anything back.
func (n *Node) haltRouting() {
	if n.routing.stop != nil {
		n.routing.stop()
	}
}

// stopRouting gives all borrowed slots back and ends lending and borrowing.
func (n *Node) stopRouting(ctx context.Context) {
	if n.routing.stop == nil {
		return
	}
	n.haltRouting()
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	n.routing.credits.GiveBack(ctx)
}

func (n *Node) process() credit.Process {
	return credit.Process{Host: n.settings.Host.Name, Incarnation: n.members.Self().Incarnation}
}

func (n *Node) creditSelf() credit.Host {
	host := n.settings.Host
	return credit.Host{Process: n.process(), Region: host.Region, FailureDomain: host.FailureDomain, Addr: n.addrs.Peer}
}

// creditHosts returns the live hosts; this one always belongs to them.
func (n *Node) creditHosts() []credit.Host {
	hosts := []credit.Host{n.creditSelf()}
	for _, m := range n.members.Live() {
		if m.Host != n.settings.Host.Name {
			hosts = append(hosts, creditHost(m))
		}
	}
	return hosts
}

func creditHost(m membership.Member) credit.Host {
	return credit.Host{
		Process: credit.Process{Host: m.Host, Incarnation: m.Incarnation},
		Region:  m.Region, FailureDomain: m.FailureDomain, Addr: m.PeerAddr,
	}
}

// creditTargets returns the targets of the services with the policy credits.
func (n *Node) creditTargets() []credit.TargetInfo {
	var infos []credit.TargetInfo
	for _, svc := range n.config.Load().Services {
		if svc.Policy != config.PolicyCredits {
			continue
		}
		for _, t := range svc.Targets {
			infos = append(infos, credit.TargetInfo{
				Capacity: credit.Capacity{
					Target: slots.Target{Service: svc.Name, Name: t.Name},
					Slots:  t.Slots, LongSlots: longSlots(svc, t.Slots),
				},
				Region: t.Region,
			})
		}
	}
	return infos
}

// longSlots returns how many of a target's slots the long classes may hold together.
func longSlots(svc *config.Service, targetSlots int) int {
	long := 0
	for _, class := range svc.Classes {
		if class.Long {
			long = max(long, class.LongSlots(targetSlots))
		}
	}
	return long
}
