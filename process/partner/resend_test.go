package partner

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestStaleRecordsReachAllPartners: what a host finds stale after full heartbeats were exchanged must reach
// each partner, whichever of the two calls the other: once, or twice if both call at the same moment, and
// not again after that.
func TestStaleRecordsReachAllPartners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, finder = 4, 1
		stale := []StaleRecord{{Key: "i-1", Era: 2, Revision: 7}}
		var found atomic.Bool
		var told [hosts]atomic.Int64
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		var groups []*Group
		var members []Member
		for i := range hosts {
			g := n.add(string(rune('a'+i)), "r", 1)
			g.opts.IgnoreStale = func(records []StaleRecord) {
				if !slices.Equal(records, stale) {
					t.Errorf("host %d was told %v, want %v", i, records, stale)
				}
				told[i].Add(1)
			}
			groups, members = append(groups, g), append(members, g.opts.Self)
		}
		groups[finder].opts.StaleRecords = func() []StaleRecord {
			if found.Load() {
				return stale
			}
			return nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, g := range groups {
			g.AddMembers(members)
			go g.Run(ctx)
		}
		time.Sleep(3 * heartbeatInterval)
		found.Store(true)
		groups[finder].ResendFull()
		time.Sleep(5 * heartbeatInterval)
		var first [hosts]int64
		for i := range groups {
			first[i] = told[i].Load()
			if i != finder && (first[i] < 1 || first[i] > 2) {
				t.Errorf("host %d was told %d times, want once or twice", i, first[i])
			}
		}
		time.Sleep(20 * heartbeatInterval)
		for i := range groups {
			if again := told[i].Load() - first[i]; again != 0 {
				t.Errorf("host %d was told %d times more", i, again)
			}
		}
	})
}

// lossyClient loses the reply to the next full heartbeat.
type lossyClient struct {
	networkClient
	loses bool
}

// Call implements peer.RPCClient.
func (c *lossyClient) Call(ctx context.Context, addr, method string, args, reply any) error {
	_, whole := args.(*Heartbeat)
	if !whole || !c.loses {
		return c.networkClient.Call(ctx, addr, method, args, reply)
	}
	c.loses = false
	_ = c.networkClient.Call(ctx, addr, method, args, new(Heartbeat))
	return errCut
}

// TestStaleRecordsReachHostThatLostReply: a host that asks must be told even if the reply that told it was
// lost.
func TestStaleRecordsReachHostThatLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		asking, finder := n.add("a", "r", 1), n.add("b", "r", 1)
		told := 0
		asking.opts.IgnoreStale = func([]StaleRecord) { told++ }
		client := &lossyClient{networkClient: asking.opts.Client.(networkClient)}
		asking.opts.Client = client
		asking.sendHeartbeat(t.Context(), finder.opts.Self)
		finder.opts.StaleRecords = func() []StaleRecord { return []StaleRecord{{Key: "i-1", Era: 2, Revision: 7}} }
		finder.ResendFull()
		client.loses = true
		for range 2 {
			asking.sendHeartbeat(t.Context(), finder.opts.Self)
		}
		if told != 1 {
			t.Errorf("told %d times after a lost reply and a further heartbeat, want once", told)
		}
	})
}
