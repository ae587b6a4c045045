package partner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/crash"
	"quetzalknot/process/metrics"
	"quetzalknot/process/mirror"
)

const table = "targets"

var errCut = errors.New("link cut")

// testNetwork connects groups by links that can be cut. It runs on a fake clock.
type testNetwork struct {
	mu     sync.Mutex
	groups map[string]*Group
	// cutLinks holds "from>to" for each direction that is cut.
	cutLinks map[string]bool
}

type networkClient struct {
	net  *testNetwork
	from string
}

// Call implements peer.RPCClient. It fails when either direction is cut.
func (c networkClient) Call(ctx context.Context, addr, method string, args, reply any) error {
	c.net.mu.Lock()
	to := c.net.groups[addr]
	unreachable := to == nil || c.net.cutLinks[c.from+">"+addr] || c.net.cutLinks[addr+">"+c.from]
	c.net.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return errCut
	}
	s := &service{to}
	if heartbeat, ok := args.(*Heartbeat); ok {
		return s.Beat(heartbeat, reply.(*Heartbeat))
	}
	if brief, ok := args.(*Brief); ok {
		return s.Brief(brief, reply.(*Brief))
	}
	if request, ok := args.(*SnapshotRequest); ok {
		return s.Snapshot(request, reply.(*SnapshotReply))
	}
	switch request := args.(type) {
	case *LargeRequest:
		return s.Large(request, reply.(*LargeReply))
	case *PartRequest:
		return s.Part(request, reply.(*PartReply))
	default:
		return s.Pull(args.(*PullRequest), reply.(*PullReply))
	}
}

func (n *testNetwork) add(name, region string, incarnation int64) *Group {
	m := mirror.New()
	g := New(Options{
		Self:   Member{Name: name, Incarnation: incarnation, Region: region, Peer: name, Entry: "entry-" + name},
		Tables: []string{table}, Mirror: m, Apply: func(d mirror.Delta) { m.Apply(d) },
		Crashes: crash.New(), RequestRate: func() float64 { return 0 }, StoreStatus: func() StoreStatus { return StoreStatus{} }, Client: networkClient{n, name}, Metrics: metrics.NewSet(), Log: zerolog.Nop(), Now: time.Now,
	})
	n.mu.Lock()
	n.groups[name] = g
	n.mu.Unlock()
	return g
}

// newNetwork starts the given number of hosts of one region, which know each other from
// the store.
func newNetwork(t *testing.T, hosts int) (*testNetwork, []*Group) {
	n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
	var groups []*Group
	var members []Member
	for i := range hosts {
		g := n.add(fmt.Sprintf("h%02d", i), "r", 1)
		groups, members = append(groups, g), append(members, g.opts.Self)
	}
	ctx, cancel := context.WithCancel(context.Background())
	for _, g := range groups {
		g.AddMembers(members)
		go g.Run(ctx)
	}
	t.Cleanup(cancel)
	return n, groups
}

func names(members []Member) []string {
	var all []string
	for _, m := range members {
		all = append(all, m.Name)
	}
	return all
}

// TestSilentHostIsLostAndRecovers: a host without heartbeats must leave the list of live
// hosts and return to it when the links work again. Only one direction of its links is cut.
func TestSilentHostIsLostAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, groups := newNetwork(t, 3)
		time.Sleep(2 * heartbeatInterval)
		if got := names(groups[0].Alive()); len(got) != 3 {
			t.Fatalf("alive at first: %v", got)
		}
		n.mu.Lock()
		for _, other := range []string{"h00", "h01"} {
			n.cutLinks["h02>"+other] = true // one direction suffices
		}
		n.mu.Unlock()
		time.Sleep(aliveTimeout + 2*heartbeatInterval)
		for _, g := range groups[:2] {
			if got := names(g.Alive()); slices.Contains(got, "h02") || len(got) != 2 {
				t.Errorf("%s counts as alive: %v", g.opts.Self.Name, got)
			}
		}
		n.mu.Lock()
		clear(n.cutLinks)
		n.mu.Unlock()
		time.Sleep(3 * heartbeatInterval)
		if got := names(groups[0].Alive()); len(got) != 3 {
			t.Errorf("alive after the cut: %v", got)
		}
	})
}

