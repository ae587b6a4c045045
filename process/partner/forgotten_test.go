package partner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// rowsInterval is the time between two reads of the hosts' rows in the tests.
const rowsInterval = 20 * time.Second

// leaveHost makes the last of the groups leave and cuts it off.
func (n *testNetwork) leaveHost(t *testing.T, groups []*Group) Member {
	gone := groups[len(groups)-1]
	gone.Leave(t.Context())
	synctest.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range groups {
		n.cutLinks[gone.opts.Self.Name+">"+g.opts.Self.Name] = true
	}
	return gone.opts.Self
}

// TestRowOfGoneHostDoesNotStay: a host that has left, and whose row is back with a restored copy of the
// store, must not count for longer than any other host that is not alive.
func TestRowOfGoneHostDoesNotStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, groups := newNetwork(t, 3)
		g := groups[0]
		time.Sleep(2 * heartbeatInterval)
		gone := n.leaveHost(t, groups)
		for end := time.Now().Add(aliveTimeout + forgetAfter + 2*heartbeatInterval); time.Now().Before(end); time.Sleep(heartbeatInterval) {
			g.AddMembers([]Member{gone})
		}
		counted, owned, samples := 0, 0, 0
		for end := time.Now().Add(20 * time.Minute); time.Now().Before(end); time.Sleep(rowsInterval) {
			g.AddMembers([]Member{gone})
			samples++
			if g.KnownCount() != 2 {
				counted++
			}
			if !g.Owns(fmt.Sprint("i-", samples), 2) {
				owned++
			}
		}
		if counted > 0 || owned > 0 {
			t.Errorf("the gone host counts in %d of %d samples, and owns a key in place of this host in %d", counted, samples, owned)
		}
		time.Sleep(forgetAfter + forgottenRetention + 2*heartbeatInterval)
		g.mu.Lock()
		defer g.mu.Unlock()
		if len(g.forgotten) > 0 || len(g.members) != 1 {
			t.Errorf("%d forgotten and %d known hosts are kept", len(g.forgotten), len(g.members))
		}
	})
}

// TestForgottenHostsMeetAgain: hosts that were parted for so long that they have forgotten each other
// must find each other by their rows, and count again.
func TestForgottenHostsMeetAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, groups := newNetwork(t, 2)
		time.Sleep(2 * heartbeatInterval)
		n.mu.Lock()
		n.cutLinks["h00>h01"], n.cutLinks["h01>h00"] = true, true
		n.mu.Unlock()
		for end := time.Now().Add(10 * time.Minute); time.Now().Before(end); time.Sleep(rowsInterval) {
			groups[0].AddMembers([]Member{groups[1].opts.Self})
		}
		n.mu.Lock()
		clear(n.cutLinks)
		n.mu.Unlock()
		groups[0].AddMembers([]Member{groups[1].opts.Self})
		time.Sleep(2 * heartbeatInterval)
		for _, g := range groups {
			if len(g.Alive()) != 2 || g.KnownCount() != 2 {
				t.Errorf("%s: %d hosts alive, %d known, want 2", g.opts.Self.Name, len(g.Alive()), g.KnownCount())
			}
		}
	})
}

// TestRestartedHostCountsByItsRow: a host that was forgotten and starts again must count by the row of
// its new incarnation.
func TestRestartedHostCountsByItsRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, groups := newNetwork(t, 2)
		time.Sleep(2 * heartbeatInterval)
		m := n.leaveHost(t, groups)
		time.Sleep(aliveTimeout + forgetAfter + 2*heartbeatInterval)
		m.Incarnation++
		groups[0].AddMembers([]Member{m})
		if got := groups[0].KnownCount(); got != 2 {
			t.Errorf("%d hosts known, want 2", got)
		}
	})
}
