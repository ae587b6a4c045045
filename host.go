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

// Host is one entry host process.
type Host struct {
	settings *settings.Settings
	log      zerolog.Logger
	recent   *eventlog.RecentRequests
	metrics  *metrics.Set

	replica  *replica.Replica
	sites    *watch.Monitor
	resolver *resolver.Resolver
	gateway  *gateway.Gateway

	api    *http.Server
	addrs  Addrs
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Addrs are the addresses that a started host listens on. Forward is empty when the host does
// not forward requests.
type Addrs struct {
	API     string
	Forward string
	Peer    string
}

// Dial opens a connection to a target or another host. It has the signature of
// net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are the dependencies of a host besides its settings.
type Options struct {
	Platform platform.Platform
	// Logs receives the JSON log lines.
	Logs io.Writer
	// Dial replaces net.Dialer, for example to simulate latency. May be nil.
	Dial Dial
}

// New returns a host that has not started.
func New(s *settings.Settings, opts Options) *Host {
	h := &Host{settings: s, recent: eventlog.NewRecentRequests(opts.Logs, maxExplainedRequests), metrics: metrics.NewSet()}
	h.log = eventlog.New(h.recent, s.Host.Name)
	h.replica = replica.New(replica.Options{Settings: s, Platform: opts.Platform, Dial: opts.Dial, Metrics: h.metrics, Log: h.log})
	config, members, clients := h.replica.Config(), h.replica.Members(), h.replica.PeerClients()
	h.sites = watch.New(watch.Options{
		Host: s.Host, Config: config, Members: members, Client: clients, Engine: h.replica.Engine(),
		Dial: opts.Dial, Metrics: h.metrics, Log: h.log,
	})
	h.resolver = resolver.New(resolver.Options{
		Settings: s, Objects: opts.Platform.Objects, Config: config, Members: members, Client: clients, Sites: h.sites,
		Keys: gateway.Keys{Claims: s.Claims}, HasAllTickets: h.replica.Engine().Complete, UpToDate: h.replica.UpToDate,
		Metrics: h.metrics, Log: h.log,
	})
	h.gateway = gateway.New(gateway.Options{
		Settings: s, Table: opts.Platform.Table, Config: config, Members: members, Client: clients,
		UpToDate: h.replica.UpToDate, HomeRegion: h.resolver.Region, Dial: opts.Dial, Metrics: h.metrics, Log: h.log,
	})
	h.replica.OnApply(h.resolver.ApplyConfig)
	return h
}

// Addrs returns the addresses of a started host.
func (h *Host) Addrs() Addrs { return h.addrs }

// Version returns the largest number of the tickets in force on this host.
func (h *Host) Version() uint64 { return h.replica.Version() }

// Ready reports whether the host is ready to serve callers.
func (h *Host) Ready() bool { return h.replica.Ready() }

// Status returns the host's status.
func (h *Host) Status() replica.Status { return h.replica.Status() }

// Submit accepts a ticket, as replica.Submit does.
func (h *Host) Submit(ctx context.Context, t *ticket.Ticket) (state.Record, error) {
	return h.replica.Submit(ctx, t)
}

// Metrics returns the host's metrics.
func (h *Host) Metrics() *metrics.Set { return h.metrics }

// Start listens on all addresses and begins to serve.
func (h *Host) Start(ctx context.Context) error {
	ctx, h.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := h.listen(); err != nil {
		_ = h.Stop(ctx)
		return err
	}
	h.replica.Start(ctx, replica.Addrs{API: h.addrs.API, Forward: h.addrs.Forward})
	h.loops.Go(func() { h.resolver.Run(ctx) })
	h.loops.Go(func() { h.gateway.Run(ctx) })
	if h.settings.Roles.Watch {
		h.loops.Go(func() { h.sites.Run(ctx) })
	}
	evStarted.Log(h.log).Str("api", h.addrs.API).Str("forward", h.addrs.Forward).Str("peer", h.addrs.Peer).Send()
	return nil
}

func (h *Host) listen() error {
	peers := h.replica.PeerServer()
	if err := errors.CombineErrors(h.gateway.Register(peers), h.resolver.Register(peers)); err != nil {
		return err
	}
	if err := h.replica.Listen(); err != nil {
		return err
	}
	h.addrs.Peer = peers.Addr()
	if err := h.listenAPI(); err != nil {
		return err
	}
	if !h.settings.Roles.Forward {
		return nil
	}
	var err error
	h.addrs.Forward, err = h.gateway.Listen(h.settings.Listen.Forward)
	return err
}

func (h *Host) listenAPI() error {
	l, err := net.Listen("tcp", h.settings.Listen.API)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	h.addrs.API = l.Addr().String()
	h.api = &http.Server{Handler: h.apiRouter(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = h.api.Serve(l) }()
	return nil
}

// apiRouter returns the handler of the API: look-ups, the operators' calls, health checks
// and metrics.
func (h *Host) apiRouter() http.Handler {
	r := mux.NewRouter()
	if h.settings.Roles.Lookup {
		h.resolver.AddRoutes(r)
	}
	h.replica.AddRoutes(r)
	h.gateway.AddRoutes(r)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.HandleFunc("/v1/explain/{request}", h.handleExplain).Methods(http.MethodGet)
	r.Handle("/debug/vars", h.metrics)
	return r
}

func (h *Host) handleExplain(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["request"]
	lines := h.recent.Lines(id)
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

// Stop shuts the host down gracefully: it removes the host from look-up answers, waits until
// callers have refreshed their cached answers, and waits for the requests in flight. When ctx
// ends or the time limit in the settings passes, it aborts the remaining requests and returns
// an error marked drain.ErrAborted.
func (h *Host) Stop(ctx context.Context) error {
	err := h.gateway.Drain(ctx)
	h.close()
	evStopped.Log(h.log).Send()
	return err
}

// Kill stops the host at once, as a crash does, and aborts the requests in flight.
func (h *Host) Kill() {
	h.gateway.CloseConnections()
	h.close()
}

func (h *Host) close() {
	h.cancel()
	h.loops.Wait()
	if h.api != nil {
		_ = h.api.Close()
	}
	h.replica.Close()
	h.gateway.Close()
}