// TestLeavingHostIsNotAlive: a leaving host must disappear from all lists although its
// links work.
func TestLeavingHostIsNotAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 3)
		time.Sleep(2 * heartbeatInterval)
		groups[2].Leave(t.Context())
		synctest.Wait()
		for _, g := range groups {
			if got := names(g.Alive()); slices.Contains(got, "h02") {
				t.Errorf("%s still lists a leaving host: %v", g.opts.Self.Name, got)
			}
		}
	})
}

// TestOldIncarnationIsIgnored: a late heartbeat of the previous incarnation must not
// mark the new one as leaving.
func TestOldIncarnationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 2)
		g := groups[0]
		restarted := Member{Name: "h01", Incarnation: 2, Region: "r", Peer: "h01b", Entry: "entry-h01b"}
		g.receive(&Heartbeat{From: restarted})
		g.receive(&Heartbeat{From: groups[1].opts.Self, Leaving: true})
		alive := g.Alive()
		if len(alive) != 2 || alive[1].Entry != "entry-h01b" {
			t.Errorf("alive: %+v", alive)
		}
	})
}

// TestRecordsArePulledFromPartners: hosts that do not read the store must pull a
// record from a partner that has it, and an older copy of the record must not replace it.
func TestRecordsArePulledFromPartners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 3)
		record := mirror.Record{Key: "i-1", Revision: 7, Value: []byte("draining")}
		groups[0].opts.Mirror.Apply(mirror.Delta{Table: table, Records: []mirror.Record{record}, UpTo: 7})
		time.Sleep(2*heartbeatInterval + 2*pullDelay)
		for _, g := range groups {
			if got, ok := g.opts.Mirror.Get(table, "i-1"); !ok || string(got.Value) != "draining" {
				t.Errorf("%s has %q", g.opts.Self.Name, got.Value)
			}
		}
		old := mirror.Record{Key: "i-1", Revision: 5, Value: []byte("ready")}
		groups[1].opts.Mirror.Apply(mirror.Delta{Table: table, Records: []mirror.Record{old}, UpTo: 5})
		if got, _ := groups[1].opts.Mirror.Get(table, "i-1"); string(got.Value) != "draining" {
			t.Errorf("an older record replaced a newer one: %q", got.Value)
		}
	})
}

// TestOwnersAreBoundedInAPartition: during a network partition hosts must go on
// counting the hosts of the other side, so that both sides together have no more owners of
// a key than the limit.
func TestOwnersAreBoundedInAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const owners = 5
		n, groups := newNetwork(t, 12)
		time.Sleep(2 * heartbeatInterval)
		n.mu.Lock()
		for i := range groups {
			for j := range groups {
				if i%2 != j%2 {
					n.cutLinks[fmt.Sprintf("h%02d>h%02d", i, j)] = true
				}
			}
		}
		n.mu.Unlock()
		time.Sleep(aliveTimeout + 3*heartbeatInterval)
		for key := range 50 {
			own := 0
			for _, g := range groups {
				if g.Owns(fmt.Sprint("i-", key), owners) {
					own++
				}
			}
			if own == 0 || own > owners {
				t.Errorf("key %d has %d owners", key, own)
			}
		}
	})
}

// TestPartnersAreBounded: a host must send heartbeats to a bounded number of partners in a
// large deployment.
func TestPartnersAreBounded(t *testing.T) {
	g := New(Options{Self: Member{Name: "h000", Region: "r0"}, Now: time.Now})
	var members []Member
	for i := 1; i < 910; i++ {
		members = append(members, Member{Name: fmt.Sprintf("h%03d", i), Region: fmt.Sprint("r", i%6)})
	}
	g.AddMembers(members)
	if got, most := len(g.partners()), nearPartners+5*farPartners; got != most {
		t.Errorf("%d partners of 910 hosts, want %d", got, most)
	}
}

