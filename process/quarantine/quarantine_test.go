package quarantine

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// fakeClock is a clock whose time is set by the test.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

// TestStateTransitions takes one request through crashes, successes and expiry. In
// particular, a request that was in flight at two crashes before it was a suspect must not
// be quarantined.
func TestStateTransitions(t *testing.T) {
	const request = 7
	c := &fakeClock{at: time.Unix(1_000_000, 0)}
	l := New(c.now)
	expectState := func(when string, want State) {
		t.Helper()
		if got := l.State(request); got != want {
			t.Errorf("%s: state %d, want %d", when, got, want)
		}
	}
	expectState("unknown", Clear)
	l.RecordCrash(request, Clear)
	l.RecordCrash(request, Clear)
	expectState("in flight at two crashes before it was a suspect", Suspect)
	c.at = c.at.Add(time.Second)
	l.RecordSuccess(request)
	c.at = c.at.Add(time.Second)
	expectState("after a success", Clear)
	l.RecordCrash(request, Clear)
	expectState("in flight at another crash", Suspect)
	c.at = c.at.Add(markTTL + time.Second)
	expectState("suspicion expired", Clear)
	l.RecordCrash(request, Clear)
	l.RecordCrash(request, Suspect)
	expectState("sent again as a suspect, and crashed", Quarantined)
	l.RecordSuccess(request)
	l.Merge([]Mark{{Fingerprint: request, ClearedMS: c.at.Add(time.Second).UnixMilli()}})
	expectState("after a success on another host", Quarantined)
	c.at = c.at.Add(markTTL + time.Second)
	expectState("quarantine expired", Clear)
}

// TestMergeOrder merges the same marks in different orders, also repeatedly: the states
// must be equal.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &fakeClock{at: time.Unix(1_000_000, 0)}
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
		ordered, reordered := New(c.now), New(c.now)
		ordered.Merge(marks)
		shuffled := rapid.Permutation(append(slices.Clone(marks), marks...)).Draw(t, "shuffled")
		for _, m := range shuffled {
			reordered.Merge([]Mark{m})
		}
		for request := uint64(1); request <= 2; request++ {
			if ordered.State(request) != reordered.State(request) {
				t.Fatalf("request %d: states %d and %d differ", request, ordered.State(request), reordered.State(request))
			}
		}
	})
}

// TestMarksAreBounded records more marks than maxMarks: the list must not grow beyond
// it and must keep the newest mark.
func TestMarksAreBounded(t *testing.T) {
	c := &fakeClock{at: time.Unix(1_000_000, 0)}
	l := New(c.now)
	for i := range uint64(maxMarks + 10) {
		l.RecordCrash(i, Clear)
	}
	if n := len(l.marks); n != maxMarks {
		t.Errorf("the list has %d marks", n)
	}
	if l.State(maxMarks+9) != Suspect {
		t.Error("the newest mark was dropped")
	}
}

// fakeNetwork delivers calls between lists in memory and counts them.
type fakeNetwork struct {
	lists map[string]*List
	// onChange holds the callback of each host's service, by address.
	onChange map[string]func()
	mu       sync.Mutex
	calls    int
}

// Call implements peer.RPCClient.
func (n *fakeNetwork) Call(_ context.Context, addr, method string, args, reply any) error {
	n.mu.Lock()
	n.calls++
	n.mu.Unlock()
	service := NewService(n.lists[addr], n.onChange[addr])
	if method == ServiceName+".Push" {
		return service.Push(args.(*PushArgs), reply.(*PushReply))
	}
	return service.Pull(args.(*PullArgs), reply.(*PullReply))
}

// TestReplicationCallsAreBounded pushes a new mark through 910 hosts: at least 90 % must
// have it with at most fanOut calls per host, and all after a few rounds of pulls.
func TestReplicationCallsAreBounded(t *testing.T) {
	const hosts, request = 910, 7
	net := &fakeNetwork{lists: make(map[string]*List), onChange: make(map[string]func())}
	var addrs []string
	replicators := make([]*Replicator, hosts)
	for i := range hosts {
		addr := time.Duration(i).String()
		addrs = append(addrs, addr)
		net.lists[addr] = New(nil)
		replicators[i] = NewReplicator(net.lists[addr], net, func() []string { return slices.Clone(addrs) })
		net.onChange[addr] = func() { replicators[i].Push(context.WithoutCancel(t.Context())) }
	}
	quarantinedHosts := func() int {
		n := 0
		for _, addr := range addrs {
			if net.lists[addr].State(request) == Quarantined {
				n++
			}
		}
		return n
	}
	net.lists[addrs[0]].RecordCrash(request, Clear)
	net.lists[addrs[0]].RecordCrash(request, Suspect)
	replicators[0].Push(t.Context())
	t.Logf("%d of %d hosts have the mark after %d calls", quarantinedHosts(), hosts, net.calls)
	if quarantinedHosts() < hosts*9/10 || net.calls > fanOut*hosts {
		t.Errorf("%d of %d hosts have the mark after %d calls", quarantinedHosts(), hosts, net.calls)
	}
	rounds := 0
	for ; quarantinedHosts() < hosts && rounds < 100; rounds++ {
		for i := range replicators {
			replicators[i].pull(t.Context())
		}
	}
	t.Logf("%d rounds of pulls", rounds)
	if rounds > 10 {
		t.Errorf("%d rounds of pulls until all hosts had the mark", rounds)
	}
}

