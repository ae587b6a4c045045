package scenario

import (
	"testing"
	"time"

	"quetzalknot/tools/lab/cluster"
	"quetzalknot/tools/lab/load"
	"quetzalknot/tools/standin/targetd"
)

// TestRollingRestart restarts all hosts under load, two at a time. No request may be
// lost, run twice or end with the verdict may-have-run.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 7, 8)
	sender := load.NewClientSender(apiAddrs(c), 3)
	defer sender.Close()
	restarted := make(chan error, 1)
	go func() { restarted <- restartAll(t, c) }()
	report, err := load.Run(t.Context(), load.Options{
		Kinds: []load.Kind{
			{Name: "search", Service: "bokun", Path: "/slots", RatePerSecond: 60, RunMS: 5},
			{Name: "booking", Service: "bokun", Method: "POST", Path: "/bookings", RatePerSecond: 20, RunMS: 20, BodyBytes: 200, Keyed: true},
			{Name: "claim", Service: "bokun", Method: "POST", Path: "/claims", RatePerSecond: 10, RunMS: 20, BodyBytes: 200},
			{Name: "photo", Service: "bokun", Method: "POST", Path: "/photos", RatePerSecond: 2, RunMS: 900, BodyBytes: 2 << 20},
			{Name: "archive", Service: "bokun", Path: "/archive", RatePerSecond: 2, RunMS: 500, ResponseBytes: 2 << 20},
		},
		Regions: []string{"sudvestur"}, Blocks: []string{"198.18.0.0/24"},
		Seed: 5, Duration: 30 * time.Second, RunID: "rolling", Sender: sender,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := <-restarted; err != nil {
		t.Fatal(err)
	}
	requireConsistentOutcomes(t, c, report)
}

func apiAddrs(c *cluster.Cluster) []string {
	var addrs []string
	for _, h := range c.Hosts() {
		addrs = append(addrs, h.Process.Addrs().API)
	}
	return addrs
}

// restartAll restarts each host, two at a time.
func restartAll(t *testing.T, c *cluster.Cluster) error {
	for first := 0; first < 7; first += 2 {
		errs := make(chan error, 2)
		hosts := []int{first, first + 1}[:min(2, 7-first)]
		for _, i := range hosts {
			go func() { errs <- restart(t, c, i) }()
		}
		for range hosts {
			if err := <-errs; err != nil {
				return err
			}
		}
	}
	return nil
}

func restart(t *testing.T, c *cluster.Cluster, i int) error {
	if err := c.StopHost(t.Context(), i); err != nil {
		return err
	}
	if err := c.StartHost(t.Context(), i); err != nil {
		return err
	}
	return c.WaitVersion(t.Context(), 1)
}

// requireConsistentOutcomes requires that every request ran once and had a complete
// response, or was rejected without running.
func requireConsistentOutcomes(t *testing.T, c *cluster.Cluster, report *load.Report) {
	t.Helper()
	var targets []*targetd.Server
	for _, servers := range c.Targets {
		targets = append(targets, servers...)
	}
	report.Reconcile(targets)
	for _, r := range report.Results {
		t.Logf("%s: sent=%d ran=%d not-run=%d may-have-run=%d lost=%d doubled=%d crossed=%d cut=%d unanswered=%d failed=%d",
			r.Kind, r.Sent, r.Ran, r.NotRun, r.MayHaveRun, r.Lost, r.RanTwice, r.Mismatched, r.Truncated, r.Unanswered, r.Failed)
		if r.Violations() > 0 || r.MayHaveRun > 0 || r.Ran == 0 {
			t.Errorf("%s: a guarantee was violated, a request may have run, or none ran", r.Kind)
		}
	}
}
