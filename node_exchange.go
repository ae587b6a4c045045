package quetzalknot

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/connection/caller"
	"quetzalknot/process/drain"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/quarantine"
	"quetzalknot/request/admit"
	"quetzalknot/request/claim"
	"quetzalknot/request/forward"
	"quetzalknot/request/trace"
	"quetzalknot/version/lookup"
)

var evManyCallers = eventlog.Define(4006, zerolog.WarnLevel, "connection refused over the limit")

// keyPeriods is how many periods there are in the time for which a key is known.
const keyPeriods = 4

// headerSlack is how much larger a header the server reads than the limit, so that
// one over the limit gets an answer with a verdict.
const headerSlack = 4

// exchange holds what a node needs to exchange requests with targets safely.
type exchange struct {
	quarantine *quarantine.List
	spreader   *quarantine.Spreader
	claims     *claim.Claims
	recorder   *trace.Recorder
	callers    *http.Server
}

// newExchange sets up the forwarding of requests.
func (n *Node) newExchange(admitter *admit.Admitter) {
	x := &n.exchange
	x.quarantine = quarantine.New(nil)
	x.spreader = quarantine.NewSpreader(x.quarantine, n.clients, n.peerAddrs)
	x.recorder = trace.NewRecorder()
	cfg := n.settings.Claims
	x.claims = claim.New(claim.Options{
		Self:  n.owner,
		Table: n.platform.Table, Keep: cfg.Keep(), Keys: cfg.Keys, AnswerBytes: cfg.AnswerBytes,
		Hosts: func() int { return max(1, len(n.members.Live())) },
	}, n.metrics, n.log)
	n.metrics.Gauge("quarantine.requests", x.quarantine.Count)
	n.forward = forward.New(&n.config, admitter, n.pool, n.metrics, n.log, forward.Options{
		Limits: n.settings.Limits, Host: n.settings.Host.Name, Owners: n, Claims: x.claims,
		Quarantine: x.quarantine, Spread: x.spreader.Push, Recorder: x.recorder, Leaving: n.leaving, Owned: n.ownsSuspects,
	})
}

// ownsSuspects reports whether this host runs suspects on the target at a position of
// its service. Positions are dealt out in turn, so that each host has some to spare.
func (n *Node) ownsSuspects(position int) bool {
	names := []string{n.settings.Host.Name}
	for _, m := range n.members.Live() {
		if m.Host != n.settings.Host.Name {
			names = append(names, m.Host)
		}
	}
	slices.Sort(names)
	return names[position%len(names)] == n.settings.Host.Name
}

// registerExchange adds the services for other hosts.
func (n *Node) registerExchange() error {
	return n.peers.Register(quarantine.ServiceName, quarantine.NewService(n.exchange.quarantine, n.exchange.spreader.PassOn))
}

// startExchange runs the loops.
func (n *Node) startExchange(ctx context.Context) {
	n.loops.Go(func() { n.exchange.claims.Run(ctx) })
	n.loops.Go(func() { n.exchange.spreader.Run(ctx) })
}

// serveCallers listens for callers' requests.
func (n *Node) serveCallers(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	limits := n.settings.Limits
	limited := caller.NewListener(l, limits.Connections)
	refused := n.metrics.Counter("forward.refused_connections")
	limited.OnRefuse = func(remote net.Addr) {
		refused.Add(1)
		evManyCallers.Log(n.log).Stringer("caller", remote).Int("limit", limits.Connections).Send()
	}
	n.exchange.callers = &http.Server{
		Handler: n.forward, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: headerSlack * limits.HeaderBytes,
	}
	go func() { _ = n.exchange.callers.Serve(limited) }()
	return l.Addr().String(), nil
}

// keyPrefix returns the beginning of the idempotency keys that an entry host's
// process runs.
func (n *Node) keyPrefix(h lookup.Host) string {
	if h.Incarnation == 0 {
		return ""
	}
	return claim.Prefix(claim.Owner{Host: h.Name, Incarnation: h.Incarnation}, time.Now())
}

// keyPeriod names the time in which a cached look-up answer may be used for new keys.
// It changes a few times while a key is known, so that no caller makes keys that are
// too old from the start.
func (n *Node) keyPeriod() string {
	length := max(1, int64(n.settings.Claims.Keep()/keyPeriods/time.Second))
	return strconv.FormatInt(time.Now().Unix()/length, 36)
}

// ForwardAddr implements forward.Owners. It knows hosts that are about to stop too.
func (n *Node) ForwardAddr(o claim.Owner) (string, bool) {
	e, ok := n.members.Entry(o.Host)
	if !ok || e.Member.Incarnation != o.Incarnation {
		return "", false
	}
	return e.Member.ForwardAddr, true
}

// owner returns this process as the owner of keys. Its host is empty before the
// process is a member.
func (n *Node) owner() claim.Owner {
	self := n.members.Self()
	return claim.Owner{Host: self.Host, Incarnation: self.Incarnation}
}

// leaving reports whether this host is about to stop.
func (n *Node) leaving() bool { return n.members.Self().Leaving }

// peerAddrs returns the peer addresses of the other hosts that can be reached.
func (n *Node) peerAddrs() []string {
	var addrs []string
	for _, m := range n.members.Reachable() {
		addrs = append(addrs, m.PeerAddr)
	}
	return addrs
}

// drain leaves the look-ups, waits, and lets every request end.
func (n *Node) drain(ctx context.Context) error {
	stop := n.settings.Stop
	return drain.Run(ctx, n.log, drain.Steps{
		Leave: func(context.Context) { n.members.SetLeaving() }, LookupWait: stop.LookupWait(), Limit: stop.Limit(),
		Close: n.closeCallers, Cut: func() { _ = n.exchange.callers.Close() }, InFlight: n.forward.InFlight,
	})
}

func (n *Node) closeCallers(ctx context.Context) error {
	if err := n.exchange.callers.Shutdown(ctx); err != nil {
		return err
	}
	n.exchange.claims.Flush(ctx)
	return nil
}
