package entry

import (
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// TestRoutesNotDeniedByHostStartedOnCopy: a host that starts on a restored store knows only the copy,
// while its partners have a newer acknowledged state in force.
func TestRoutesNotDeniedByHostStartedOnCopy(t *testing.T) {
	c := newCluster(t, 1, 1)
	older := c.store.Snapshot()
	c.store.PutState(standin.DesiredState(2, coldPerSecond))
	c.requireInForce(2)
	c.store.Restore(older)
	time.Sleep(300 * time.Millisecond)
	h := c.addHost("front-late")
	c.eventually("the host is ready", h.ready)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if v := h.stateVersion(); v < 2 && h.stateConfirmed() {
			t.Fatalf("a host takes version %d for confirmed; the others have version %d in force", v, c.hosts[0].stateVersion())
		}
	}
	c.store.PutState(standin.DesiredState(2, coldPerSecond)) // the operator writes it again
	c.eventually("the state is confirmed", func() bool { return h.stateVersion() == 2 && h.stateConfirmed() })
}
