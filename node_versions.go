package quetzalknot

import (
	"context"
	"sync"
	"time"

	"quetzalknot/process/membership"
	"quetzalknot/process/peer"
	"quetzalknot/process/settings"
	"quetzalknot/version/spread"
	"quetzalknot/version/state"
	"quetzalknot/version/store"
)

// versions is the part of a node that keeps the configuration version in force
// and knows the other hosts.
type versions struct {
	// entering is held while a snapshot is made and put into force, so that an
	// older one never replaces a newer one.
	entering sync.Mutex
	merged   *state.State
	store    *store.Store
	members  *membership.Members
	peers    *peer.Server
	clients  *peer.Clients
	engine   *spread.Engine
	tickets  *spread.Tickets
	rows     *membership.Rows
	// identityErr is why the peer certificate could not be read; Start returns it.
	identityErr error
	inForceAt   time.Time
}

// setUpVersions makes the parts without starting them.
func (n *Node) setUpVersions(opts Options) {
	identity, err := loadIdentity(n.settings.Peer)
	n.versions = versions{
		merged: state.New(), store: store.New(opts.Platform.Table), members: membership.New(),
		peers: peer.NewServer(identity), clients: peer.NewClients(identity, peer.Dial(opts.Dial)),
		rows: membership.NewRows(opts.Platform.Table), identityErr: err,
	}
	n.tickets = spread.NewTickets(n.merged, n.enterForce)
	n.engine = spread.New(spread.Config{Members: n.members, Caller: n.clients, Metrics: n.metrics, Log: n.log})
	n.engine.Register(spread.TicketsTopic, n.tickets)
	n.metrics.Gauge("peer.sent_bytes", func() int64 {
		return n.peers.Traffic.BytesSent.Load() + n.clients.Traffic.BytesSent.Load()
	})
	n.metrics.Gauge("peer.received_bytes", func() int64 {
		return n.peers.Traffic.BytesReceived.Load() + n.clients.Traffic.BytesReceived.Load()
	})
	n.metrics.Gauge("tickets.version_number", func() int64 { return int64(n.Version()) })
}

func loadIdentity(s settings.Peer) (*peer.Identity, error) {
	if s.Cert == "" {
		return nil, nil
	}
	return peer.LoadIdentity(s.Cert, s.Key, s.CA)
}

// listenPeers begins to answer other hosts.
func (n *Node) listenPeers() error {
	if n.identityErr != nil {
		return n.identityErr
	}
	if err := n.engine.Serve(n.peers); err != nil {
		return err
	}
	if err := n.peers.Register(statusService, &peerStatus{node: n}); err != nil {
		return err
	}
	if err := n.peers.Listen(n.settings.Listen.Peer); err != nil {
		return err
	}
	n.addrs.Peer = n.peers.Addr()
	return nil
}

// startVersions joins the other hosts and begins to load the state.
func (n *Node) startVersions(ctx context.Context) {
	host := n.settings.Host
	lookCtx, cancel := context.WithTimeout(ctx, time.Second)
	incarnation := n.rows.Incarnation(lookCtx, host.Name, time.Now())
	cancel()
	self := membership.Member{
		Host: host.Name, Incarnation: incarnation, Region: host.Region, FailureDomain: host.FailureDomain,
		ForwardAddr: n.addrs.Forward, APIAddr: n.addrs.API, PeerAddr: n.addrs.Peer,
	}
	n.members.Start(self, func(delta []byte) { n.engine.Publish(spread.MembersTopic, delta) })
	poller := spread.NewPoller(n.engine, n.tickets, n.merged, spread.Sources{
		Store: n.store, Rows: n.rows, Snapshots: store.NewSnapshots(n.platform.Objects),
		Hosts: n.platform.Hosts, Seeds: n.settings.Peer.Seeds,
	})
	n.loops.Go(func() { n.engine.Run(ctx) })
	n.loops.Go(func() { poller.Run(ctx) })
}

// stopVersions closes the connections to other hosts.
func (n *Node) stopVersions() {
	n.engine.Close()
	n.clients.Close()
	_ = n.peers.Close() // nothing is left to answer
}

// enterForce puts the merged state into force.
func (n *Node) enterForce() {
	if err := n.putInForce(); err != nil {
		evBadState.Log(n.log).Err(err).Send()
		return
	}
	for _, f := range n.merged.Faults() {
		evBadState.Log(n.log).Uint64("ticket", f.Ticket).Str("error", f.Error).Send()
	}
}

// Fresh reports whether this host can know that its configuration is the newest
// one. A host that is not fresh starts no move and widens none.
func (n *Node) Fresh() bool { return n.engine.Fresh() }

// Ready reports whether the node is fit to serve callers.
func (n *Node) Ready() bool { return n.unready() == "" }

// unready returns why the node is not fit to serve, or "".
func (n *Node) unready() string {
	switch {
	case !n.engine.Whole():
		return "the state is neither read from the table service nor from hosts in two failure domains"
	case n.members.Lease().Revoked():
		return "another process runs as this host"
	case n.members.Self().Leaving:
		return "the host is leaving"
	}
	return ""
}
