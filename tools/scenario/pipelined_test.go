package scenario

import (
	"testing"
	"time"

	"quetzalknot/tools/lab/load"
)

// TestPipelinedLoad sends idempotent requests ahead on few connections, beside others. Each
// request must get its own complete response, and none may be lost or run twice.
func TestPipelinedLoad(t *testing.T) {
	t.Parallel()
	const ahead = 8
	c := startCluster(t, 2, 8)
	sender := load.NewPipelinedSender(apiAddrs(c), 3, ahead)
	defer sender.Close()
	report, err := load.Run(t.Context(), load.Options{
		Kinds: []load.Kind{
			{Name: "search", Service: "bokun", Path: "/slots", RatePerSecond: 150, RunMS: 10},
			{Name: "booking", Service: "bokun", Method: "POST", Path: "/bookings", RatePerSecond: 20, RunMS: 20, BodyBytes: 200, Keyed: true},
			{Name: "archive", Service: "bokun", Path: "/archive", RatePerSecond: 5, RunMS: 20, ResponseBytes: 1 << 20},
		},
		Regions: []string{"sudvestur"}, Blocks: []string{"198.18.0.0/24"},
		Seed: 5, Duration: 5 * time.Second, RunID: "pipelined", Sender: sender,
	})
	if err != nil {
		t.Fatal(err)
	}
	requireConsistentOutcomes(t, c, report)
}
