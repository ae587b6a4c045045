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
		serving := n.add("h02", "r", 1)
		serving.opts.StateVersion = func() uint64 { return 3 }
		time.Sleep(introductionTime)
		g, starting := n.add("h00", "r", 1), n.add("h01", "r", 1)
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

// TestHostStartedOnCopyDoesNotIntroduce: a host that has just started on a restored store and has the
// state of the copy must not stand for those that have a later one in force.
func TestHostStartedOnCopyDoesNotIntroduce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
		g, starting := n.add("h00", "r", 1), n.add("h01", "r", 1)
		starting.opts.StateVersion = func() uint64 { return 1 }
		beat := starting.heartbeat()
		g.receive(&beat)
		if g.Introduced(time.Now()) {
			t.Error("a host counts as introduced by one that is not introduced itself")
		}
		time.Sleep(introductionTime)
		beat = starting.heartbeat()
		if beat.StateVersion != 1 {
			t.Errorf("a host that nobody has contradicted states version %d, want 1", beat.StateVersion)
		}
	})
}
