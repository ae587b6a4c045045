package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/rpc"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"quetzalknot/platform"
	"quetzalknot/platform/memory"
	"quetzalknot/process/membership"
	"quetzalknot/process/metrics"
	"quetzalknot/version/state"
	"quetzalknot/version/store"
)

var errLost = errors.New("message lost")

// network is a fake peer network that hosts call through a hostClient. It encodes messages
// like the real one and can lose messages and break links. Addresses are host names.
type network struct {
	mu    sync.Mutex
	hosts map[string]*service
	// broken reports whether a message from one host to another is lost.
	broken func(from, to string) bool
	calls  int
	// lost holds the methods of which all requests are lost.
	lost map[string]bool
	// record is set while calls are written to log.
	record bool
	log    []callRecord
}

func newNetwork() *network {
	return &network{hosts: make(map[string]*service), broken: func(string, string) bool { return false }}
}

func (n *network) setBroken(broken func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.broken = broken
}

// hostClient is the peer.RPCClient of one host.
type hostClient struct {
	net  *network
	from string
}

func (c hostClient) Call(ctx context.Context, addr, method string, args, reply any) error {
	c.net.mu.Lock()
	c.net.calls++
	callee := c.net.hosts[addr]
	requestLost, replyLost := c.net.broken(c.from, addr), c.net.broken(addr, c.from)
	requestLost = requestLost || c.net.lost[method]
	if c.net.record {
		c.net.log = append(c.net.log, callRecord{time.Now(), c.from, addr, method, requestLost, replyLost})
	}
	c.net.mu.Unlock()
	if callee == nil {
		return errors.New("connection refused")
	}
	if requestLost {
		<-ctx.Done()
		return errLost
	}
	time.Sleep(time.Duration(1+rand.IntN(35)) * time.Millisecond)
	response, err := callee.dispatch(method, encode(args))
	if replyLost {
		<-ctx.Done()
		return errLost
	}
	if err != nil {
		return rpc.ServerError(err.Error())
	}
	return cbor.Unmarshal(response, reply)
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// dispatch calls a method by reflection, as net/rpc does.
func (s *service) dispatch(method string, args []byte) ([]byte, error) {
	m := reflect.ValueOf(s).MethodByName(method[len(serviceName)+1:])
	in, out := reflect.New(m.Type().In(0).Elem()), reflect.New(m.Type().In(1).Elem())
	if err := cbor.Unmarshal(args, in.Interface()); err != nil {
		return nil, err
	}
	if err, _ := m.Call([]reflect.Value{in, out})[0].Interface().(error); err != nil {
		return nil, err
	}
	return encode(out.Interface()), nil
}

// host is an entry host on the fake network.
type host struct {
	name    string
	state   *state.State
	tickets *Tickets
	members *membership.Members
	engine  *Engine
	poller  *Poller
	stop    func()
}

// cluster is a set of hosts that share a network and a platform.
type cluster struct {
	net      *network
	platform *platform.Platform
	table    *switchableTable
	hosts    []*host
	// prepare runs before a host starts. May be nil.
	prepare func(i int, h *host)
}

// switchableTable is a table service that can be made unavailable.
type switchableTable struct {
	platform.Table
	mu    sync.Mutex
	down  bool
	calls int
	// readOnly makes only writes fail.
	readOnly bool
	// ticketWrites counts the commits of hosts that write a ticket.
	ticketWrites int
}

func (s *switchableTable) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *switchableTable) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return platform.ErrUnavailable
	}
	return nil
}

func (s *switchableTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := s.check(); err != nil {
		return platform.Row{}, err
	}
	return s.Table.Get(ctx, key)
}

func (s *switchableTable) Changes(ctx context.Context, prefix string, after int64, limit int) (platform.Changes, error) {
	if err := s.check(); err != nil {
		return platform.Changes{}, err
	}
	return s.Table.Changes(ctx, prefix, after, limit)
}

