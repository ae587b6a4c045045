// Package gateway accepts callers' requests and forwards them to targets. It combines
// admission queues, the choice of region, routing, idempotency keys and forwarding.
//
// gateway.go starts and stops the components, links.go bounds the traffic between
// regions, keys.go assigns idempotency keys to processes.
package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"quetzalknot/connection/caller"
	"quetzalknot/connection/target"
	"quetzalknot/platform"
	"quetzalknot/process/drain"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/link"
	"quetzalknot/process/membership"
	"quetzalknot/process/metrics"
	"quetzalknot/process/peer"
	"quetzalknot/process/quarantine"
	"quetzalknot/process/settings"
	"quetzalknot/process/share"
	"quetzalknot/process/slots"
	"quetzalknot/request/admit"
	"quetzalknot/request/claim"
	"quetzalknot/request/forward"
	"quetzalknot/request/latency"
	"quetzalknot/request/route"
	"quetzalknot/request/steer"
	"quetzalknot/request/trace"
	"quetzalknot/version/state"
)

var evConnectionRefused = eventlog.Define(4006, zerolog.WarnLevel, "connection refused: connection limit reached")

const (
	// readHeaderTimeout bounds how long a caller may take to send a header.
	readHeaderTimeout = 10 * time.Second
	// headerReadFactor times the header limit is how much header the HTTP server reads,
	// so that a request whose header exceeds the limit gets a response with a verdict.
	headerReadFactor = 4
)

// Options are the settings and dependencies of a Gateway.
type Options struct {
	Settings *settings.Settings
	Table    platform.Table
	Config   *state.Holder
	Members  *membership.Members
	Client   peer.RPCClient
	// UpToDate reports whether this host's configuration is known to be current.
	UpToDate func() bool
	// HomeRegion returns the region of the block that contains a caller's address, or "".
	HomeRegion func(client netip.Addr) string
	// Dial replaces the Dial method of net.Dialer. May be nil.
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Gateway serves callers' requests. It is safe for concurrent use.
type Gateway struct {
	opts       Options
	shares     *share.View
	links      *link.Links
	pool       *target.Pool
	forward    *forward.Handler
	quarantine *quarantine.List
	replicator *quarantine.Replicator
	claims     *claim.Claims
	recorder   *trace.Recorder
	// callerServer is nil until Listen.
	callerServer *http.Server
}

// New returns a gateway that does not listen yet.
func New(opts Options) *Gateway {
	g := &Gateway{opts: opts, recorder: trace.NewRecorder(), quarantine: quarantine.New(nil)}
	g.replicator = quarantine.NewReplicator(g.quarantine, opts.Client, g.peerAddrs)
	g.setUpLinks()
	cfg := opts.Settings.Claims
	g.claims = claim.New(claim.Options{
		Self: g.selfOwner, Table: opts.Table, KeyLifetime: cfg.KeyLifetime(), MaxKeys: cfg.Keys, MaxResponseBytes: cfg.AnswerBytes,
		Hosts: func() int { return max(1, len(opts.Members.Live())) },
	}, opts.Metrics, opts.Log)
	opts.Metrics.Gauge("quarantine.requests", g.quarantine.QuarantinedCount)
	g.forward = forward.New(opts.Config, g.newAdmitter(), g.pool, opts.Metrics, opts.Log, forward.Options{
		Limits: opts.Settings.Limits, Host: opts.Settings.Host.Name, Owners: g, Claims: g.claims,
		Quarantine: g.quarantine, PushMarks: g.replicator.Push, Recorder: g.recorder,
		Leaving: func() bool { return opts.Members.Self().Leaving }, OwnsSuspects: g.ownsSuspects,
		UpToDate: opts.UpToDate,
	})
	return g
}

// newAdmitter returns the admission queues in front of the choice of a region and a
// target.
func (g *Gateway) newAdmitter() *admit.Admitter {
	o := g.opts
	region := o.Settings.Host.Region
	router := route.NewRouter(slots.NewLocalLimiter(), o.Metrics, o.Log, route.WithRegion(region))
	steerer := steer.New(steer.Options{
		Next: router, Region: region, HomeRegion: o.HomeRegion, UpToDate: o.UpToDate,
		View: g.shares, LinkHasCapacity: g.linkHasCapacity, Metrics: o.Metrics, Log: o.Log,
	})
	return admit.New(steerer, latency.NewTracker(), o.Metrics, o.Log, admit.WithRegionAssigner(steerer.Assign))
}

// Register registers the RPC service that other hosts call.
func (g *Gateway) Register(s *peer.Server) error {
	return s.Register(quarantine.ServiceName, quarantine.NewService(g.quarantine, g.replicator.PushAsync))
}

// AddRoutes adds the HTTP route of recorded requests.
func (g *Gateway) AddRoutes(r *mux.Router) {
	r.Handle("/v1/trace", g.recorder).Methods(http.MethodGet)
}

// Listen starts to serve callers and returns the address. It only returns errors of
// listening.
func (g *Gateway) Listen(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	limits := g.opts.Settings.Limits
	limited := caller.NewListener(l, limits.Connections)
	refused := g.opts.Metrics.Counter("forward.refused_connections")
	limited.OnRefuse = func(remote net.Addr) {
		refused.Add(1)
		evConnectionRefused.Log(g.opts.Log).Stringer("caller", remote).Int("limit", limits.Connections).Send()
	}
	g.callerServer = &http.Server{
		Handler: g.forward, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: headerReadFactor * limits.HeaderBytes,
	}
	go func() { _ = g.callerServer.Serve(limited) }()
	return l.Addr().String(), nil
}

// Run keeps claims, quarantine marks and link shares up to date until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { g.claims.Run(ctx) })
	loops.Go(func() { g.replicator.Run(ctx) })
	g.shareLoop(ctx)
	loops.Wait()
}

