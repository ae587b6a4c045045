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

var errCut = errors.New("cut")

// network is a network of groups whose links can be cut, on the fake clock.
type network struct {
	mu     sync.Mutex
	groups map[string]*Group
	// cut holds "from>to" for each way that carries nothing.
	cut map[string]bool
}

type caller struct {
	net  *network
	from string
}

// Call implements peer.Caller. A call needs both ways.
func (c caller) Call(ctx context.Context, addr, method string, args, reply any) error {
	c.net.mu.Lock()
	to := c.net.groups[addr]
	broken := to == nil || c.net.cut[c.from+">"+addr] || c.net.cut[addr+">"+c.from]
	c.net.mu.Unlock()
	if broken {
		<-ctx.Done()
		return errCut
	}
	s := &service{to}
	if beat, ok := args.(*Beat); ok {
		return s.Beat(beat, reply.(*Beat))
	}
	return s.Pull(args.(*Pull), reply.(*mirror.Delta))
}

func (n *network) add(name, region string, incarnation int64) *Group {
	m := mirror.New()
	g := New(Options{
		Self:   Member{Name: name, Incarnation: incarnation, Region: region, Peer: name, Entry: "entry-" + name},
		Tables: []string{table}, Mirror: m, Apply: func(d mirror.Delta) { m.Apply(d) },
		Crashes: crash.New(name), Rate: func() float64 { return 0 }, Reading: func() Reading { return Reading{} }, Caller: caller{n, name}, Metrics: metrics.NewSet(), Log: zerolog.Nop(), Now: time.Now,
	})
	n.mu.Lock()
	n.groups[name] = g
	n.mu.Unlock()
	return g
}

// newNetwork makes hosts of one region that know each other by the store.
func newNetwork(t *testing.T, hosts int) (*network, []*Group) {
	n := &network{groups: make(map[string]*Group), cut: make(map[string]bool)}
	var groups []*Group
	var members []Member
	for i := range hosts {
		g := n.add(fmt.Sprintf("h%02d", i), "r", 1)
		groups, members = append(groups, g), append(members, g.opts.Self)
	}
	ctx, cancel := context.WithCancel(context.Background())
	for _, g := range groups {
		g.Learn(members)
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

// TestSilentHostLeavesTheDirectoryAndComesBack cuts a host off from all others.
func TestSilentHostLeavesTheDirectoryAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, groups := newNetwork(t, 3)
		time.Sleep(2 * beatInterval)
		if got := names(groups[0].Alive()); len(got) != 3 {
			t.Fatalf("alive at first: %v", got)
		}
		n.mu.Lock()
		for _, other := range []string{"h00", "h01"} {
			n.cut["h02>"+other] = true // one way is enough
		}
		n.mu.Unlock()
		time.Sleep(aliveFor + 2*beatInterval)
		for _, g := range groups[:2] {
			if got := names(g.Alive()); slices.Contains(got, "h02") || len(got) != 2 {
				t.Errorf("%s counts as alive: %v", g.opts.Self.Name, got)
			}
		}
		n.mu.Lock()
		clear(n.cut)
		n.mu.Unlock()
		time.Sleep(3 * beatInterval)
		if got := names(groups[0].Alive()); len(got) != 3 {
			t.Errorf("alive after the cut: %v", got)
		}
	})
}

// TestLeavingHostIsNamedNoMore leaves while all links work.
func TestLeavingHostIsNamedNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 3)
		time.Sleep(2 * beatInterval)
		groups[2].Leave(t.Context())
		synctest.Wait()
		for _, g := range groups {
			if got := names(g.Alive()); slices.Contains(got, "h02") {
				t.Errorf("%s still names a host that leaves: %v", g.opts.Self.Name, got)
			}
		}
	})
}

// TestRestartedHostIsAnotherProcess: what the old process said late changes nothing.
func TestRestartedHostIsAnotherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 2)
		g := groups[0]
		fresh := Member{Name: "h01", Incarnation: 2, Region: "r", Peer: "h01b", Entry: "entry-h01b"}
		g.heard(&Beat{From: fresh})
		g.heard(&Beat{From: groups[1].opts.Self, Leaving: true})
		alive := g.Alive()
		if len(alive) != 2 || alive[1].Entry != "entry-h01b" {
			t.Errorf("alive: %+v", alive)
		}
	})
}

