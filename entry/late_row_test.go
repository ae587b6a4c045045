package entry

import (
	"testing"

	"quetzalknot/platform/adapter"
)

// TestRowOfStartingHostWrittenAgainAfterRestore: the row of a host that starts is lost with a copy
// before the host has read any table; it must be written again.
func TestRowOfStartingHostWrittenAgainAfterRestore(t *testing.T) {
	c := newCluster(t, 1, 0)
	older := c.store.Snapshot()
	endpoint := c.store.NewEndpoint()
	t.Cleanup(endpoint.Close)
	endpoint.Silence(adapter.OperatorTable, adapter.TargetTable) // the reads of the tables take a while
	settings, err := Parse([]byte(settingsText(t, "front-start", endpoint.Addr(), false)))
	if err != nil {
		t.Fatal(err)
	}
	h := New(settings, "", c.logs)
	if err := h.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.close)
	c.eventually("the host has its row", func() bool { return c.store.HasHost("front-start") })
	c.store.Restore(older)
	endpoint.Silence()
	c.eventually("the host is ready", h.ready)
	c.eventually("the row is back", func() bool { return c.store.HasHost("front-start") })
}
