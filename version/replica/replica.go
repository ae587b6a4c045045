// Package replica keeps this host's replica of the accepted tickets: it accepts
// tickets, spreads them, puts the merged state into force, and knows the other hosts.
//
// replica.go starts and stops the parts, submit.go accepts tickets, tickets.go and
// status.go serve operators.
package replica

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/platform"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/membership"
	"quetzalknot/process/metrics"
	"quetzalknot/process/peer"
	"quetzalknot/process/settings"
	"quetzalknot/version/spread"
	"quetzalknot/version/state"
	"quetzalknot/version/store"
)

var (
	evAccepted = eventlog.Define(2001, zerolog.InfoLevel, "ticket accepted")
	evInForce  = eventlog.Define(2002, zerolog.InfoLevel, "configuration version in force")
	evBadState = eventlog.Define(2003, zerolog.ErrorLevel, "configuration version refused")
)

// Options are what a Replica needs.
type Options struct {
	Settings *settings.Settings
	Platform platform.Platform
	// Dial replaces net.Dialer for calls to other hosts. May be nil.
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Addrs are the addresses that this host tells the others.
type Addrs struct {
	API     string
	Forward string
}

// Replica is the configuration version in force at this host, and what brings it
// there. It is safe for concurrent use.
type Replica struct {
	settings *settings.Settings
	platform platform.Platform
	log      zerolog.Logger
	// inForce is told each configuration version that enters force. It is set before Start.
	inForce func(*state.Snapshot)

	config state.Holder
	// entering is held while a snapshot is made and put into force, so that an
	// older one never replaces a newer one.
	entering  sync.Mutex
	merged    *state.State
	store     *store.Store
	members   *membership.Members
	peers     *peer.Server
	clients   *peer.Clients
	engine    *spread.Engine
	tickets   *spread.Tickets
	rows      *membership.Rows
	inForceAt time.Time
	// identityErr is why the peer certificate could not be read; Listen returns it.
	identityErr error
	loops       sync.WaitGroup
}

// New returns a replica without tickets. Settings that name a certificate which can't
// be read make Listen fail.
func New(opts Options) *Replica {
	identity, err := loadIdentity(opts.Settings.Peer)
	r := &Replica{
		settings: opts.Settings, platform: opts.Platform, log: opts.Log, inForce: func(*state.Snapshot) {},
		merged: state.New(), store: store.New(opts.Platform.Table), members: membership.New(),
		peers: peer.NewServer(identity), clients: peer.NewClients(identity, peer.Dial(opts.Dial)),
		rows: membership.NewRows(opts.Platform.Table), identityErr: err,
	}
	r.tickets = spread.NewTickets(r.merged, r.enterForce)
	r.engine = spread.New(spread.Config{Members: r.members, Caller: r.clients, Metrics: opts.Metrics, Log: r.log})
	r.engine.Register(spread.TicketsTopic, r.tickets)
	r.gauges(opts.Metrics)
	return r
}

func (r *Replica) gauges(set *metrics.Set) {
	set.Gauge("peer.sent_bytes", func() int64 {
		return r.peers.Traffic.BytesSent.Load() + r.clients.Traffic.BytesSent.Load()
	})
	set.Gauge("peer.received_bytes", func() int64 {
		return r.peers.Traffic.BytesReceived.Load() + r.clients.Traffic.BytesReceived.Load()
	})
	set.Gauge("tickets.version_number", func() int64 { return int64(r.Version()) })
}

// Config returns the holder of the configuration version in force.
func (r *Replica) Config() *state.Holder { return &r.config }

// Members returns what is known of the hosts.
func (r *Replica) Members() *membership.Members { return r.members }

// Engine returns the spread of topics between hosts.
func (r *Replica) Engine() *spread.Engine { return r.engine }

// Peers returns the server that answers other hosts; services are added before Listen.
func (r *Replica) Peers() *peer.Server { return r.peers }

// Clients returns the connections to other hosts.
func (r *Replica) Clients() *peer.Clients { return r.clients }

// OnForce makes f be told each configuration version that enters force. It must be
// called before Start.
func (r *Replica) OnForce(f func(*state.Snapshot)) { r.inForce = f }

// Version returns the largest ticket number in force on this host.
func (r *Replica) Version() uint64 { return r.config.Load().Version }

func loadIdentity(s settings.Peer) (*peer.Identity, error) {
	if s.Cert == "" {
		return nil, nil
	}
	return peer.LoadIdentity(s.Cert, s.Key, s.CA)
}

// Listen begins to answer other hosts.
func (r *Replica) Listen() error {
	if r.identityErr != nil {
		return r.identityErr
	}
	if err := r.engine.Serve(r.peers); err != nil {
		return err
	}
	if err := r.peers.Register(statusService, &peerStatus{r}); err != nil {
		return err
	}
	return r.peers.Listen(r.settings.Listen.Peer)
}

// Start joins the other hosts and begins to load the state. It ends with ctx.
func (r *Replica) Start(ctx context.Context, addrs Addrs) {
	host := r.settings.Host
	lookCtx, cancel := context.WithTimeout(ctx, time.Second)
	incarnation := r.rows.Incarnation(lookCtx, host.Name, time.Now())
	cancel()
	self := membership.Member{
		Host: host.Name, Incarnation: incarnation, Region: host.Region, FailureDomain: host.FailureDomain,
		ForwardAddr: addrs.Forward, APIAddr: addrs.API, PeerAddr: r.peers.Addr(),
	}
	r.members.Start(self, func(delta []byte) { r.engine.Publish(spread.MembersTopic, delta) })
	poller := spread.NewPoller(r.engine, r.tickets, r.merged, spread.Sources{
		Store: r.store, Rows: r.rows, Snapshots: store.NewSnapshots(r.platform.Objects),
		Hosts: r.platform.Hosts, Seeds: r.settings.Peer.Seeds,
	})
	r.loops.Go(func() { r.engine.Run(ctx) })
	r.loops.Go(func() { poller.Run(ctx) })
}

// Close ends the connections to other hosts, after the context of Start has ended.
func (r *Replica) Close() {
	r.loops.Wait()
	r.engine.Close()
	r.clients.Close()
	_ = r.peers.Close() // nothing is left to answer
}

// putInForce makes a snapshot of the merged state and puts it into force.
func (r *Replica) putInForce() error {
	r.entering.Lock()
	defer r.entering.Unlock()
	snap, err := r.merged.Snapshot()
	if err != nil {
		return err
	}
	r.config.Store(snap)
	r.inForce(snap)
	r.inForceAt = time.Now()
	evInForce.Log(r.log).Uint64("version", snap.Version).Int("services", len(snap.Services)).Send()
	return nil
}

// enterForce puts the merged state into force.
func (r *Replica) enterForce() {
	if err := r.putInForce(); err != nil {
		evBadState.Log(r.log).Err(err).Send()
		return
	}
	for _, f := range r.merged.Faults() {
		evBadState.Log(r.log).Uint64("ticket", f.Ticket).Str("error", f.Error).Send()
	}
}

// Fresh reports whether this host can know that its configuration is the newest
// one. A host that is not fresh starts no move and widens none.
func (r *Replica) Fresh() bool { return r.engine.Fresh() }

// Ready reports whether the host is fit to serve callers.
func (r *Replica) Ready() bool { return r.unready() == "" }

// unready returns why the host is not fit to serve, or "".
func (r *Replica) unready() string {
	switch {
	case !r.engine.Whole():
		return "the state is neither read from the table service nor from hosts in two failure domains"
	case r.members.Lease().Revoked():
		return "another process runs as this host"
	case r.members.Self().Leaving:
		return "the host is leaving"
	}
	return ""
}
