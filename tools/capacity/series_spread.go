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

	"quetzalknot/process/membership"
	"quetzalknot/process/metrics"
	"quetzalknot/process/peer"
	"quetzalknot/process/sitereport"
	"quetzalknot/version/config"
	"quetzalknot/version/spread"
	"quetzalknot/version/state"
	"quetzalknot/version/ticket"
)

// spreadSeries returns the series about messages between hosts.
func spreadSeries() []series {
	hosts := []int{7, 114, 228, 455, 910}
	counts := []int{50, 100, 200, 400}
	return []series{
		{"members_memory", "Live heap of the members", "entry hosts", "bytes", hosts, membersMemory},
		{"heartbeat_cpu", "Processor time of exchanges between level hosts, both ends, 910 members", "exchanges", "ns", counts, exchangeCost(cpuOfPair)},
		{"heartbeat_bytes", "Bytes of such exchanges, both ways", "exchanges", "bytes", counts, exchangeCost(bytesOfPair)},
		{"ticket_push_cpu", "Processor time to push tickets of one service with 20 targets, both ends", "tickets", "ns", counts, pushCost(spread.TicketsTopic, cpuOfPair)},
		{"ticket_push_bytes", "Bytes of such pushes, both ways", "tickets", "bytes", counts, pushCost(spread.TicketsTopic, bytesOfPair)},
		{"report_push_cpu", "Processor time to push reports about sites, both ends", "reports", "ns", counts, pushCost(sitereport.Topic, cpuOfPair)},
		{"report_push_bytes", "Bytes of such pushes, both ways", "reports", "bytes", counts, pushCost(sitereport.Topic, bytesOfPair)},
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

// pairHost is one host of a hostPair.
type pairHost struct {
	members *membership.Members
	tickets *spread.Tickets
	reports *sitereport.Reports
	engine  *spread.Engine
	server  *peer.Server
	clients *peer.ClientPool
}

func newPairHost(members []membership.Member) (*pairHost, error) {
	h := &pairHost{members: membership.New(), reports: sitereport.New(time.Now), server: peer.NewServer(nil), clients: peer.NewClientPool(nil, dialLoopback)}
	h.tickets = spread.NewTickets(state.New(), func() {})
	h.engine = spread.New(spread.Config{Members: h.members, Client: h.clients, Metrics: metrics.NewSet(), Log: zerolog.Nop()})
	h.engine.Register(spread.TicketsTopic, h.tickets)
	h.engine.Register(sitereport.Topic, h.reports)
	if err := h.engine.Serve(h.server); err != nil {
		return nil, err
	}
	if err := h.server.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	h.members.Start(members[0], func([]byte) {})
	for _, m := range members[1:] {
		h.members.MergeRow(m)
	}
	return h, nil
}

// dialLoopback connects only to loopback addresses: the other members do not exist.
func dialLoopback(ctx context.Context, network, addr string) (net.Conn, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || !ap.Addr().IsLoopback() {
		return nil, errors.Newf("%s is not a loopback address", addr)
	}
	return new(net.Dialer).DialContext(ctx, network, addr)
}

func (h *pairHost) close() {
	h.engine.Close()
	h.clients.Close()
	_ = h.server.Close()
}

// hostPair is two hosts with the same members, connected over loopback.
type hostPair struct{ a, b *pairHost }

func newHostPair(hosts int) (*hostPair, error) {
	members := make([]membership.Member, hosts)
	for i := range members {
		members[i] = memberOf(i)
	}
	a, err := newPairHost(members)
	if err != nil {
		return nil, err
	}
	swapped := append([]membership.Member{members[1], members[0]}, members[2:]...)
	b, err := newPairHost(swapped)
	if err != nil {
		a.close()
		return nil, err
	}
	return &hostPair{a: a, b: b}, nil
}

func (p *hostPair) close() {
	p.a.close()
	p.b.close()
}

// bytes returns the number of bytes that both hosts have sent on a's connection to b.
func (p *hostPair) bytes() float64 {
	return float64(p.a.clients.Traffic.BytesSent.Load() + p.b.server.Traffic.BytesSent.Load())
}

// costFunc returns the total cost of a pair so far.
type costFunc func(p *hostPair) float64

func cpuOfPair(*hostPair) float64     { return float64(cpuTime().Nanoseconds()) }
func bytesOfPair(p *hostPair) float64 { return p.bytes() }

// measureCost runs work several times and returns its smallest cost. A first run, which
// opens the connection, is not counted.
func measureCost(p *hostPair, c costFunc, repeats int, work func() error) (float64, error) {
	if err := work(); err != nil {
		return 0, err
	}
	var err error
	smallest := minOf(repeats, func() float64 {
		before := c(p)
		if workErr := work(); workErr != nil {
			err = workErr
		}
		return c(p) - before
	})
	return smallest, err
}

func exchangeCost(c costFunc) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, size int) (float64, error) {
		p, err := newHostPair(910)
		if err != nil {
			return 0, err
		}
		defer p.close()
		return measureCost(p, c, 3, func() error {
			for range size {
				if err := p.a.engine.Exchange(ctx, p.b.server.Addr()); err != nil {
					return err
				}
			}
			return nil
		})
	}
}

// pushCost measures pushes of deltas, one by one. Each delta is new to the receiver.
func pushCost(topic string, c costFunc) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, size int) (float64, error) {
		p, err := newHostPair(2)
		if err != nil {
			return 0, err
		}
		defer p.close()
		next := 0
		return measureCost(p, c, 3, func() error {
			for range size {
				next++
				delta, err := p.a.newDelta(topic, next)
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

func (h *pairHost) newDelta(topic string, n int) ([]byte, error) {
	if topic == sitereport.Topic {
		return h.reports.AddOwn(fmt.Sprint("site-", n%100), "h000", sitereport.Level{Own: sitereport.Full, Other: uint8(n)}), nil
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
	return h.tickets.Add(record), nil
}

// memberSync changes one member on one host, and returns the bytes that both hosts send
// to synchronise it.
func memberSync(ctx context.Context, size int) (float64, error) {
	p, err := newHostPair(max(size, 3))
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
