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
}

// switchable is a table service that can be down.
type switchable struct {
	platform.Table
	mu    sync.Mutex
	down  bool
	calls int
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
	r, err := store.New(f.platform.Table).Submit(t.Context(), ticketOf(number))
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

func TestTicketReachesAllHosts(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet()
		f.startAll(t.Context(), 30)
		defer f.stopAll()
		f.settle(t)
		f.accept(t, 1)
		eventually(t, 5*time.Second, "a ticket that only the table service has", func() bool { return f.allHave(1) })
		f.hosts[3].submit(f.accept(t, 2))
		eventually(t, 5*time.Second, "a ticket pushed by a host", func() bool { return f.allHave(2) })
	})
}

func TestTicketReachesAllHostsDuringOutageAndLoss(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet()
		f.startAll(t.Context(), 30)
		defer f.stopAll()
		f.settle(t)
		r := f.accept(t, 1)
		f.table.set(true)
		f.net.setBroken(func(string, string) bool { return rand.IntN(100) < 30 })
		f.hosts[7].submit(r)
		eventually(t, 5*time.Second, "a ticket with the store down and 30% of messages lost", func() bool { return f.allHave(1) })
	})
}

func TestHostsAreNotFreshDuringOutage(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet()
		f.startAll(t.Context(), 7)
		defer f.stopAll()
		f.settle(t)
		f.table.set(true)
		eventually(t, FreshTerm+2*time.Second, "no host is fresh", func() bool {
			for _, h := range f.hosts {
				if h.engine.Fresh() {
					return false
				}
			}
			return true
		})
		f.table.set(false)
		eventually(t, 30*time.Second, "all hosts are fresh again", func() bool {
			for _, h := range f.hosts {
				if !h.engine.Fresh() {
					return false
				}
			}
			return true
		})
	})
}

// A host that starts during an outage takes its state from hosts in two failure
// domains, one of which holds old state.
func TestStartDuringOutage(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet()
		f.startAll(t.Context(), 6)
		defer f.stopAll()
		f.settle(t)
		f.accept(t, 5)
		eventually(t, 5*time.Second, "ticket 5", func() bool { return f.allHave(5) })
		f.table.set(true)
		late := f.start(t.Context(), 6, "h1", "h2")
		eventually(t, 15*time.Second, "the late host has the state", func() bool { return late.engine.Whole() && late.state.Newest() == 5 })
		if late.engine.Fresh() {
			if age, _ := late.engine.FreshAge(); age >= FreshTerm {
				t.Fatalf("fresh at age %v", age)
			}
		}
	})
}

func TestAllStartDuringOutageAreNotWhole(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet()
		f.table.set(true)
		for i := range 7 {
			f.start(t.Context(), i, "h0", "h1")
		}
		defer f.stopAll()
		time.Sleep(time.Minute)
		for _, h := range f.hosts {
			if h.engine.Whole() || h.engine.Fresh() {
				t.Fatalf("%s claims to hold a state that nobody gave it", h.name)
			}
		}
		f.table.set(false)
		eventually(t, 30*time.Second, "all hosts are whole", func() bool {
			for _, h := range f.hosts {
				if !h.engine.Whole() {
					return false
				}
			}
			return true
		})
	})
}

func (f *fleet) seenBy(h *host, name string) membership.Status {
	e, ok := h.members.Entry(name)
	if !ok {
		return membership.Dead
	}
	return e.Status
}

func TestDeadHostIsNoticed(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet()
		f.startAll(t.Context(), 12)
		defer f.stopAll()
		f.settle(t)
		f.hosts[4].stop()
		took := eventually(t, 20*time.Second, "all others count it as dead", func() bool {
			for i, h := range f.hosts {
				if i != 4 && f.seenBy(h, "h4") != membership.Dead {
					return false
				}
			}
			return true
		})
		if took < membership.SuspicionTime {
			t.Fatalf("dead after %v, before the time of suspicion", took)
		}
		f.hosts = append(f.hosts[:4], f.hosts[5:]...)
	})
}

// A link that is broken one way only makes nobody dead.
func TestAsymmetricLinkKillsNobody(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet()
		f.startAll(t.Context(), 8)
		defer f.stopAll()
		f.settle(t)
		f.net.setBroken(func(from, to string) bool { return from == "h1" && to == "h2" })
		for range 60 {
			time.Sleep(time.Second)
			for _, h := range f.hosts {
				if len(h.members.Live()) != 8 {
					t.Fatalf("%s counts %d live members", h.name, len(h.members.Live()))
				}
			}
		}
	})
}

// Regions that lose each other find each other again, and what was accepted in
// one of them arrives in the other.
func TestRegionsRejoin(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet()
		f.startAll(t.Context(), 12)
		defer f.stopAll()
		f.settle(t)
		// Hosts of the domains d0 and d1 are in region r0.
		inFirst := func(name string) bool {
			var i int
			_, err := fmt.Sscanf(name, "h%d", &i)
			return err == nil && i%6 < 2
		}
		f.net.setBroken(func(from, to string) bool { return inFirst(from) != inFirst(to) })
		f.table.set(true)
		time.Sleep(3 * time.Minute)
		r := ticketOf(3)
		f.hosts[2].submit(r)
		time.Sleep(10 * time.Second)
		if f.hosts[0].state.Newest() == 3 {
			t.Fatal("the ticket crossed the cut")
		}
		f.net.setBroken(func(string, string) bool { return false })
		eventually(t, 40*time.Second, "all are alive everywhere and have the ticket", func() bool {
			for _, h := range f.hosts {
				if len(h.members.Live()) != 12 {
					return false
				}
			}
			return f.allHave(3)
		})
	})
}

// A host that is cut off holds no lease by the time that others count it as dead.
func TestLeaseEndsBeforeDeath(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet()
		f.startAll(t.Context(), 8)
		defer f.stopAll()
		f.settle(t)
		f.net.setBroken(func(from, to string) bool { return from == "h3" || to == "h3" })
		eventually(t, 30*time.Second, "h3 is dead", func() bool {
			dead := false
			for i, h := range f.hosts {
				dead = dead || i != 3 && f.seenBy(h, "h3") == membership.Dead
			}
			if dead && f.hosts[3].members.Lease().Valid(time.Now()) {
				t.Fatal("h3 counts as dead and holds its lease")
			}
			return dead
		})
	})
}

func TestLeavingIsKnownFast(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet()
		f.startAll(t.Context(), 12)
		defer f.stopAll()
		f.settle(t)
		f.hosts[5].engine.Leave(t.Context())
		eventually(t, 2*time.Second, "no host gives out h5", func() bool {
			for _, h := range f.hosts {
				if len(h.members.Live()) != 11 {
					return false
				}
			}
			return true
		})
	})
}

// Only a few hosts of each failure domain read the head.
func TestFewHostsReadTheStore(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet()
		f.startAll(t.Context(), 60)
		defer f.stopAll()
		f.settle(t)
		time.Sleep(10 * time.Second)
		f.table.mu.Lock()
		before := f.table.calls
		f.table.mu.Unlock()
		const seconds = 60
		time.Sleep(seconds * time.Second)
		f.table.mu.Lock()
		perSecond := float64(f.table.calls-before) / seconds
		f.table.mu.Unlock()
		// 6 failure domains with 2 pollers each, one read a second and some for members.
		if most := 6.0 * pollersPerDomain * 1.6; perSecond > most {
			t.Fatalf("%.1f store operations a second, at most %.1f expected", perSecond, most)
		}
	})
}
