package entry

import (
	"testing"
	"time"

	"quetzalknot/platform/adapter"
)

// TestUnansweredTimeGrowsFromTheFirstCall checks that the figure of the time without an answer
// grows also if the store has answered no call since the host began to read.
func TestUnansweredTimeGrowsFromTheFirstCall(t *testing.T) {
	c := newCluster(t, 1, 1)
	endpoint := c.store.NewEndpoint()
	t.Cleanup(endpoint.Close)
	endpoint.Silence(adapter.OperatorTable, adapter.TargetTable)
	settings, err := Parse([]byte(settingsText(t, "late", endpoint.Addr(), false)))
	if err != nil {
		t.Fatal(err)
	}
	h := New(settings, "", c.logs)
	if err := h.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.close)
	time.Sleep(4 * time.Second)
	if got := h.storeStatus.sinceAnswer(adapter.OperatorTable, time.Now()); got < 2*time.Second {
		t.Errorf("store.unanswered_ms.%s says %v after 4 s without an answer (%d calls were sent)", adapter.OperatorTable, got, endpoint.Calls())
	}
}
