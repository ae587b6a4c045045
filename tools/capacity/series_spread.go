package capacity

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/process/digest"
	"quetzalknot/process/membership"
	"quetzalknot/process/metrics"
	"quetzalknot/process/peer"
	"quetzalknot/version/config"
	"quetzalknot/version/spread"
	"quetzalknot/version/state"
	"quetzalknot/version/ticket"
)

// spreadSeries measures what hosts send each other.
func spreadSeries() []series {
	hosts := []int{7, 114, 228, 455, 910}
	counts := []int{50, 100, 200, 400}
	return []series{
		{"members_memory", "Live heap of the members", "entry hosts", "bytes", hosts, membersMemory},
		{"heartbeat_cpu", "Processor time of exchanges between level hosts, both ends, 910 members", "exchanges", "ns", counts, exchanges(cpuOfPair)},
		{"heartbeat_bytes", "Bytes of such exchanges, both ways", "exchanges", "bytes", counts, exchanges(bytesOfPair)},
		{"ticket_push_cpu", "Processor time to push tickets of one service with 20 targets, both ends", "tickets", "ns", counts, pushes(spread.TicketsTopic, cpuOfPair)},
		{"ticket_push_bytes", "Bytes of such pushes, both ways", "tickets", "bytes", counts, pushes(spread.TicketsTopic, bytesOfPair)},
		{"report_push_cpu", "Processor time to push reports about sites, both ends", "reports", "ns", counts, pushes(digest.Topic, cpuOfPair)},
		{"report_push_bytes", "Bytes of such pushes, both ways", "reports", "bytes", counts, pushes(digest.Topic, bytesOfPair)},
		{"members_sync_bytes", "Bytes to level one differing member, both ways", "entry hosts", "bytes", hosts, memberSync},
	}
}

func memberOf(i int) membership.Member {
	h := Hosts(i + 1)[i]
	return membership.Member{
		Host: h.Name, Incarnation: uint64(time.Now().UnixNano()), Region: h.Region, FailureDomain: h.FailureDomain,
		ForwardAddr: h.Addr, APIAddr: h.API, PeerAddr: h.API,
	}
}

func membersMemory(_ context.Context, size int) (float64, error) {
	before := heapInUse()
	m := membership.New()
	m.Start(memberOf(0), func([]byte) {})
	for i := 1; i < size; i++ {
		m.MergeRow(memberOf(i))
	}
	bytes := heapInUse() - before
	runtime.KeepAlive(m)
	return float64(bytes), nil
}

// end is one host of a pair that talks over loopback.
type end struct {
	members *membership.Members
	tickets *spread.Tickets
	reports *digest.Reports
	engine  *spread.Engine
	server  *peer.Server
	clients *peer.Clients
}

func newEnd(members []membership.Member) (*end, error) {
	e := &end{members: membership.New(), reports: digest.New(time.Now), server: peer.NewServer(nil), clients: peer.NewClients(nil, dialLoopback)}
	e.tickets = spread.NewTickets(state.New(), func() {})
	e.engine = spread.New(spread.Config{Members: e.members, Caller: e.clients, Metrics: metrics.NewSet(), Log: zerolog.Nop()})
	e.engine.Register(spread.TicketsTopic, e.tickets)
	e.engine.Register(digest.Topic, e.reports)
	if err := e.engine.Serve(e.server); err != nil {
		return nil, err
	}
	if err := e.server.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	e.members.Start(members[0], func([]byte) {})
	for _, m := range members[1:] {
		e.members.MergeRow(m)
	}
	return e, nil
}

// dialLoopback refuses every other address: the members beside the pair do not exist.
func dialLoopback(ctx context.Context, network, addr string) (net.Conn, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || !ap.Addr().IsLoopback() {
		return nil, errors.Newf("%s is not a loopback address", addr)
	}
	return new(net.Dialer).DialContext(ctx, network, addr)
}

func (e *end) close() {
	e.engine.Close()
	e.clients.Close()
	_ = e.server.Close()
}

