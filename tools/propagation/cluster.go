// Package propagation measures how tickets and membership propagate between hosts by
// gossip. It runs many hosts in one process, each with its own server and loopback
// connections, on one in-memory platform.
package propagation

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/platform"
	"quetzalknot/platform/memory"
	"quetzalknot/process/membership"
	"quetzalknot/process/metrics"
	"quetzalknot/process/peer"
	"quetzalknot/version/spread"
	"quetzalknot/version/state"
	"quetzalknot/version/store"
)

// Topology of the measured hosts: the numbers of regions and failure domains of the
// design size, or those of the current deployment for up to maxCurrentHosts hosts.
const (
	designRegions   = 6
	designDomains   = 22
	currentRegions  = 3
	currentDomains  = 6
	maxCurrentHosts = 12
)

var errMessageLost = errors.New("message lost")

// countingTable is an in-memory table service that counts its calls and can be made
// unavailable.
type countingTable struct {
	platform.Table
	unavailable   atomic.Bool
	reads, writes atomic.Int64
}

// Get implements platform.Table.
func (t *countingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	t.reads.Add(1)
	if t.unavailable.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return t.Table.Get(ctx, key)
}

// Changes implements platform.Table.
func (t *countingTable) Changes(ctx context.Context, prefix string, after int64, limit int) (platform.Changes, error) {
	t.reads.Add(1)
	if t.unavailable.Load() {
		return platform.Changes{}, platform.ErrUnavailable
	}
	return t.Table.Changes(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (t *countingTable) Commit(ctx context.Context, c []platform.Condition, w []platform.Write) (int64, error) {
	t.writes.Add(1)
	if t.unavailable.Load() {
		return 0, platform.ErrUnavailable
	}
	return t.Table.Commit(ctx, c, w)
}

// lossyClient loses a share of the requests of one host and the same share of the
// responses. A lost message shows as an error once ctx is done; if the response was lost,
// the call has been executed.
type lossyClient struct {
	peer.RPCClient
	// lossPerMille is the probability of a loss in each direction, in thousandths.
	lossPerMille *atomic.Int64
	mu           sync.Mutex
	rng          *rand.Rand
}

// Call implements peer.RPCClient.
func (l *lossyClient) Call(ctx context.Context, addr, method string, args, reply any) error {
	l.mu.Lock()
	requestLost := l.rng.Int64N(1000) < l.lossPerMille.Load()
	responseLost := l.rng.Int64N(1000) < l.lossPerMille.Load()
	l.mu.Unlock()
	if requestLost {
		<-ctx.Done()
		return errMessageLost
	}
	err := l.RPCClient.Call(ctx, addr, method, args, reply)
	if responseLost {
		<-ctx.Done()
		return errMessageLost
	}
	return err
}

// host is one measured host.
type host struct {
	name    string
	state   *state.State
	members *membership.Members
	tickets *spread.Tickets
	engine  *spread.Engine
	server  *peer.Server
	clients *peer.ClientPool
	stop    func()

	mu sync.Mutex
	// inForceAt is the time at which each ticket came into force on this host.
	inForceAt map[uint64]time.Time
	holder    state.Holder
}

// cluster holds the measured hosts and the platform that they share.
type cluster struct {
	ctx      context.Context
	identity *peer.Identity
	rng      *rand.Rand
	table    *countingTable
	objects  platform.Objects
	// lossPerMille is the loss probability that all lossyClients share, in thousandths.
	lossPerMille atomic.Int64
	hosts        []*host
	// regions and domains are the numbers of regions and failure domains of the hosts.
	regions, domains int
	seeds            []string
}

func newCluster(ctx context.Context, identity *peer.Identity, seed uint64, size int) *cluster {
	c := &cluster{
		ctx: ctx, identity: identity, rng: rand.New(rand.NewPCG(seed, seed)),
		table: &countingTable{Table: &memory.Table{}}, objects: &memory.Objects{},
		regions: designRegions, domains: designDomains,
	}
	if size <= maxCurrentHosts {
		c.regions, c.domains = currentRegions, currentDomains
	}
	return c
}

// start adds a host and returns it without waiting until it has synchronised.
func (c *cluster) start() (*host, error) {
	i := len(c.hosts)
	h := &host{
		name: fmt.Sprintf("h%03d", i), state: state.New(), members: membership.New(),
		server: peer.NewServer(c.identity), clients: peer.NewClientPool(c.identity, (&net.Dialer{}).DialContext),
		inForceAt: make(map[uint64]time.Time),
	}
	client := &lossyClient{RPCClient: h.clients, lossPerMille: &c.lossPerMille, rng: rand.New(rand.NewPCG(c.rng.Uint64(), c.rng.Uint64()))}
	h.tickets = spread.NewTickets(h.state, h.applyTickets)
	h.engine = spread.New(spread.Config{Members: h.members, Client: client, Metrics: metrics.NewSet(), Log: zerolog.New(io.Discard)})
	h.engine.Register(spread.TicketsTopic, h.tickets)
	if err := h.engine.Serve(h.server); err != nil {
		return nil, err
	}
	if err := h.server.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	rows := membership.NewRows(c.table)
	poller := spread.NewPoller(h.engine, h.tickets, h.state, spread.Sources{
		Store: store.New(c.table), Rows: rows, Snapshots: store.NewSnapshots(c.objects), Seeds: c.seeds,
	})
	domain := i % c.domains
	h.members.Start(membership.Member{
		Host: h.name, PeerAddr: h.server.Addr(), ForwardAddr: "127.0.0.1:8080", APIAddr: "127.0.0.1:8081",
		Incarnation: rows.NextIncarnation(c.ctx, h.name, time.Now()), FailureDomain: fmt.Sprintf("domain-%02d", domain),
		Region: fmt.Sprintf("region-%d", domain*c.regions/c.domains),
	}, func(delta []byte) { h.engine.Publish(spread.MembersTopic, delta) })
	c.run(h, poller)
	c.hosts = append(c.hosts, h)
	return h, nil
}

func (c *cluster) run(h *host, poller *spread.Poller) {
	ctx, cancel := context.WithCancel(c.ctx)
	var loops sync.WaitGroup
	loops.Go(func() { h.engine.Run(ctx) })
	loops.Go(func() { poller.Run(ctx) })
	h.stop = func() {
		cancel()
		_ = h.server.Close() // the connections break as if the process had died
		h.engine.Close()
		h.clients.Close()
		loops.Wait()
	}
}

// applyTickets builds the snapshot as a real entry host does, and records the time at
// which new tickets came into force.
func (h *host) applyTickets() {
	h.mu.Lock()
	defer h.mu.Unlock()
	snap, err := h.state.Snapshot()
	if err != nil {
		return
	}
	h.holder.Store(snap)
	now := time.Now()
	for _, n := range h.state.Numbers() {
		if _, known := h.inForceAt[n]; !known {
			h.inForceAt[n] = now
		}
	}
}

func (h *host) inForceTime(number uint64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.inForceAt[number]
	return at, ok
}

func (c *cluster) stopAll() {
	var stopping sync.WaitGroup
	for _, h := range c.hosts {
		stopping.Go(h.stop)
	}
	stopping.Wait()
}

// converged reports whether every host has all others as live members, and its state is
// complete and up to date.
func (c *cluster) converged() bool {
	for _, h := range c.hosts {
		if len(h.members.Live()) != len(c.hosts) || !h.engine.UpToDate() || !h.engine.Complete() {
			return false
		}
	}
	return true
}

// traffic returns the bytes and messages that all hosts have sent.
func (c *cluster) traffic() (bytes, messages int64) {
	for _, h := range c.hosts {
		bytes += h.server.Traffic.BytesSent.Load() + h.clients.Traffic.BytesSent.Load()
		messages += h.server.Traffic.MessagesSent.Load() + h.clients.Traffic.MessagesSent.Load()
	}
	return bytes, messages
}

// waitFor polls until done returns true, and returns the time that this took.
func waitFor(ctx context.Context, timeout time.Duration, done func() bool) (time.Duration, error) {
	start := time.Now()
	for !done() {
		if time.Since(start) > timeout {
			return 0, errors.Newf("not within %v", timeout)
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	return time.Since(start), nil
}