func (s *switchableTable) Commit(ctx context.Context, c []platform.Condition, w []platform.Write) (int64, error) {
	if err := s.check(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	readOnly := s.readOnly
	if slices.ContainsFunc(w, func(w platform.Write) bool { return strings.HasPrefix(w.Key, "ticket/") }) {
		s.ticketWrites++
	}
	s.mu.Unlock()
	if readOnly {
		return 0, platform.ErrUnavailable
	}
	return s.Table.Commit(ctx, c, w)
}

func newCluster() *cluster {
	p := memory.New()
	c := &cluster{net: newNetwork(), platform: &p, table: &switchableTable{Table: p.Table}}
	p.Table = c.table
	return c
}

// start adds a host. Its failure domain and region are derived from its number.
func (c *cluster) start(ctx context.Context, i int, seeds ...string) *host {
	h := &host{name: fmt.Sprintf("h%d", i), state: state.New(), members: membership.New()}
	h.tickets = NewTickets(h.state, func() {})
	h.engine = New(Config{Members: h.members, Client: hostClient{c.net, h.name}, Metrics: metrics.NewSet(), Log: zerolog.New(io.Discard)})
	h.engine.Register(TicketsTopic, h.tickets)
	if c.prepare != nil {
		c.prepare(i, h)
	}
	rows := membership.NewRows(c.table)
	h.poller = NewPoller(h.engine, h.tickets, h.state, Sources{
		Store: store.New(c.table), Rows: rows, Snapshots: store.NewSnapshots(c.platform.Objects), Seeds: seeds,
	})
	c.net.mu.Lock()
	c.net.hosts[h.name] = &service{engine: h.engine}
	c.net.mu.Unlock()
	h.members.Start(membership.Member{
		Host: h.name, PeerAddr: h.name, Incarnation: rows.NextIncarnation(ctx, h.name, time.Now()),
		FailureDomain: fmt.Sprint("d", i%6), Region: fmt.Sprint("r", i%6/2),
	}, func(delta []byte) { h.engine.Publish(MembersTopic, delta) })
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { h.engine.Run(ctx) })
	running.Go(func() { h.poller.Run(ctx) })
	h.stop = func() {
		c.net.mu.Lock()
		delete(c.net.hosts, h.name)
		c.net.mu.Unlock()
		cancel()
		h.engine.Close()
		running.Wait()
	}
	c.hosts = append(c.hosts, h)
	return h
}

func (c *cluster) startAll(ctx context.Context, n int) {
	for i := range n {
		c.start(ctx, i)
	}
}

func (c *cluster) stopAll() {
	for _, h := range c.hosts {
		h.stop()
	}
}

func testTicket(number uint64) state.Record {
	key := state.Key{Kind: state.KindLeaving, Name: fmt.Sprint("host/x", number)}
	body := json.RawMessage(fmt.Sprintf(`{"kind":"host","name":"x%d"}`, number))
	return state.Record{Number: number, Operator: "anna", Content: fmt.Sprint(number), Objects: []state.Object{{Key: key, Body: body}}}
}

// acceptDirectly writes a ticket to the table service directly, without a host.
func (c *cluster) acceptDirectly(t *testing.T, number uint64) state.Record {
	t.Helper()
	r, err := store.New(c.table.Table).Submit(t.Context(), testTicket(number))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// submit adds a ticket on one host, as if the ticket had been accepted through it.
func (h *host) submit(r state.Record) { h.engine.Publish(TicketsTopic, h.tickets.Add(r)) }

// memoryTable returns the table below those that tests put in front of it.
func (c *cluster) memoryTable() *memory.Table {
	return c.platform.Table.(*switchableTable).Table.(*memory.Table)
}

func (c *cluster) allHaveTicket(number uint64) bool {
	for _, h := range c.hosts {
		if h.state.Newest() < number {
			return false
		}
	}
	return true
}

func eventually(t *testing.T, within time.Duration, description string, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < within {
		if condition() {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition not met within %v: %s", within, description)
	return 0
}

// run runs a test with a fake clock.
func run(t *testing.T, test func(t *testing.T)) { synctest.Test(t, test) }

func (c *cluster) waitConverged(t *testing.T) {
	t.Helper()
	eventually(t, 30*time.Second, "all hosts know all others and are up to date", func() bool {
		for _, h := range c.hosts {
			if len(h.members.Live()) != len(c.hosts) || !h.engine.UpToDate() {
				return false
			}
		}
		return true
	})
}
