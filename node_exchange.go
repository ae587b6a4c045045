package quetzalknot

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/connection/caller"
	"quetzalknot/process/drain"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/membership"
	"quetzalknot/process/peer"
	"quetzalknot/process/quarantine"
	"quetzalknot/request/admit"
	"quetzalknot/request/claim"
	"quetzalknot/request/forward"
	"quetzalknot/request/trace"
)

var (
	evManyCallers = eventlog.Define(4006, zerolog.WarnLevel, "connection refused over the limit")
	evPeerLeaves  = eventlog.Define(1306, zerolog.InfoLevel, "other host leaves the look-ups")
)

const (
	// leavingService is the name of the net/rpc service for hosts that stop.
	leavingService = "Leaving"
	// leavingFanOut is how many hosts are told at once of a stop.
	leavingFanOut = 8
	// leavingTimeout bounds the telling.
	leavingTimeout = time.Second
	// headerSlack is how much larger a header the server reads than the limit, so
	// that one over the limit gets an answer with a verdict.
	headerSlack = 4
)

// exchange holds what a node needs to exchange requests with targets safely.
type exchange struct {
	incarnation uint64
	calls       *peer.Clients
	quarantine  *quarantine.List
	spreader    *quarantine.Spreader
	claims      *claim.Claims
	recorder    *trace.Recorder
	leaving     leavingHosts
	callers     *http.Server
}

// newExchange sets up the forwarding of requests.
func (n *Node) newExchange(admitter *admit.Admitter, dial Dial) {
	x := &n.exchange
	x.incarnation = uint64(time.Now().UnixNano())
	x.calls = peer.NewClients(peer.Dial(dial))
	x.quarantine = quarantine.New(nil)
	x.spreader = quarantine.NewSpreader(x.quarantine, x.calls, n.peerAddrs)
	x.recorder = trace.NewRecorder()
	cfg := n.settings.Claims
	x.claims = claim.New(claim.Options{
		Self:  claim.Owner{Host: n.settings.Host.Name, Incarnation: x.incarnation},
		Table: n.platform.Table, Keep: cfg.Keep(), Keys: cfg.Keys, AnswerBytes: cfg.AnswerBytes,
		Hosts: func() int { return max(1, len(n.members.Live())) },
	}, n.metrics, n.log)
	n.metrics.Gauge("quarantine.requests", x.quarantine.Count)
	n.forward = forward.New(&n.config, admitter, n.pool, n.metrics, n.log, forward.Options{
		Limits: n.settings.Limits, Host: n.settings.Host.Name, Owners: n, Claims: x.claims,
		Quarantine: x.quarantine, Spread: x.spreader.Push, Recorder: x.recorder, Leaving: x.leaving.self,
	})
}

// registerExchange adds the services for other hosts.
func (n *Node) registerExchange() error {
	if err := n.peers.Register(quarantine.ServiceName, quarantine.NewService(n.exchange.quarantine, n.exchange.spreader.PassOn)); err != nil {
		return err
	}
	return n.peers.Register(leavingService, &leavingPeer{hosts: &n.exchange.leaving, log: n.log})
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

// keyPrefix returns the beginning of the idempotency keys that a member runs.
func keyPrefix(m membership.Member, now time.Time) string {
	if m.Incarnation == 0 {
		return ""
	}
	return claim.Prefix(claim.Owner{Host: m.Host, Incarnation: m.Incarnation}, now)
}

// ForwardAddr implements forward.Owners. It knows hosts that are about to stop too.
func (n *Node) ForwardAddr(o claim.Owner) (string, bool) {
	m, ok := n.members.Find(o.Host)
	if !ok || m.Incarnation != o.Incarnation {
		return "", false
	}
	return m.ForwardAddr, true
}

// peerAddrs returns the peer addresses of the other live hosts.
func (n *Node) peerAddrs() []string {
	var addrs []string
	for _, m := range n.members.Live() {
		if m.Host != n.settings.Host.Name {
			addrs = append(addrs, m.PeerAddr)
		}
	}
	return addrs
}

// leavesItself reports whether m is this process and it is about to stop.
func (n *Node) leavesItself(m membership.Member) bool {
	return n.exchange.leaving.self() && m.Host == n.settings.Host.Name
}

// drain leaves the look-ups, waits, and lets every request end.
func (n *Node) drain(ctx context.Context) error {
	stop := n.settings.Stop
	return drain.Run(ctx, n.log, drain.Steps{
		Leave: n.leave, LookupWait: stop.LookupWait(), Limit: stop.Limit(),
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

// leave announces the stop in the table service and to other hosts directly.
func (n *Node) leave(ctx context.Context) {
	n.exchange.leaving.leaveSelf()
	ctx, cancel := context.WithTimeout(ctx, leavingTimeout)
	defer cancel()
	self := n.self(time.Now())
	var calls sync.WaitGroup
	calls.Go(func() { _ = n.members.Announce(ctx, self) }) // the peers know it too
	addrs := n.peerAddrs()
	for _, addr := range addrs[:min(leavingFanOut, len(addrs))] {
		calls.Go(func() {
			args := &LeavingArgs{Host: self.Host, Incarnation: self.Incarnation}
			_ = n.exchange.calls.Call(ctx, addr, leavingService+".Tell", args, &LeavingReply{}) // the row tells it too
		})
	}
	calls.Wait()
}

// leavingHosts knows which processes are about to stop. It is safe for concurrent use.
type leavingHosts struct {
	mu    sync.Mutex
	own   bool
	hosts map[string]uint64
}

func (l *leavingHosts) self() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own
}

func (l *leavingHosts) leaveSelf() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own = true
}

func (l *leavingHosts) has(m membership.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts[m.Host] == m.Incarnation && m.Incarnation != 0
}

func (l *leavingHosts) add(host string, incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts == nil {
		l.hosts = make(map[string]uint64)
	}
	l.hosts[host] = incarnation
}

// LeavingArgs names a process that is about to stop.
type LeavingArgs struct {
	Host        string
	Incarnation uint64
}

// LeavingReply is empty.
type LeavingReply struct{}

// leavingPeer is the net/rpc service for hosts that stop.
type leavingPeer struct {
	hosts *leavingHosts
	log   zerolog.Logger
}

// Tell takes a process out of the look-ups of this host.
func (p *leavingPeer) Tell(args *LeavingArgs, _ *LeavingReply) error {
	evPeerLeaves.Log(p.log).Str("other", args.Host).Uint64("incarnation", args.Incarnation).Send()
	p.hosts.add(args.Host, args.Incarnation)
	return nil
}
