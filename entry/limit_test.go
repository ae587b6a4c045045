package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
)

// TestBodyNotRefusedBeforeStateConfirmed guards against status 413 by a limit that a newer state
// may have raised, from a host that is not up to date.
func TestBodyNotRefusedBeforeStateConfirmed(t *testing.T) {
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	c.store.PutState(strings.Replace(standin.DesiredState(2, coldPerSecond), `"bodyBytes":67108864`, `"bodyBytes":8`, 1))
	c.eventually("the host has the version", func() bool { return c.allHaveVersion(2) })
	c.silence(adapter.OperatorTable, adapter.TargetTable)
	c.eventually("the host is not up to date", func() bool { return !h.upToDate() })
	time.Sleep(100 * time.Millisecond)
	if got := send(h.addr(), "POST", "/book/1", "r-1", "more than eight bytes"); got.Status != http.StatusServiceUnavailable {
		t.Errorf("a body above a limit that may have been raised got status %d, want 503", got.Status)
	}
}
