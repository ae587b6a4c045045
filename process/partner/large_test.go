package partner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quetzalknot/process/mirror"
)

// largeValue returns a value of a number of bytes that does not compress well.
func largeValue(bytes int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	value := make([]byte, bytes)
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	return value
}

// stateDelta returns a delta of one record with a value.
func stateDelta(revision uint64, value []byte) mirror.Delta {
	return mirror.Delta{Table: table, Records: []mirror.Record{{Key: "state", Revision: revision, Value: value}}, UpTo: revision, Whole: revision == 1}
}

// callCounter counts the calls of a group by method, and can fail them or delay them.
type callCounter struct {
	networkClient
	mu    sync.Mutex
	calls map[string]int
	// before is called before each call with the number of calls of the method so far; an error fails the call. May be nil.
	before func(method string, calls int) error
}

func (c *callCounter) Call(ctx context.Context, addr, method string, args, reply any) error {
	c.mu.Lock()
	c.calls[method]++
	calls := c.calls[method]
	c.mu.Unlock()
	if c.before != nil {
		if err := c.before(method, calls); err != nil {
			return err
		}
	}
	return c.networkClient.Call(ctx, addr, method, args, reply)
}

func (c *callCounter) count(method string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[serviceName+"."+method]
}

func countCalls(n *testNetwork, g *Group) *callCounter {
	c := &callCounter{networkClient: networkClient{n, g.opts.Self.Name}, calls: make(map[string]int)}
	g.opts.Client = c
	return c
}

// announce delivers a heartbeat of one host to another.
func announce(from, to *Group) {
	h := from.heartbeat()
	to.receive(&h)
}

// TestFetchGoesOnWhereItEnded guards against a large table that is fetched anew, or not at all, when the host that gives it
// fails in the middle: another one that has the same goes on.
func TestFetchGoesOnWhereItEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const parts = 10
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		first, second, own := n.add("h00", "r", 1), n.add("h01", "r", 1), n.add("h02", "r", 1)
		for _, g := range []*Group{first, second, own} {
			g.opts.Mirror.Apply(stateDelta(1, nil))
		}
		for _, g := range []*Group{first, second} {
			g.opts.Mirror.Apply(stateDelta(2, largeValue(parts*partBytes)))
		}
		calls := countCalls(n, own)
		calls.before = func(method string, calls int) error {
			if method == serviceName+".Part" && calls > parts/2 {
				return errCut
			}
			return nil
		}
		announce(first, own)
		synctest.Wait()
		if own.opts.Mirror.Revision(table) != 1 {
			t.Fatal("the table has arrived although the host that gives it failed")
		}
		calls.before = nil
		announce(second, own)
		synctest.Wait()
		if own.opts.Mirror.Revision(table) != 2 {
			t.Fatal("the table has not arrived")
		}
		if got := calls.count("Part"); got > parts+2 {
			t.Errorf("%d parts were fetched; the table has %d", got, parts)
		}
	})
}

// TestNewerTableIsPulledOnceAPullEnds guards against a host that hears of a newer table while it pulls the one before, and
// then waits for the next heartbeat.
func TestNewerTableIsPulledOnceAPullEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pullTime = 300 * time.Millisecond
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		other, own := n.add("h00", "r", 1), n.add("h01", "r", 1)
		for _, g := range []*Group{other, own} {
			g.opts.Mirror.Apply(stateDelta(1, nil))
		}
		countCalls(n, own).before = func(method string, calls int) error {
			if method == serviceName+".Part" && calls == 1 {
				time.Sleep(pullTime)
			}
			return nil
		}
		value := largeValue(2 * partBytes)
		other.opts.Mirror.Apply(stateDelta(2, value))
		announce(other, own)
		time.Sleep(pullTime / 2)
		other.opts.Mirror.Apply(stateDelta(3, value[1:]))
		announce(other, own)
		time.Sleep(pullTime)
		synctest.Wait()
		if got := own.opts.Mirror.Revision(table); got != 3 {
			t.Errorf("revision %d has arrived, want 3", got)
		}
	})
}

// TestSmallChangeOfLargeTableCostsLittle: a small change of a large value must not cost the whole value again.
func TestSmallChangeOfLargeTableCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		other, own := n.add("h00", "r", 1), n.add("h01", "r", 1)
		value := largeValue(1 << 20)
		for _, g := range []*Group{other, own} {
			g.opts.Mirror.Apply(stateDelta(1, value))
		}
		changed := append([]byte("changed"), value...)
		other.opts.Mirror.Apply(stateDelta(2, changed))
		calls := countCalls(n, own)
		announce(other, own)
		synctest.Wait()
		if got, _ := own.opts.Mirror.Get(table, "state"); string(got.Value) != string(changed) {
			t.Error("the host has another value")
		}
		if got := calls.count("Part"); got != 1 {
			t.Errorf("%d parts were fetched, want 1", got)
		}
	})
}

