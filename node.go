// Package quetzalknot runs one entry host of the traffic steering system: it
// answers look-ups, forwards requests to targets and keeps the configuration
// version in force.
package quetzalknot

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/connection/target"
	"quetzalknot/platform"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/link"
	"quetzalknot/process/metrics"
	"quetzalknot/process/settings"
	"quetzalknot/process/share"
	"quetzalknot/request/forward"
	"quetzalknot/version/state"
	"quetzalknot/version/tables"
)

var (
	evStarted  = eventlog.Define(1001, zerolog.InfoLevel, "host started")
	evStopped  = eventlog.Define(1002, zerolog.InfoLevel, "host stopped")
	evAccepted = eventlog.Define(2001, zerolog.InfoLevel, "ticket accepted")
	evInForce  = eventlog.Define(2002, zerolog.InfoLevel, "configuration version in force")
	evBadState = eventlog.Define(2003, zerolog.ErrorLevel, "configuration version refused")
)

const (
	// readHeaderTimeout bounds how long a caller may take to send a header.
	readHeaderTimeout = 10 * time.Second
	// explainedRequests is how many requests a host can explain.
	explainedRequests = 10_000
)

// Node is one process of the system.
type Node struct {
	settings *settings.Settings
	platform platform.Platform
	log      zerolog.Logger
	recent   *eventlog.Recent
	metrics  *metrics.Set

	config      state.Holder
	lookups     lookups
	sites       sites
	linkReports linkReports
	versions
	pool     *target.Pool
	forward  *forward.Handler
	exchange exchange

	servers []*http.Server
	addrs   Addrs
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	shares  *share.View
	links   *link.Links
}

// Addrs are the addresses that a started node listens on.
type Addrs struct {
	API     string
	Forward string
	Peer    string
}

// Dial opens a connection to a target or another host; it has the form of
// net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are what a node needs besides its settings.
type Options struct {
	Platform platform.Platform
	// Logs receives the JSON log lines.
	Logs io.Writer
	// Dial replaces net.Dialer, so that the lab can add latency. May be nil.
	Dial Dial
}

// New returns a node that has not started.
func New(s *settings.Settings, opts Options) *Node {
	p := opts.Platform
	recent := eventlog.NewRecent(opts.Logs, explainedRequests)
	log := eventlog.New(recent, s.Host.Name)
	n := &Node{
		settings: s, platform: p, log: log, recent: recent, metrics: metrics.NewSet(),
	}
	n.setUpLinks(opts)
	n.setUpVersions(opts)
	n.setUpSites(opts.Dial)
	n.setUpLookups(n.clients)
	n.newExchange(n.newAdmitter(n.newRouter()))
	return n
}

// Addrs returns the addresses of a started node.
func (n *Node) Addrs() Addrs { return n.addrs }

// Version returns the largest ticket number in force on this node.
func (n *Node) Version() uint64 { return n.config.Load().Version }

// Start listens on all addresses and begins to serve.
func (n *Node) Start(ctx context.Context) error {
	ctx, n.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := n.listen(); err != nil {
		_ = n.Stop(ctx)
		return err
	}
	n.startVersions(ctx)
	n.startSites(ctx)
	n.startLookups(ctx)
	n.startExchange(ctx)
	n.loops.Go(func() { n.shareLoop(ctx) })
	evStarted.Log(n.log).Str("api", n.addrs.API).Str("forward", n.addrs.Forward).Str("peer", n.addrs.Peer).Send()
	return nil
}

func (n *Node) listen() error {
	if err := n.registerExchange(); err != nil {
		return err
	}
	if err := n.peers.Register(tables.ServiceName, n.lookups.tables.Service()); err != nil {
		return err
	}
	if err := n.listenPeers(); err != nil {
		return err
	}
	var err error
	if n.addrs.API, err = n.serve(n.settings.Listen.API, n.apiRouter()); err != nil {
		return err
	}
	if !n.settings.Roles.Forward {
		return nil
	}
	n.addrs.Forward, err = n.serveCallers(n.settings.Listen.Forward)
	return err
}

func (n *Node) serve(addr string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	n.servers = append(n.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (n *Node) putInForce() error {
	n.entering.Lock()
	defer n.entering.Unlock()
	snap, err := n.merged.Snapshot()
	if err != nil {
		return err
	}
	n.config.Store(snap)
	n.lookups.tables.Want(tables.Wanted{Version: snap.Version, Tables: snap.BlockTables, Blocks: snap.Blocks})
	n.lookups.configChanged()
	n.inForceAt = time.Now()
	evInForce.Log(n.log).Uint64("version", snap.Version).Int("services", len(snap.Services)).Send()
	return nil
}

// Stop ends the node without cutting a request: it leaves the look-ups, waits until
// callers have heard of it, and lets everything in flight end. When ctx ends it cuts
// what is left and returns drain.ErrCut.
func (n *Node) Stop(ctx context.Context) error {
	var err error
	if n.exchange.callers != nil {
		err = n.drain(ctx)
	}
	n.close()
	evStopped.Log(n.log).Send()
	return err
}

// Kill ends the node at once, as a crash would.
func (n *Node) Kill() {
	if n.exchange.callers != nil {
		_ = n.exchange.callers.Close()
	}
	n.close()
}

func (n *Node) close() {
	n.cancel()
	n.loops.Wait()
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.stopVersions()
	n.pool.Close()
}
