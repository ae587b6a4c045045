package entry

import (
	"testing"
	"time"

	"quetzalknot/platform/adapter"
)

// lastAnswer returns when any host of the cluster last got an answer of the store for a table.
func (c *cluster) lastAnswer(table string) time.Time {
	var last time.Time
	for _, h := range c.hosts {
		h.storeStatus.mu.Lock()
		if at := h.storeStatus.tables[table].confirmedAt; at.After(last) {
			last = at
		}
		h.storeStatus.mu.Unlock()
	}
	return last
}

// TestStateNotConfirmedBeyondTheBound makes the store silent and checks how old the newest answer
// that any host has is while a host still takes its state as confirmed, and so denies unknown routes.
func TestStateNotConfirmedBeyondTheBound(t *testing.T) {
	const hosts, readers = 6, 3
	c := newCluster(t, 1, hosts)
	c.eventually("the hosts have discovered each other", func() bool { return len(c.hosts[0].group.Alive()) == hosts })
	c.eventually("only three hosts read the store", func() bool { return len(c.readers()) == readers })
	time.Sleep(2 * time.Second)
	c.silence(adapter.OperatorTable, adapter.TargetTable)
	lastClaim := make([]time.Time, hosts)
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for i, h := range c.hosts {
			if asked := time.Now(); h.stateConfirmed() {
				lastClaim[i] = asked
			}
		}
	}
	answered := c.lastAnswer(adapter.OperatorTable)
	for i, at := range lastClaim {
		if age := at.Sub(answered); age > changeBound {
			t.Errorf("host %d (reads the store: %t) took its state as confirmed %v after the last answer that any host got; at most %v are allowed",
				i, c.hosts[i].group.IsStoreReader(), age.Round(10*time.Millisecond), changeBound)
		}
	}
}
