// Package spread measures the spread of tickets and members between hosts: many
// hosts in one process, each with its own server and connections on loopback, over
// one in-memory platform.
package spread

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

// Topology of the measured hosts: the design size's regions and failure domains,
// or today's where there are few hosts.
const (
	designRegions = 6
	designDomains = 22
	todayRegions  = 3
	todayDomains  = 6
	fewHosts      = 12
)

var errLost = errors.New("message lost")

// table is an in-memory table service that can be down and counts its calls.
type table struct {
	platform.Table
	down          atomic.Bool
	reads, writes atomic.Int64
}

// Get implements platform.Table.
func (t *table) Get(ctx context.Context, key string) (platform.Row, error) {
	t.reads.Add(1)
	if t.down.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return t.Table.Get(ctx, key)
}

// Changes implements platform.Table.
func (t *table) Changes(ctx context.Context, prefix string, after int64, limit int) (platform.Changes, error) {
	t.reads.Add(1)
	if t.down.Load() {
		return platform.Changes{}, platform.ErrUnavailable
	}
	return t.Table.Changes(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (t *table) Commit(ctx context.Context, c []platform.Condition, w []platform.Write) (int64, error) {
	t.writes.Add(1)
	if t.down.Load() {
		return 0, platform.ErrUnavailable
	}
	return t.Table.Commit(ctx, c, w)
}

// lossy loses a share of the calls of one host: half of them before they arrive,
// half of them after they were run.
type lossy struct {
	peer.Caller
	// share is in thousandths.
	share *atomic.Int64
	mu    sync.Mutex
	rng   *rand.Rand
}

// Call implements peer.Caller.
func (l *lossy) Call(ctx context.Context, addr, method string, args, reply any) error {
	l.mu.Lock()
	there := l.rng.Int64N(1000) < l.share.Load()
	back := l.rng.Int64N(1000) < l.share.Load()
	l.mu.Unlock()
	if there {
		<-ctx.Done()
		return errLost
	}
	err := l.Caller.Call(ctx, addr, method, args, reply)
	if back {
		<-ctx.Done()
		return errLost
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
	clients *peer.Clients
	stop    func()

	mu sync.Mutex
	// arrived is when each ticket was in force.
	arrived map[uint64]time.Time
	holder  state.Holder
}

// fleet is the measured hosts.
type fleet struct {
	ctx      context.Context
	identity *peer.Identity
	rng      *rand.Rand
	table    *table
	objects  platform.Objects
	loss     atomic.Int64
	hosts    []*host
	// regions and domains are how many the hosts stand in.
	regions, domains int
	seeds            []string
}

func newFleet(ctx context.Context, identity *peer.Identity, seed uint64, size int) *fleet {
	f := &fleet{
		ctx: ctx, identity: identity, rng: rand.New(rand.NewPCG(seed, seed)),
		table: &table{Table: &memory.Table{}}, objects: &memory.Objects{},
		regions: designRegions, domains: designDomains,
	}
	if size <= fewHosts {
		f.regions, f.domains = todayRegions, todayDomains
	}
	return f
}

// start adds a host and returns it as soon as it runs.
func (f *fleet) start() (*host, error) {
	i := len(f.hosts)
	h := &host{
		name: fmt.Sprintf("h%03d", i), state: state.New(), members: membership.New(),
		server: peer.NewServer(f.identity), clients: peer.NewClients(f.identity, (&net.Dialer{}).DialContext),
		arrived: make(map[uint64]time.Time),
	}
	caller := &lossy{Caller: h.clients, share: &f.loss, rng: rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64()))}
	h.tickets = spread.NewTickets(h.state, h.enterForce)
	h.engine = spread.New(spread.Config{Members: h.members, Caller: caller, Metrics: metrics.NewSet(), Log: zerolog.New(io.Discard)})
	h.engine.Register(spread.TicketsTopic, h.tickets)
	if err := h.engine.Serve(h.server); err != nil {
		return nil, err
	}
	if err := h.server.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	rows := membership.NewRows(f.table)
	poller := spread.NewPoller(h.engine, h.tickets, h.state, spread.Sources{
		Store: store.New(f.table), Rows: rows, Snapshots: store.NewSnapshots(f.objects), Seeds: f.seeds,
	})
	domain := i % f.domains
	h.members.Start(membership.Member{
		Host: h.name, PeerAddr: h.server.Addr(), ForwardAddr: "127.0.0.1:8080", APIAddr: "127.0.0.1:8081",
		Incarnation: rows.Incarnation(f.ctx, h.name, time.Now()), FailureDomain: fmt.Sprintf("domain-%02d", domain),
		Region: fmt.Sprintf("region-%d", domain*f.regions/f.domains),
	}, func(delta []byte) { h.engine.Publish(spread.MembersTopic, delta) })
	f.run(h, poller)
	f.hosts = append(f.hosts, h)
	return h, nil
}

func (f *fleet) run(h *host, poller *spread.Poller) {
	ctx, cancel := context.WithCancel(f.ctx)
	var loops sync.WaitGroup
	loops.Go(func() { h.engine.Run(ctx) })
	loops.Go(func() { poller.Run(ctx) })
	h.stop = func() {
		cancel()
		_ = h.server.Close() // as when the process dies
		h.engine.Close()
		h.clients.Close()
		loops.Wait()
	}
}

// enterForce builds the snapshot as a node does and notes the time.
func (h *host) enterForce() {
	h.mu.Lock()
	defer h.mu.Unlock()
	snap, err := h.state.Snapshot()
	if err != nil {
		return
	}
	h.holder.Store(snap)
	now := time.Now()
	for _, n := range h.state.Numbers() {
		if _, known := h.arrived[n]; !known {
			h.arrived[n] = now
		}
	}
}

func (h *host) arrivedAt(number uint64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.arrived[number]
	return at, ok
}

func (f *fleet) stopAll() {
	var stopping sync.WaitGroup
	for _, h := range f.hosts {
		stopping.Go(h.stop)
	}
	stopping.Wait()
}

// settled reports whether every host knows all others and is fresh.
func (f *fleet) settled() bool {
	for _, h := range f.hosts {
		if len(h.members.Live()) != len(f.hosts) || !h.engine.Fresh() || !h.engine.Whole() {
			return false
		}
	}
	return true
}

// bytes returns what all hosts sent, counted once at the sender.
func (f *fleet) traffic() (bytes, messages int64) {
	for _, h := range f.hosts {
		bytes += h.server.Traffic.BytesSent.Load() + h.clients.Traffic.BytesSent.Load()
		messages += h.server.Traffic.MessagesSent.Load() + h.clients.Traffic.MessagesSent.Load()
	}
	return bytes, messages
}

// waitFor waits until holds is true and returns how long that took.
func waitFor(ctx context.Context, within time.Duration, holds func() bool) (time.Duration, error) {
	began := time.Now()
	for !holds() {
		if time.Since(began) > within {
			return 0, errors.Newf("not within %v", within)
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	return time.Since(began), nil
}
