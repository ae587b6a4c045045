package partner

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestHostWithoutStateDoesNotIntroduce: of two hosts that start together on a restored store neither
// learns from the other what the remaining hosts have in force.
func TestHostWithoutStateDoesNotIntroduce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		g, starting, serving := n.add("h00", "r", 1), n.add("h01", "r", 1), n.add("h02", "r", 1)
		serving.opts.StateVersion = func() uint64 { return 3 }
		beat := starting.heartbeat()
		g.receive(&beat)
		if g.Introduced(time.Now()) {
			t.Error("a host counts as introduced by one that has no desired state")
		}
		beat = serving.heartbeat()
		g.receive(&beat)
		if !g.Introduced(time.Now()) || g.StateVersion() != 3 {
			t.Errorf("introduced %t, version %d after the heartbeat of a host with version 3", g.Introduced(time.Now()), g.StateVersion())
		}
	})
}