// ownsSuspects reports whether this host runs suspect requests on the target at a
// position in its service. Positions are assigned to the hosts in round-robin order, so
// that each host has targets for its suspects.
func (g *Gateway) ownsSuspects(position int) bool {
	self := g.opts.Settings.Host.Name
	names := []string{self}
	for _, m := range g.opts.Members.Live() {
		if m.Host != self {
			names = append(names, m.Host)
		}
	}
	slices.Sort(names)
	return names[position%len(names)] == self
}

// peerAddrs returns the peer addresses of the other hosts that are reachable.
func (g *Gateway) peerAddrs() []string {
	var addrs []string
	for _, m := range g.opts.Members.Reachable() {
		addrs = append(addrs, m.PeerAddr)
	}
	return addrs
}

// Drain removes this host from the look-ups, waits until callers no longer use older
// look-up answers, and lets every request in flight finish. It returns drain.ErrAborted
// when ctx ended first. A gateway that does not listen has nothing to drain.
func (g *Gateway) Drain(ctx context.Context) error {
	if g.callerServer == nil {
		return nil
	}
	stop := g.opts.Settings.Stop
	return drain.Run(ctx, g.opts.Log, drain.Steps{
		Leave: func(context.Context) { g.opts.Members.SetLeaving() }, LookupWait: stop.LookupWait(), Limit: stop.TimeLimit(),
		Close: g.closeCallers, End: g.forward.EndRequests, Abort: g.CloseConnections, InFlight: g.forward.InFlight,
	})
}

func (g *Gateway) closeCallers(ctx context.Context) error {
	if err := g.callerServer.Shutdown(ctx); err != nil {
		return err
	}
	g.claims.Flush(ctx)
	return nil
}

// CloseConnections closes the callers' connections immediately.
func (g *Gateway) CloseConnections() {
	if g.callerServer != nil {
		_ = g.callerServer.Close()
	}
}

// Close closes the idle connections to targets.
func (g *Gateway) Close() { g.pool.Close() }
