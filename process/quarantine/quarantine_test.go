package quarantine

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// clock is a settable clock.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

// TestStates follows one request through crashes, success and time.
func TestStates(t *testing.T) {
	const request = 7
	c := &clock{at: time.Unix(1_000_000, 0)}
	l := New(c.now)
	expect := func(when string, want State) {
		t.Helper()
		if got := l.State(request); got != want {
			t.Errorf("%s: state %d, want %d", when, got, want)
		}
	}
	expect("unknown", Clear)
	l.Crashed(request, Clear)
	l.Crashed(request, Clear)
	expect("in flight at two crashes before it was a suspect", Suspect)
	c.at = c.at.Add(time.Second)
	l.Succeeded(request)
	c.at = c.at.Add(time.Second)
	expect("ended well", Clear)
	l.Crashed(request, Clear)
	expect("in flight at another crash", Suspect)
	c.at = c.at.Add(markTime + time.Second)
	expect("suspicion lapsed", Clear)
	l.Crashed(request, Clear)
	l.Crashed(request, Suspect)
	expect("run again after a crash, and crashed", Quarantined)
	l.Succeeded(request)
	l.Merge([]Mark{{Fingerprint: request, ClearedMS: c.at.Add(time.Second).UnixMilli()}})
	expect("a success elsewhere", Quarantined)
	c.at = c.at.Add(markTime + time.Second)
	expect("quarantine lapsed", Clear)
}

// TestMergeOrder merges the same crashes in any order and repetition.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{at: time.Unix(1_000_000, 0)}
		crash := rapid.Custom(func(t *rapid.T) Mark {
			at := c.at.UnixMilli() - 5000*rapid.Int64Range(0, 3).Draw(t, "ago")
			m := Mark{Fingerprint: rapid.Uint64Range(1, 2).Draw(t, "request")}
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				m.SuspectMS = at
			case 1:
				m.SuspectMS, m.CrashedMS = at, at
			case 2:
				m.ClearedMS = at
			}
			return m
		})
		marks := rapid.SliceOfN(crash, 1, 8).Draw(t, "marks")
		one, other := New(c.now), New(c.now)
		one.Merge(marks)
		shuffled := rapid.Permutation(append(slices.Clone(marks), marks...)).Draw(t, "shuffled")
		for _, m := range shuffled {
			other.Merge([]Mark{m})
		}
		for request := uint64(1); request <= 2; request++ {
			if one.State(request) != other.State(request) {
				t.Fatalf("request %d: %d and %d", request, one.State(request), other.State(request))
			}
		}
	})
}

// TestMarksAreBounded fills a list over its limit.
func TestMarksAreBounded(t *testing.T) {
	c := &clock{at: time.Unix(1_000_000, 0)}
	l := New(c.now)
	for i := range uint64(marksLimit + 10) {
		l.Crashed(i, Clear)
	}
	if n := len(l.marks); n != marksLimit {
		t.Errorf("%d marks", n)
	}
	if l.State(marksLimit+9) != Suspect {
		t.Error("the newest mark was dropped")
	}
}

// network carries calls between lists in memory and counts them.
type network struct {
	lists map[string]*List
	// changed passes new marks on, by host.
	changed map[string]func()
	mu      sync.Mutex
	calls   int
}

// Call implements peer.Caller.
func (n *network) Call(_ context.Context, addr, method string, args, reply any) error {
	n.mu.Lock()
	n.calls++
	n.mu.Unlock()
	service := NewService(n.lists[addr], n.changed[addr])
	if method == ServiceName+".Push" {
		return service.Push(args.(*PushArgs), reply.(*PushReply))
	}
	return service.Pull(args.(*PullArgs), reply.(*PullReply))
}

// TestSpreadIsBounded spreads a mark among many hosts and counts calls, and then
// rounds of repair.
func TestSpreadIsBounded(t *testing.T) {
	const hosts, request = 910, 7
	net := &network{lists: make(map[string]*List), changed: make(map[string]func())}
	var addrs []string
	spreaders := make([]*Spreader, hosts)
	for i := range hosts {
		addr := time.Duration(i).String()
		addrs = append(addrs, addr)
		net.lists[addr] = New(nil)
		spreaders[i] = NewSpreader(net.lists[addr], net, func() []string { return slices.Clone(addrs) })
		net.changed[addr] = func() { spreaders[i].Push(context.WithoutCancel(t.Context())) }
	}
	known := func() int {
		n := 0
		for _, addr := range addrs {
			if net.lists[addr].State(request) == Quarantined {
				n++
			}
		}
		return n
	}
	net.lists[addrs[0]].Crashed(request, Clear)
	net.lists[addrs[0]].Crashed(request, Suspect)
	spreaders[0].Push(t.Context())
	t.Logf("%d of %d hosts know after %d calls", known(), hosts, net.calls)
	if known() < hosts*9/10 || net.calls > fanOut*hosts {
		t.Errorf("%d of %d hosts know after %d calls", known(), hosts, net.calls)
	}
	rounds := 0
	for ; known() < hosts && rounds < 100; rounds++ {
		for i := range spreaders {
			spreaders[i].pull(t.Context())
		}
	}
	t.Logf("%d rounds of repair", rounds)
	if rounds > 10 {
		t.Errorf("%d rounds until all hosts knew", rounds)
	}
}
