package partner

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalknot/process/crash"
	"quetzalknot/process/metrics"
	"quetzalknot/process/mirror"
)

// A region of the design size: 910 hosts in 6 regions and 22 failure domains.
const (
	designHosts, designDomains = 152, 4
	// designBound is the time in which a change must be in force everywhere.
	designBound = 5 * time.Second
	// wideBytes and narrowBytes are the bandwidths of links in bytes a second, an eighth of 200 and 10 Mbit/s, as the state is an eighth of
	// a large one; wideHosts hosts of a failure domain have wide ones.
	wideBytes, narrowBytes = 25_000_000 / 8, 1_250_000 / 8
	wideHosts              = 2
)

// modelLink is one direction of a host's link.
type modelLink struct {
	mu             sync.Mutex
	bytesPerSecond float64
	freeAt         time.Time
	passed         int
}

// reserve lets bytes pass after those that came before, and returns when they will have passed.
func (l *modelLink) reserve(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.passed += bytes
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt
}

// modelHost is a host with a link.
type modelHost struct {
	*Group
	in, out modelLink
}

// modelClient calls other hosts of the model over their links.
type modelClient struct {
	hosts map[string]*modelHost
	own   *modelHost
}

// Call implements peer.RPCClient.
func (c *modelClient) Call(ctx context.Context, addr, _ string, args, reply any) error {
	const latency = time.Millisecond
	other := c.hosts[addr]
	time.Sleep(latency)
	s := &service{other.Group}
	var err error
	switch request := args.(type) {
	case *Heartbeat:
		return s.Beat(request, reply.(*Heartbeat))
	case *Brief:
		return s.Brief(request, reply.(*Brief))
	case *LargeRequest:
		err = s.Large(request, reply.(*LargeReply))
	case *PartRequest:
		err = s.Part(request, reply.(*PartReply))
	case *PullRequest:
		err = s.Pull(request, reply.(*PullReply))
	}
	if err != nil {
		return err
	}
	sent, err := cbor.Marshal(args)
	if err != nil {
		return err
	}
	received, err := cbor.Marshal(reply)
	if err != nil {
		return err
	}
	end := c.own.out.reserve(len(sent))
	for _, l := range []*modelLink{&other.out, &c.own.in} {
		if at := l.reserve(len(received)); at.After(end) {
			end = at
		}
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(end)):
		return nil
	}
}

// newDesignRegion returns the hosts of a region of the design size, which know each other. The first wideHosts of each
// failure domain have wide links and read the store.
func newDesignRegion(ctx context.Context) []*modelHost {
	byAddr := make(map[string]*modelHost)
	var hosts []*modelHost
	var members []Member
	for i := range designHosts {
		h := &modelHost{}
		h.in.bytesPerSecond, h.out.bytesPerSecond = narrowBytes, narrowBytes
		capacity := 1.0
		if i < wideHosts*designDomains {
			h.in.bytesPerSecond, h.out.bytesPerSecond, capacity = wideBytes, wideBytes, 10
		}
		name := fmt.Sprintf("h%03d", i)
		self := Member{Name: name, Incarnation: 1, Region: "r", Domain: fmt.Sprintf("d%d", i%designDomains), Peer: name, Capacity: capacity}
		m := mirror.New()
		status := StoreStatus{Reachable: i < wideHosts*designDomains}
		h.Group = New(Options{
			Self: self, Tables: []string{table}, Mirror: m, Apply: func(d mirror.Delta) { m.Apply(d) }, Crashes: crash.New(),
			RequestRate: func() float64 { return 0 }, StoreStatus: func() StoreStatus { return status },
			Client: &modelClient{hosts: byAddr, own: h}, Metrics: metrics.NewSet(), Now: time.Now,
		})
		byAddr[name], hosts, members = h, append(hosts, h), append(members, self)
	}
	for _, h := range hosts {
		h.AddMembers(members)
		go h.Run(ctx)
	}
	return hosts
}

// routesText returns a desired state with a number of routes.
func routesText(routes int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	for range routes {
		fmt.Fprintf(&b, `{"resourceKind":"routes","metadata":{"name":"r-%07x"},"specification":{"host":"%06x.example","prefix":"/%08x/","kind":"safe","timeout":"2000ms","fullCredit":"500ms",`+
			`"priority":2,"service":"huvo11a","attempts":2,"sessionAffinity":true,"homeRegions":[]}},`, random.Uint32(), random.Uint32(), random.Uint64()>>32)
	}
	return b.Bytes()
}

// TestLargeStateInForceAtDesignSize guards against a desired state that grows, or changes a little once it is large, and does not
// reach all hosts of a large region in time.
func TestLargeStateInForceAtDesignSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routes, added = 525, 175
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		hosts := newDesignRegion(ctx)
		state := routesText(routes + added)
		perRoute := len(state) / (routes + added)
		small := append(bytes.Clone(state[:len(state)/2]), append([]byte("weights"), state[len(state)/2:]...)...)
		for _, h := range hosts {
			h.opts.Mirror.Apply(stateDelta(1, state[:routes*perRoute]))
		}
		time.Sleep(10 * time.Second)
		requireInForce(ctx, t, hosts, 2, state)
		requireInForce(ctx, t, hosts, 3, small)
	})
}

// requireInForce gives the readers of the store a state, one after another as their links carry it, and fails the test unless all hosts have it
// within designBound.
func requireInForce(ctx context.Context, t *testing.T, hosts []*modelHost, revision uint64, value []byte) {
	t.Helper()
	acknowledged := time.Now()
	var before []int
	for _, h := range hosts {
		before = append(before, h.in.passed)
	}
	for _, h := range hosts[:wideHosts*designDomains] {
		go func() {
			time.Sleep(time.Until(h.in.reserve(len(value) * 4 / 3)))
			h.opts.Mirror.Apply(stateDelta(revision, value))
			h.NotifyNonReaders(ctx)
		}()
	}
	var slowest time.Duration
	most := 0
	for i, h := range hosts {
		for h.opts.Mirror.Revision(table) < revision && time.Since(acknowledged) < 2*designBound {
			time.Sleep(10 * time.Millisecond)
		}
		slowest = max(slowest, time.Since(acknowledged))
		if i >= wideHosts*designDomains {
			most = max(most, h.in.passed-before[i])
		}
	}
	t.Logf("revision %d, %d bytes: slowest host %v; at most %d bytes received by a host that does not read the store", revision, len(value), slowest, most)
	if slowest > designBound {
		t.Errorf("revision %d was in force everywhere after %v only; %v are allowed", revision, slowest, designBound)
	}
}