// TestHeartbeatsCarryCrashCounts: crash counts of different hosts must add up at a host
// that observed none of the crashes.
func TestHeartbeatsCarryCrashCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 3)
		for i := range crash.MaxCrashes - 1 {
			groups[0].opts.Crashes.RecordCrash(42, crash.Crash{Target: fmt.Sprint("i-0/", i), Request: "r1"}, time.Now())
		}
		groups[1].opts.Crashes.RecordCrash(42, crash.Crash{Target: "i-1/1", Request: "r1"}, time.Now())
		time.Sleep(2 * heartbeatInterval)
		if !groups[2].opts.Crashes.LimitReached(42, time.Now()) {
			t.Error("the third host does not report the limit as reached")
		}
	})
}

// TestStartingHostLearnsOldCrashes: hosts that were started in turn forgot a request that crashes targets
// (incident 0013). A host that starts must learn the counts of its partners, however old.
func TestStartingHostLearnsOldCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, groups := newNetwork(t, 2)
		for i := range crash.MaxCrashes {
			groups[0].opts.Crashes.RecordCrash(42, crash.Crash{Target: fmt.Sprint("i-0/", i), Request: "r1"}, time.Now())
		}
		time.Sleep(10 * crashCountMaxAge)
		for incarnation := range int64(4) { // each host is started again twice
			name := fmt.Sprintf("h%02d", incarnation%2)
			g := n.add(name, "r", 2+incarnation)
			g.AddMembers([]Member{groups[0].opts.Self, groups[1].opts.Self})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go g.Run(ctx)
			time.Sleep(2 * heartbeatInterval)
			if !g.opts.Crashes.LimitReached(42, time.Now()) {
				t.Fatalf("start %d of %s does not know that the limit is reached", incarnation/2+1, name)
			}
		}
	})
}

// TestOnePartnerOfAPairCalls: only one host of each pair of partners may call the other.
// The hosts start at different times, and all calls are counted.
func TestOnePartnerOfAPairCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, span = 4, 20
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var groups []*Group
		var members []Member
		for i := range hosts {
			g := n.add(fmt.Sprint("h", i), "r", 1)
			groups, members = append(groups, g), append(members, g.opts.Self)
		}
		for _, g := range groups {
			g.AddMembers(members)
			go g.Run(ctx)
			time.Sleep(130 * time.Millisecond)
		}
		time.Sleep(span * heartbeatInterval)
		calls := int64(0)
		for _, g := range groups {
			calls += g.opts.Metrics.Counter("partners.beats").Value()
			if got := len(g.Alive()); got != hosts {
				t.Errorf("%s counts %d hosts as alive", g.opts.Self.Name, got)
			}
		}
		if pairs := int64(hosts * (hosts - 1) / 2); calls > pairs*(span+2) {
			t.Errorf("%d calls in %d s among %d pairs", calls, span, pairs)
		}
	})
}

// TestFarPartnersAreMutual: of two hosts of different regions each must be a partner of the other or neither, so
// that a host has as many partners in a large region as it chooses. At the ends of the list of names the number of hosts
// may differ, and with it the next ones.
func TestFarPartnersAreMutual(t *testing.T) {
	const hosts, ends = 90, 2 * (nearPartners + farPartners)
	var members []Member
	for i := range hosts {
		members = append(members, Member{Name: fmt.Sprintf("h%03d", i), Region: fmt.Sprint("r", i%3)})
	}
	chosen := make(map[string][]string)
	for _, m := range members {
		g := New(Options{Self: m, Now: time.Now})
		g.AddMembers(members)
		chosen[m.Name] = names(g.partners())
	}
	for _, m := range members[ends : hosts-ends] {
		for _, name := range chosen[m.Name] {
			if !slices.Contains(chosen[name], m.Name) {
				t.Errorf("%s has the partner %s, which has not chosen it", m.Name, name)
			}
		}
	}
}

// TestForgottenHostsAreCounted: hosts that are removed from the known ones must be counted, since their rows
// have to be read again.
func TestForgottenHostsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 2)
		groups[0].AddMembers([]Member{{Name: "gone", Peer: "nowhere"}})
		if got := groups[0].ForgottenCount(); got != 0 {
			t.Errorf("%d hosts forgotten at first", got)
		}
		time.Sleep(forgetAfter + 2*heartbeatInterval)
		if got := groups[0].ForgottenCount(); got != 1 {
			t.Errorf("%d hosts forgotten, want 1", got)
		}
	})
}
