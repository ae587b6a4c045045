package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/rpc"
	"reflect"
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

// network is a fake at the Caller interface: it encodes as the real one does and
// can lose messages and break links. Addresses are host names.
type network struct {
	mu    sync.Mutex
	hosts map[string]*service
	// broken says whether a call from one host to another is lost.
	broken func(from, to string) bool
	calls  int
}

func newNetwork() *network {
	return &network{hosts: make(map[string]*service), broken: func(string, string) bool { return false }}
}

func (n *network) setBroken(broken func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.broken = broken
}

// callerOf is the Caller of one host.
type callerOf struct {
	net  *network
	from string
}

func (c callerOf) Call(ctx context.Context, addr, method string, args, reply any) error {
	c.net.mu.Lock()
	c.net.calls++
	target := c.net.hosts[addr]
	there, back := c.net.broken(c.from, addr), c.net.broken(addr, c.from)
	c.net.mu.Unlock()
	if target == nil {
		return errors.New("connection refused")
	}
	if there {
		<-ctx.Done()
		return errLost
	}
	time.Sleep(time.Duration(1+rand.IntN(35)) * time.Millisecond)
	answer, err := target.dispatch(method, encode(args))
	if back {
		<-ctx.Done()
		return errLost
	}
	if err != nil {
		return rpc.ServerError(err.Error())
	}
	return cbor.Unmarshal(answer, reply)
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// dispatch runs a call by reflection, as net/rpc does.
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

// host is one host without sockets.
type host struct {
	name    string
	state   *state.State
	tickets *Tickets
	members *membership.Members
	engine  *Engine
	poller  *Poller
	stop    func()
}

// fleet is a number of hosts over one network and platform.
type fleet struct {
	net      *network
	platform *platform.Platform
	table    *switchable
	hosts    []*host
	// prepare runs before a host starts. May be nil.
	prepare func(i int, h *host)
}

// switchable is a table service that can be down.
type switchable struct {
	platform.Table
	mu    sync.Mutex
	down  bool
	calls int
	// readOnly refuses writes only.
	readOnly bool
}

func (s *switchable) set(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *switchable) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return platform.ErrUnavailable
	}
	return nil
}

func (s *switchable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := s.check(); err != nil {
		return platform.Row{}, err
	}
	return s.Table.Get(ctx, key)
}

func (s *switchable) Changes(ctx context.Context, prefix string, after int64, limit int) (platform.Changes, error) {
	if err := s.check(); err != nil {
		return platform.Changes{}, err
	}
	return s.Table.Changes(ctx, prefix, after, limit)
}

func (s *switchable) Commit(ctx context.Context, c []platform.Condition, w []platform.Write) (int64, error) {
	if err := s.check(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	readOnly := s.readOnly
	s.mu.Unlock()
	if readOnly {
		return 0, platform.ErrUnavailable
	}
	return s.Table.Commit(ctx, c, w)
}

func newFleet() *fleet {
	p := memory.New()
	f := &fleet{net: newNetwork(), platform: &p, table: &switchable{Table: p.Table}}
	p.Table = f.table
	return f
}

// start adds a host. Its failure domain and region follow from its number.
func (f *fleet) start(ctx context.Context, i int, seeds ...string) *host {
	h := &host{name: fmt.Sprintf("h%d", i), state: state.New(), members: membership.New()}
	h.tickets = NewTickets(h.state, func() {})
	h.engine = New(Config{Members: h.members, Caller: callerOf{f.net, h.name}, Metrics: metrics.NewSet(), Log: zerolog.New(io.Discard)})
	h.engine.Register(TicketsTopic, h.tickets)
	if f.prepare != nil {
		f.prepare(i, h)
	}
	rows := membership.NewRows(f.table)
	h.poller = NewPoller(h.engine, h.tickets, h.state, Sources{
		Store: store.New(f.table), Rows: rows, Snapshots: store.NewSnapshots(f.platform.Objects), Seeds: seeds,
	})
	f.net.mu.Lock()
	f.net.hosts[h.name] = &service{engine: h.engine}
	f.net.mu.Unlock()
	h.members.Start(membership.Member{
		Host: h.name, PeerAddr: h.name, Incarnation: rows.Incarnation(ctx, h.name, time.Now()),
		FailureDomain: fmt.Sprint("d", i%6), Region: fmt.Sprint("r", i%6/2),
	}, func(delta []byte) { h.engine.Publish(MembersTopic, delta) })
	ctx, cancel := context.WithCancel(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { h.engine.Run(ctx) })
	loops.Go(func() { h.poller.Run(ctx) })
	h.stop = func() {
		f.net.mu.Lock()
		delete(f.net.hosts, h.name)
		f.net.mu.Unlock()
		cancel()
		h.engine.Close()
		loops.Wait()
	}
	f.hosts = append(f.hosts, h)
	return h
}

func (f *fleet) startAll(ctx context.Context, n int) {
	for i := range n {
		f.start(ctx, i)
	}
}

func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		h.stop()
	}
}

func ticketOf(number uint64) state.Record {
	key := state.Key{Kind: state.KindLeaving, Name: fmt.Sprint("host/x", number)}
	body := json.RawMessage(fmt.Sprintf(`{"kind":"host","name":"x%d"}`, number))
	return state.Record{Number: number, Operator: "anna", Content: fmt.Sprint(number), Objects: []state.Object{{Key: key, Body: body}}}
}

// accept writes a ticket to the table service without any host's help.
func (f *fleet) accept(t *testing.T, number uint64) state.Record {
	t.Helper()
	r, err := store.New(f.table.Table).Submit(t.Context(), ticketOf(number))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// submit takes a ticket in at one host, as after an acceptance through it.
func (h *host) submit(r state.Record) { h.engine.Publish(TicketsTopic, h.tickets.Add(r)) }

func (f *fleet) allHave(number uint64) bool {
	for _, h := range f.hosts {
		if h.state.Newest() < number {
			return false
		}
	}
	return true
}

func eventually(t *testing.T, within time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < within {
		if holds() {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not within %v: %s", within, what)
	return 0
}

// run runs a test on a fake clock.
func run(t *testing.T, test func(t *testing.T)) { synctest.Test(t, test) }

func (f *fleet) settle(t *testing.T) {
	t.Helper()
	eventually(t, 30*time.Second, "all hosts know all others and are fresh", func() bool {
		for _, h := range f.hosts {
			if len(h.members.Live()) != len(f.hosts) || !h.engine.Fresh() {
				return false
			}
		}
		return true
	})
}