// TestHostCutFromTheStoreLearnsFromPartners gives one host a record that the others
// fetch, and an older copy of it that changes nothing.
func TestHostCutFromTheStoreLearnsFromPartners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 3)
		record := mirror.Record{Key: "i-1", Revision: 7, Value: []byte("draining")}
		groups[0].opts.Mirror.Apply(mirror.Delta{Table: table, Records: []mirror.Record{record}, UpTo: 7})
		time.Sleep(2*beatInterval + 2*pullDelay)
		for _, g := range groups {
			if got, ok := g.opts.Mirror.Get(table, "i-1"); !ok || string(got.Value) != "draining" {
				t.Errorf("%s has %q", g.opts.Self.Name, got.Value)
			}
		}
		old := mirror.Record{Key: "i-1", Revision: 5, Value: []byte("ready")}
		groups[1].opts.Mirror.Apply(mirror.Delta{Table: table, Records: []mirror.Record{old}, UpTo: 5})
		if got, _ := groups[1].opts.Mirror.Get(table, "i-1"); string(got.Value) != "draining" {
			t.Errorf("an older record came back: %q", got.Value)
		}
	})
}

// TestOwnersOfAKeyAreFewUnderAPartition: hosts that don't hear each other still count
// each other, so that both sides together have no more owners.
func TestOwnersOfAKeyAreFewUnderAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const owners = 5
		n, groups := newNetwork(t, 12)
		time.Sleep(2 * beatInterval)
		n.mu.Lock()
		for i := range groups {
			for j := range groups {
				if i%2 != j%2 {
					n.cut[fmt.Sprintf("h%02d>h%02d", i, j)] = true
				}
			}
		}
		n.mu.Unlock()
		time.Sleep(aliveFor + 3*beatInterval)
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

// TestPartnersAreBounded: a host beats to few of many.
func TestPartnersAreBounded(t *testing.T) {
	g := New(Options{Self: Member{Name: "h000", Region: "r0"}, Now: time.Now})
	var members []Member
	for i := 1; i < 910; i++ {
		members = append(members, Member{Name: fmt.Sprintf("h%03d", i), Region: fmt.Sprint("r", i%6)})
	}
	g.Learn(members)
	if got, most := len(g.partners()), nearPartners+5*farPartners; got != most {
		t.Errorf("%d partners of 910 hosts, want %d", got, most)
	}
}

// TestCrashesTravelInBeats: a request that crashed targets at two hosts is known to the third.
func TestCrashesTravelInBeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 3)
		for range crash.Limit - 1 {
			groups[0].opts.Crashes.Crashed(42, time.Now())
		}
		groups[1].opts.Crashes.Crashed(42, time.Now())
		time.Sleep(2 * beatInterval)
		if !groups[2].opts.Crashes.Stopped(42, time.Now()) {
			t.Error("the third host would send it on")
		}
	})
}

// TestOfTwoPartnersOneCalls counts the calls of a group that starts at different times.
func TestOfTwoPartnersOneCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, span = 4, 20
		n := &network{groups: make(map[string]*Group), cut: make(map[string]bool)}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var groups []*Group
		var members []Member
		for i := range hosts {
			g := n.add(fmt.Sprint("h", i), "r", 1)
			groups, members = append(groups, g), append(members, g.opts.Self)
		}
		for _, g := range groups {
			g.Learn(members)
			go g.Run(ctx)
			time.Sleep(130 * time.Millisecond)
		}
		time.Sleep(span * beatInterval)
		calls := int64(0)
		for _, g := range groups {
			calls += g.opts.Metrics.Counter("partners.beats").Value()
			if got := len(g.Alive()); got != hosts {
				t.Errorf("%s counts %d hosts as alive", g.opts.Self.Name, got)
			}
		}
		if pairs := int64(hosts * (hosts - 1) / 2); calls > pairs*(span+2) {
			t.Errorf("%d calls in %d s of %d pairs", calls, span, pairs)
		}
	})
}
