// Package replica maintains this host's replica of the accepted tickets: it accepts
// tickets, replicates them to the other hosts, applies the merged state, and takes part
// in the membership of hosts.
//
// replica.go starts and stops the components, submit.go accepts tickets, tickets.go and
// status.go implement the operator API.
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
	evAccepted        = eventlog.Define(2001, zerolog.InfoLevel, "ticket accepted")
	evInForce         = eventlog.Define(2002, zerolog.InfoLevel, "configuration version in force")
	evVersionRejected = eventlog.Define(2003, zerolog.ErrorLevel, "configuration version rejected")
)

// Options holds the dependencies of a Replica.
type Options struct {
	Settings *settings.Settings
	Platform platform.Platform
	// Dial, if not nil, replaces net.Dialer for calls to other hosts.
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Addrs holds the addresses that this host advertises to other hosts.
type Addrs struct {
	API     string
	Forward string
}

// Replica holds the configuration version in force on this host and keeps it up to
// date. It is safe for concurrent use.
type Replica struct {
	settings *settings.Settings
	platform platform.Platform
	log      zerolog.Logger
	// onApply is called with each configuration version that is put into force. It is set
	// before Start.
	onApply func(*state.Snapshot)

	config state.Holder
	// applyMu is held while a snapshot is created and put into force, so that an older
	// one never replaces a newer one. It also protects appliedAt.
	applyMu     sync.Mutex
	merged      *state.State
	store       *store.Store
	members     *membership.Members
	peerServer  *peer.Server
	peerClients *peer.ClientPool
	engine      *spread.Engine
	tickets     *spread.Tickets
	memberRows  *membership.Rows
	appliedAt   time.Time
	// identityErr is the error of loading the peer certificate; Listen returns it.
	identityErr error
	loops       sync.WaitGroup
}

// New returns a replica without tickets. If the peer certificate in the settings cannot
// be loaded, Listen returns the error.
func New(opts Options) *Replica {
	identity, err := loadIdentity(opts.Settings.Peer)
	r := &Replica{
		settings: opts.Settings, platform: opts.Platform, log: opts.Log, onApply: func(*state.Snapshot) {},
		merged: state.New(), store: store.New(opts.Platform.Table), members: membership.New(),
		peerServer: peer.NewServer(identity), peerClients: peer.NewClientPool(identity, peer.DialFunc(opts.Dial)),
		memberRows: membership.NewRows(opts.Platform.Table), identityErr: err,
	}
	r.tickets = spread.NewTickets(r.merged, r.apply)
	r.engine = spread.New(spread.Config{Members: r.members, Client: r.peerClients, Metrics: opts.Metrics, Log: r.log})
	r.engine.Register(spread.TicketsTopic, r.tickets)
	r.registerGauges(opts.Metrics)
	if opts.Settings.Platform.URL == "" {
		r.members.Discovery().StandAlone()
	}
	return r
}

func (r *Replica) registerGauges(set *metrics.Set) {
	set.Gauge("peer.sent_bytes", func() int64 {
		return r.peerServer.Traffic.BytesSent.Load() + r.peerClients.Traffic.BytesSent.Load()
	})
	set.Gauge("peer.received_bytes", func() int64 {
		return r.peerServer.Traffic.BytesReceived.Load() + r.peerClients.Traffic.BytesReceived.Load()
	})
	set.Gauge("tickets.version_number", func() int64 { return int64(r.Version()) })
}

// Config returns the holder of the configuration version in force.
func (r *Replica) Config() *state.Holder { return &r.config }

// Members returns the membership of hosts.
func (r *Replica) Members() *membership.Members { return r.members }

// Engine returns the engine that replicates topics between hosts.
func (r *Replica) Engine() *spread.Engine { return r.engine }

// PeerServer returns the server for calls from other hosts. Services must be registered
// before Listen.
func (r *Replica) PeerServer() *peer.Server { return r.peerServer }

// PeerClients returns the client connections to other hosts.
func (r *Replica) PeerClients() *peer.ClientPool { return r.peerClients }

// OnApply sets the function that is called with each configuration version that is put
// into force. It must be called before Start.
func (r *Replica) OnApply(f func(*state.Snapshot)) { r.onApply = f }

// Version returns the configuration version in force on this host.
func (r *Replica) Version() uint64 { return r.config.Load().Version }

func loadIdentity(s settings.Peer) (*peer.Identity, error) {
	if s.Cert == "" {
		return nil, nil
	}
	return peer.LoadIdentity(s.Cert, s.Key, s.CA)
}

// Listen starts serving calls from other hosts.
func (r *Replica) Listen() error {
	if r.identityErr != nil {
		return r.identityErr
	}
	if err := r.engine.Serve(r.peerServer); err != nil {
		return err
	}
	if err := r.peerServer.Register(statusServiceName, &statusServer{r}); err != nil {
		return err
	}
	return r.peerServer.Listen(r.settings.Listen.Peer)
}

// Start joins the membership and starts loading and replicating the state in the
// background until ctx ends.
func (r *Replica) Start(ctx context.Context, addrs Addrs) {
	host := r.settings.Host
	readCtx, cancel := context.WithTimeout(ctx, time.Second)
	incarnation := r.memberRows.NextIncarnation(readCtx, host.Name, time.Now())
	cancel()
	self := membership.Member{
		Host: host.Name, Incarnation: incarnation, Region: host.Region, FailureDomain: host.FailureDomain,
		ForwardAddr: addrs.Forward, APIAddr: addrs.API, PeerAddr: r.peerServer.Addr(),
	}
	r.members.Start(self, func(delta []byte) { r.engine.Publish(spread.MembersTopic, delta) })
	poller := spread.NewPoller(r.engine, r.tickets, r.merged, spread.Sources{
		Store: r.store, Rows: r.memberRows, Snapshots: store.NewSnapshots(r.platform.Objects),
		Hosts: r.platform.Hosts, Seeds: r.settings.Peer.Seeds,
	})
	r.loops.Go(func() { r.engine.Run(ctx) })
	r.loops.Go(func() { poller.Run(ctx) })
}

// Close closes the connections to other hosts. The context passed to Start must have
// ended.
func (r *Replica) Close() {
	r.loops.Wait()
	r.engine.Close()
	r.peerClients.Close()
	_ = r.peerServer.Close() // no calls remain to be served
}

// applySnapshot creates a snapshot of the merged state and puts it into force.
func (r *Replica) applySnapshot() error {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	snap, err := r.merged.Snapshot()
	if err != nil {
		return err
	}
	r.config.Store(snap)
	r.onApply(snap)
	r.appliedAt = time.Now()
	evInForce.Log(r.log).Uint64("version", snap.Version).Int("services", len(snap.Services)).Send()
	return nil
}

// apply puts the merged state into force and logs the tickets that cannot be.
func (r *Replica) apply() {
	if err := r.applySnapshot(); err != nil {
		evVersionRejected.Log(r.log).Err(err).Send()
		return
	}
	for _, f := range r.merged.Faults() {
		evVersionRejected.Log(r.log).Uint64("ticket", f.Ticket).Str("error", f.Error).Send()
	}
}

// UpToDate reports whether the configuration of this host is up to date with the table
// service. A host that is not up to date neither starts nor increases a traffic shift.
func (r *Replica) UpToDate() bool { return r.engine.UpToDate() }

// Ready reports whether the host is ready to serve callers.
func (r *Replica) Ready() bool { return r.unreadyReason() == "" }

// unreadyReason returns why the host is not ready to serve callers, or "".
func (r *Replica) unreadyReason() string {
	switch {
	case !r.engine.Complete():
		return "the state is neither read from the table service nor from hosts in two failure domains"
	case !r.members.Discovered():
		return "the other hosts are not discovered yet"
	case r.members.Lease().Revoked():
		return "another process runs as this host"
	case r.members.Self().Leaving:
		return "the host is leaving"
	}
	return ""
}
