package entry

import (
	"fmt"
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
	"quetzalknot/process/partner"
	"quetzalknot/process/peer"
)

// pretendReaders sends heartbeats to a host in the name of three store readers of its region
// that have the given revision of each table and state the given age of the store's answer, and
// from which no pull succeeds, until the test ends.
func (c *cluster) pretendReaders(h *Host, revision uint64, age time.Duration) {
	client := peer.NewClientPool(nil, h.dial)
	c.t.Cleanup(client.Close)
	go func() {
		for ctx := c.t.Context(); ctx.Err() == nil; pause(ctx, 300*time.Millisecond) {
			for i := range 3 {
				name := fmt.Sprintf("a-reader-%d", i)
				beat := partner.Heartbeat{
					From:      partner.Member{Name: name, Incarnation: 1, Region: h.self.Region, Domain: h.self.Domain, Peer: "127.0.0.1:1", Entry: "127.0.0.1:1"},
					Fresh:     true,
					Age:       age,
					Positions: map[string]uint64{adapter.OperatorTable: revision, adapter.TargetTable: revision},
				}
				_ = client.Call(ctx, h.self.Peer, "Partner.Beat", &beat, new(partner.Heartbeat))
			}
		}
	}()
}

// TestHostReadsStoreWhenPullsFail checks that a host whose partners report that they read the
// store, but from which it cannot get their changes, reads the store itself.
func TestHostReadsStoreWhenPullsFail(t *testing.T) {
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	c.pretendReaders(h, 1<<40, time.Millisecond)
	c.eventually("partners report that they read the store", func() bool { return h.group.HasStoreReader(time.Now()) && !h.group.IsStoreReader() })
	time.Sleep(2 * lackLimit)
	c.store.PutState(standin.DesiredState(2, coldPerSecond))
	c.requireInForce(2)
}

// TestHostReadsStoreBehindEarlierRelease checks that a host reads the store itself while the store
// readers are of an earlier release, which states no age of the store's answer.
func TestHostReadsStoreBehindEarlierRelease(t *testing.T) {
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	c.pretendReaders(h, 0, 0)
	c.eventually("partners report that they read the store", func() bool { return h.group.HasStoreReader(time.Now()) && !h.group.IsStoreReader() })
	time.Sleep(2 * lackLimit)
	c.store.PutState(standin.DesiredState(2, coldPerSecond))
	c.requireInForce(2)
	c.eventually("the state is confirmed", h.stateConfirmed)
}
