// Package quetzalknot runs one entry host of the traffic steering system: it starts,
// connects and stops the components that accept tickets, answer look-ups and forward
// requests.
package quetzalknot

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"quetzalknot/platform"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/process/settings"
	"quetzalknot/request/gateway"
	"quetzalknot/version/httpapi"
	"quetzalknot/version/replica"
	"quetzalknot/version/resolver"
	"quetzalknot/version/state"
	"quetzalknot/version/ticket"
	"quetzalknot/version/watch"
)

var (
	evStarted = eventlog.Define(1001, zerolog.InfoLevel, "host started")
	evStopped = eventlog.Define(1002, zerolog.InfoLevel, "host stopped")
)

const (
	// readHeaderTimeout limits how long a caller may take to send the request header.
	readHeaderTimeout = 10 * time.Second
	// maxExplainedRequests is the number of recent requests whose log lines are kept for
	// /v1/explain.
	maxExplainedRequests = 10_000
)

// Node is one entry host process.
type Node struct {
	settings *settings.Settings
	log      zerolog.Logger
	recent   *eventlog.RecentRequests
	metrics  *metrics.Set

	replica  *replica.Replica
	sites    *watch.Sites
	resolver *resolver.Resolver
	gateway  *gateway.Gateway

	api    *http.Server
	addrs  Addrs
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Addrs are the addresses that a started node listens on.
type Addrs struct {
	API     string
	Forward string
	Peer    string
}

// Dial opens a connection to a target or another host. It has the signature of
// net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are the dependencies of a node besides its settings.
type Options struct {
	Platform platform.Platform
	// Logs receives the JSON log lines.
	Logs io.Writer
	// Dial replaces net.Dialer, for example to simulate latency. May be nil.
	Dial Dial
}

// New returns a node that has not started.
func New(s *settings.Settings, opts Options) *Node {
	n := &Node{settings: s, recent: eventlog.NewRecentRequests(opts.Logs, maxExplainedRequests), metrics: metrics.NewSet()}
	n.log = eventlog.New(n.recent, s.Host.Name)
	n.replica = replica.New(replica.Options{Settings: s, Platform: opts.Platform, Dial: opts.Dial, Metrics: n.metrics, Log: n.log})
	config, members, clients := n.replica.Config(), n.replica.Members(), n.replica.Clients()
	n.sites = watch.New(watch.Options{
		Host: s.Host, Config: config, Members: members, Client: clients, Engine: n.replica.Engine(),
		Dial: opts.Dial, Metrics: n.metrics, Log: n.log,
	})
	n.resolver = resolver.New(resolver.Options{
		Settings: s, Objects: opts.Platform.Objects, Config: config, Members: members, Client: clients, Sites: n.sites,
		Keys: gateway.Keys{Claims: s.Claims}, HasAllTickets: n.replica.Engine().Complete, Metrics: n.metrics, Log: n.log,
	})
	n.gateway = gateway.New(gateway.Options{
		Settings: s, Table: opts.Platform.Table, Config: config, Members: members, Client: clients,
		UpToDate: n.replica.UpToDate, HomeRegion: n.resolver.Region, Dial: opts.Dial, Metrics: n.metrics, Log: n.log,
	})
	n.replica.OnApply(n.resolver.ApplyConfig)
	return n
}

// Addrs returns the addresses of a started node.
func (n *Node) Addrs() Addrs { return n.addrs }

// Version returns the largest number of the tickets in force on this node.
func (n *Node) Version() uint64 { return n.replica.Version() }

// Ready reports whether the node is ready to serve callers.
func (n *Node) Ready() bool { return n.replica.Ready() }

// Status returns the host's status.
func (n *Node) Status() replica.Status { return n.replica.Status() }

// Submit accepts a ticket, as replica.Submit does.
func (n *Node) Submit(ctx context.Context, t *ticket.Ticket) (state.Record, error) {
	return n.replica.Submit(ctx, t)
}

// Metrics returns the node's metrics.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// Start listens on all addresses and begins to serve.
func (n *Node) Start(ctx context.Context) error {
	ctx, n.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := n.listen(); err != nil {
		_ = n.Stop(ctx)
		return err
	}
	n.replica.Start(ctx, replica.Addrs{API: n.addrs.API, Forward: n.addrs.Forward})
	n.loops.Go(func() { n.resolver.Run(ctx) })
	n.loops.Go(func() { n.gateway.Run(ctx) })
	if n.settings.Roles.Watch {
		n.loops.Go(func() { n.sites.Run(ctx) })
	}
	evStarted.Log(n.log).Str("api", n.addrs.API).Str("forward", n.addrs.Forward).Str("peer", n.addrs.Peer).Send()
	return nil
}

func (n *Node) listen() error {
	peers := n.replica.Peers()
	if err := errors.CombineErrors(n.gateway.Register(peers), n.resolver.Register(peers)); err != nil {
		return err
	}
	if err := n.replica.Listen(); err != nil {
		return err
	}
	n.addrs.Peer = peers.Addr()
	if err := n.listenAPI(); err != nil {
		return err
	}
	if !n.settings.Roles.Forward {
		return nil
	}
	var err error
	n.addrs.Forward, err = n.gateway.Listen(n.settings.Listen.Forward)
	return err
}

func (n *Node) listenAPI() error {
	l, err := net.Listen("tcp", n.settings.Listen.API)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	n.addrs.API = l.Addr().String()
	n.api = &http.Server{Handler: n.apiRouter(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = n.api.Serve(l) }()
	return nil
}

// apiRouter returns the handler of the API: look-ups, the operators' calls, health checks
// and metrics.
func (n *Node) apiRouter() http.Handler {
	r := mux.NewRouter()
	if n.settings.Roles.Lookup {
		n.resolver.AddRoutes(r)
	}
	n.replica.AddRoutes(r)
	n.gateway.AddRoutes(r)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.HandleFunc("/v1/explain/{request}", n.handleExplain).Methods(http.MethodGet)
	r.Handle("/debug/vars", n.metrics)
	return r
}

func (n *Node) handleExplain(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["request"]
	lines := n.recent.Lines(id)
	if len(lines) == 0 {
		httpapi.WriteError(w, http.StatusNotFound, errors.Newf("request %q is not known on this host", id))
		return
	}
	events := make([]json.RawMessage, len(lines))
	for i, line := range lines {
		events[i] = line
	}
	httpapi.WriteJSON(w, http.StatusOK, events)
}

// Stop shuts the node down gracefully: it removes itself from the look-up answers, waits
// until callers have refreshed theirs, and lets requests in flight end. When ctx ends it
// aborts the remaining requests and returns drain.ErrCut.
func (n *Node) Stop(ctx context.Context) error {
	err := n.gateway.Drain(ctx)
	n.close()
	evStopped.Log(n.log).Send()
	return err
}

// Kill stops the node at once, as a crash does, and aborts the requests in flight.
func (n *Node) Kill() {
	n.gateway.CloseConnections()
	n.close()
}

func (n *Node) close() {
	n.cancel()
	n.loops.Wait()
	if n.api != nil {
		_ = n.api.Close()
	}
	n.replica.Close()
	n.gateway.Close()
}