// pair are two hosts that know the same members.
type pair struct{ a, b *end }

func newPair(hosts int) (*pair, error) {
	members := make([]membership.Member, hosts)
	for i := range members {
		members[i] = memberOf(i)
	}
	a, err := newEnd(members)
	if err != nil {
		return nil, err
	}
	swapped := append([]membership.Member{members[1], members[0]}, members[2:]...)
	b, err := newEnd(swapped)
	if err != nil {
		a.close()
		return nil, err
	}
	return &pair{a: a, b: b}, nil
}

func (p *pair) close() {
	p.a.close()
	p.b.close()
}

// bytes returns what both ends have sent.
func (p *pair) bytes() float64 {
	return float64(p.a.clients.Traffic.BytesSent.Load() + p.b.server.Traffic.BytesSent.Load())
}

// cost is a way to read what a pair has spent so far.
type cost func(p *pair) float64

func cpuOfPair(*pair) float64     { return float64(cpuTime().Nanoseconds()) }
func bytesOfPair(p *pair) float64 { return p.bytes() }

// spent returns what work costs, the least of several runs after one that opens the connection.
func spent(p *pair, c cost, repeats int, work func() error) (float64, error) {
	if err := work(); err != nil {
		return 0, err
	}
	var err error
	least := least(repeats, func() float64 {
		before := c(p)
		if workErr := work(); workErr != nil {
			err = workErr
		}
		return c(p) - before
	})
	return least, err
}

func exchanges(c cost) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, size int) (float64, error) {
		p, err := newPair(910)
		if err != nil {
			return 0, err
		}
		defer p.close()
		return spent(p, c, 3, func() error {
			for range size {
				if err := p.a.engine.Exchange(ctx, p.b.server.Addr()); err != nil {
					return err
				}
			}
			return nil
		})
	}
}

// pushes sends deltas one by one. Each is new to the receiver.
func pushes(topic string, c cost) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, size int) (float64, error) {
		p, err := newPair(2)
		if err != nil {
			return 0, err
		}
		defer p.close()
		next := 0
		return spent(p, c, 3, func() error {
			for range size {
				next++
				delta, err := p.a.delta(topic, next)
				if err != nil {
					return err
				}
				args := spread.PushArgs{From: "h000", Topic: topic, Delta: delta}
				if err := p.a.clients.Call(ctx, p.b.server.Addr(), "Spread.Push", &args, &spread.Empty{}); err != nil {
					return err
				}
			}
			return nil
		})
	}
}

func (e *end) delta(topic string, n int) ([]byte, error) {
	if topic == digest.Topic {
		return e.reports.Own(fmt.Sprint("site-", n%100), "h000", digest.Level{Own: digest.Full, Other: uint8(n)}), nil
	}
	service := config.Service{Name: "bokun"}
	for i := range 20 {
		service.Targets = append(service.Targets, config.Target{
			Name: fmt.Sprint("bokun-", i), Addr: fmt.Sprintf("10.1.0.%d:9000", i), Region: regionName(0), FailureDomain: regionName(0) + "-0", Slots: 6,
		})
	}
	t := ticket.Ticket{Number: uint64(n), Operator: "anna", Note: "a change of one service", Services: []config.Service{service}}
	record, err := t.Record(time.Now())
	if err != nil {
		return nil, err
	}
	return e.tickets.Add(record), nil
}

// memberSync makes one member differ and counts the bytes until both hosts agree.
func memberSync(ctx context.Context, size int) (float64, error) {
	p, err := newPair(max(size, 3))
	if err != nil {
		return 0, err
	}
	defer p.close()
	if err := p.a.engine.Exchange(ctx, p.b.server.Addr()); err != nil {
		return 0, err
	}
	before := p.bytes()
	p.a.members.MergeRow(memberOf(2))
	if err := p.a.engine.Exchange(ctx, p.b.server.Addr()); err != nil {
		return 0, err
	}
	return p.bytes() - before, nil
}