// TestEarlierReleasesGetWholeTables: a host of an earlier release knows nothing of parts and must get all in one reply.
func TestEarlierReleasesGetWholeTables(t *testing.T) {
	_, groups := newNetwork(t, 1)
	value := largeValue(4 * partBytes)
	groups[0].opts.Mirror.Apply(stateDelta(1, value))
	s := &service{groups[0]}
	var pulled PullReply
	if err := s.Pull(&PullRequest{Table: table}, &pulled); err != nil {
		t.Fatal(err)
	}
	encoded, err := cbor.Marshal(pulled)
	if err != nil {
		t.Fatal(err)
	}
	var earlier mirror.Delta // the type of the reply in earlier releases
	if err := cbor.Unmarshal(encoded, &earlier); err != nil || len(earlier.Records) != 1 || string(earlier.Records[0].Value) != string(value) {
		t.Errorf("a pull gives %d records, %v", len(earlier.Records), err)
	}
	var snapshot SnapshotReply
	if err := s.Snapshot(&SnapshotRequest{}, &snapshot); err != nil {
		t.Fatal(err)
	}
	if got, err := unpack[Snapshot](snapshot.Packed); err != nil || len(got.Tables) != 1 || len(got.Tables[0].Records) != 1 {
		t.Errorf("the snapshot has %d tables, %v", len(got.Tables), err)
	}
}

// earlierRelease is a client of a host that knows neither snapshots nor parts.
type earlierRelease struct{ g *Group }

func (c earlierRelease) Call(_ context.Context, _, method string, args, reply any) error {
	request, ok := args.(*PullRequest)
	if !ok {
		return rpc.ServerError("rpc: can't find method " + method)
	}
	delta := c.g.opts.Mirror.DeltaSince(request.Table, mirror.Position{Era: request.Era, Revision: request.After})
	encoded, err := cbor.Marshal(delta)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, reply)
}

// TestTablesOfEarlierReleasesAreTaken: large tables of a host of an earlier release must arrive, at the start and later.
func TestTablesOfEarlierReleasesAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		other, own := n.add("h00", "r", 1), n.add("h01", "r", 1)
		own.opts.Client = earlierRelease{other}
		for revision := uint64(1); revision < 3; revision++ {
			other.opts.Mirror.Apply(stateDelta(revision, largeValue(int(revision)*partBytes)))
			announce(other, own)
			synctest.Wait()
			if got := own.opts.Mirror.Revision(table); got != revision {
				t.Fatalf("revision %d has arrived, want %d", got, revision)
			}
		}
	})
}

// TestOffersAreBounded: the replies that are kept for others must be few and be dropped when nobody fetches them.
func TestOffersAreBounded(t *testing.T) {
	var o offers
	now := time.Now()
	var last Offer
	for i := range 3 * maxOffers {
		last = o.add(fmt.Appendf(nil, "reply %d", i), now)
	}
	if len(o.all) != maxOffers || o.part(last, 0, now) == nil {
		t.Errorf("%d replies are kept, want the last %d", len(o.all), maxOffers)
	}
	if o.part(last, 0, now.Add(offerRetention)) != nil || len(o.all) != 0 {
		t.Errorf("%d replies are kept for too long", len(o.all))
	}
	for _, offset := range []int{-1, 1 << 40} {
		if o.part(o.add([]byte("reply"), now), offset, now) != nil {
			t.Errorf("there is a part at offset %d", offset)
		}
	}
}

// otherCut is a client whose host numbers the chunks of its values in another way than its partners think.
type otherCut struct{ networkClient }

func (c otherCut) Call(ctx context.Context, addr, method string, args, reply any) error {
	if request, ok := args.(*LargeRequest); ok {
		for _, k := range request.Known {
			slices.Reverse(k.Hashes)
		}
	}
	return c.networkClient.Call(ctx, addr, method, args, reply)
}

// TestWholeValuesAreFetchedIfPiecesDoNotFit guards against a host that gets pieces which do not fit its value, again and again.
func TestWholeValuesAreFetchedIfPiecesDoNotFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		other, own := n.add("h00", "r", 1), n.add("h01", "r", 1)
		value := largeValue(4 * partBytes)
		for _, g := range []*Group{other, own} {
			g.opts.Mirror.Apply(stateDelta(1, value))
		}
		other.opts.Mirror.Apply(stateDelta(2, append([]byte("changed"), value...)))
		own.opts.Client = otherCut{networkClient{n, own.opts.Self.Name}}
		announce(other, own)
		synctest.Wait()
		if got := own.opts.Mirror.Revision(table); got != 2 {
			t.Errorf("revision %d has arrived, want 2", got)
		}
	})
}
