package entry

import (
	"testing"
	"time"
)

// TestEvacuationHeldAfterSecondRestore: what a second restore lacks must be held from then on, since
// the operator writes again only after it.
func TestEvacuationHeldAfterSecondRestore(t *testing.T) {
	c := newCluster(t, 1, 1)
	older := c.store.Snapshot()
	c.store.Evacuate("no-gler")
	c.eventually("the evacuation is in force", func() bool { return c.hosts[0].fleet.Evacuated("no-gler") })
	c.store.Restore(older)
	c.eventually("first restore seen", func() bool { return c.hosts[0].mirror.Position("op").Era == 2 })
	time.Sleep(1200 * time.Millisecond)
	c.store.Restore(older)
	c.eventually("second restore seen", func() bool { return c.hosts[0].mirror.Position("op").Era == 3 })
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if !c.hosts[0].fleet.Evacuated("no-gler") {
			t.Fatal("the evacuation ended within the hold of the second restore")
		}
	}
}