// slowNetwork delivers pushes when it is released.
type slowNetwork struct {
	fakeNetwork
	released chan struct{}
}

// Call implements peer.RPCClient.
func (n *slowNetwork) Call(ctx context.Context, addr, method string, args, reply any) error {
	<-n.released
	return n.fakeNetwork.Call(ctx, addr, method, args, reply)
}

// TestPushWaitsForPushInFlight: two requests crash with one target and their marks leave in
// the first push. The second push must not return before the other host has its mark,
// since the response that follows lets the caller send the request to that host.
func TestPushWaitsForPushInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		remote, local := New(nil), New(nil)
		net := &slowNetwork{fakeNetwork: fakeNetwork{lists: map[string]*List{"remote": remote}, onChange: map[string]func(){}}, released: make(chan struct{})}
		replicator := NewReplicator(local, net, func() []string { return []string{"remote"} })
		local.RecordCrash(1, Clear)
		local.RecordCrash(2, Clear)
		replicator.PushAsync()
		synctest.Wait() // the first push has taken both marks
		go func() {
			time.Sleep(15 * time.Millisecond)
			close(net.released)
		}()
		replicator.Push(t.Context())
		if got := remote.State(2); got != Suspect {
			t.Errorf("the push returned while the other host has state %v of the request", got)
		}
	})
}

// TestPushIsBounded: hosts that do not reply must delay each of many pushes by pushTimeout
// at most.
func TestPushIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local := New(nil)
		replicator := NewReplicator(local, hangingNetwork{}, func() []string { return []string{"remote"} })
		start := time.Now()
		var pushes sync.WaitGroup
		for i := range 20 {
			local.RecordCrash(uint64(i), Clear)
			pushes.Go(func() { replicator.Push(t.Context()) })
		}
		pushes.Wait()
		if took := time.Since(start); took > pushTimeout {
			t.Errorf("20 pushes took %v, want at most %v", took, pushTimeout)
		}
	})
}

// hangingNetwork never replies.
type hangingNetwork struct{}

// Call implements peer.RPCClient.
func (hangingNetwork) Call(ctx context.Context, _, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestPullAfterRestart: a host that restarts between two pulls numbers its changes from 0
// again. The marks of its new process must reach the other host with the next pulls,
// whether they are fewer or more than those before.
func TestPullAfterRestart(t *testing.T) {
	for _, tc := range []struct{ before, after int }{{3, 1}, {3, 3}, {1, 3}, {maxMarksPerMessage + 10, 2*maxMarksPerMessage + 5}} {
		net := &fakeNetwork{lists: map[string]*List{"a": New(nil)}, onChange: make(map[string]func())}
		puller := New(nil)
		r := NewReplicator(puller, net, func() []string { return []string{"a"} })
		const firstOfOld, firstOfNew = 1, 10_001
		record := func(first, n int) {
			for i := range n {
				net.lists["a"].RecordCrash(uint64(first+i), Clear)
			}
		}
		pullAll := func() {
			for range 4 {
				r.pull(t.Context())
			}
		}
		record(firstOfOld, tc.before)
		pullAll()
		net.lists["a"] = New(nil)
		record(firstOfNew, tc.after)
		pullAll()
		for i := range tc.after {
			if puller.State(uint64(firstOfNew+i)) != Suspect {
				t.Errorf("%d marks before the restart, %d after: mark %d is missing", tc.before, tc.after, i)
				break
			}
		}
	}
}

// TestPullWithoutEpoch: hosts of the release before send and know no epoch; pulls from and
// by them must still continue where the last one ended.
func TestPullWithoutEpoch(t *testing.T) {
	l := New(nil)
	for i := range uint64(5) {
		l.RecordCrash(i, Clear)
	}
	var first, second PullReply
	service := NewService(l, nil)
	if err := service.Pull(&PullArgs{}, &first); err != nil || len(first.Marks) != 5 {
		t.Fatalf("%d marks, %v", len(first.Marks), err)
	}
	if err := service.Pull(&PullArgs{After: first.Next}, &second); err != nil || len(second.Marks) != 0 {
		t.Errorf("%d marks again, %v", len(second.Marks), err)
	}
}
