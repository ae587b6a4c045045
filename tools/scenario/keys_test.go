package scenario

import (
	"context"
	"testing"

	"quetzalknot/tools/lab/cluster"
	"quetzalknot/tools/standin/platformd"
	"quetzalknot/verdict"
)

// TestKeyRunsAtMostOnce resends requests with an idempotency key through every host:
// during and after the first run, after the caller cancels, while the store is down,
// and after the owner is killed and restarted. None may run twice. Keys with a prefix
// name their owner; for other keys a row in the store records the owner.
func TestKeyRunsAtMostOnce(t *testing.T) {
	for _, prefixed := range []bool{true, false} {
		name := "key without prefix"
		if prefixed {
			name = "key with prefix"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 3, 2)
			hosts := c.Hosts()
			key := func(suffix string) string {
				if prefixed {
					return keyPrefixOf(t, hosts[1], hosts[0]) + suffix
				}
				return suffix
			}
			resendDuringAndAfter(t, c, hosts, key("during"))
			resendWithOtherBody(t, c, hosts, key("other"))
			resendAfterCallerCancels(t, c, hosts, key("away"))
			resendDuringStoreOutage(t, c, hosts, key("store"), prefixed)
			resendAfterOwnerIsKilled(t, c, hosts, key("dies"), key("answered"))
		})
	}
}

func resendDuringAndAfter(t *testing.T, c *cluster.Cluster, hosts []cluster.Host, key string) {
	t.Helper()
	r := testRequest{method: "POST", key: key, body: "shift 7", header: slowRun}
	responses := make(chan response, 3)
	go func() { responses <- r.send(t.Context(), hosts[0]) }()
	waitUntil(t, "the first run starts", func() bool { return keyRuns(c, key) > 0 })
	for _, h := range hosts[1:] {
		go func() { responses <- r.send(t.Context(), h) }()
	}
	first := <-responses
	for _, other := range []response{<-responses, <-responses, r.send(t.Context(), hosts[2])} {
		if first.verdict != verdict.Ran || other != first {
			t.Errorf("resent: got %v, want %v", other, first)
		}
	}
	if n := keyRuns(c, key); n != 1 {
		t.Errorf("%s ran %d times", key, n)
	}
}

func resendWithOtherBody(t *testing.T, c *cluster.Cluster, hosts []cluster.Host, key string) {
	t.Helper()
	r := testRequest{method: "POST", key: key, body: "shift 7"}
	r.send(t.Context(), hosts[0])
	r.body = "shift 8"
	for _, h := range hosts {
		if got := r.send(t.Context(), h); got.status != 422 || got.verdict != verdict.NotRun {
			t.Errorf("other body: %v", got)
		}
	}
	if n := keyRuns(c, key); n != 1 {
		t.Errorf("%s ran %d times", key, n)
	}
}

func resendAfterCallerCancels(t *testing.T, c *cluster.Cluster, hosts []cluster.Host, key string) {
	t.Helper()
	r := testRequest{method: "POST", key: key, body: "shift 7", header: slowRun}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for keyRuns(c, key) == 0 && ctx.Err() == nil {
			continue
		}
		cancel()
	}()
	r.send(ctx, hosts[0])
	if got := r.send(t.Context(), hosts[1]); got.verdict != verdict.Ran || got.status != 200 {
		t.Errorf("resent after the caller cancelled: %v", got)
	}
	if n := keyRuns(c, key); n != 1 {
		t.Errorf("%s ran %d times", key, n)
	}
}

// resendDuringStoreOutage loses the store's response to the write of the claim and
// then stops the store. The owner must repeat its response. Another host finds the
// owner only by a key prefix; without one the outcome is may-have-run.
func resendDuringStoreOutage(t *testing.T, c *cluster.Cluster, hosts []cluster.Host, key string, prefixed bool) {
	t.Helper()
	r := testRequest{method: "POST", key: key, body: "shift 7"}
	c.Platform.Faults.Set(platformd.FaultState{LoseResponses: true})
	first := r.send(t.Context(), hosts[0])
	c.Platform.Faults.Set(platformd.FaultState{Down: true})
	if again := r.send(t.Context(), hosts[0]); first.verdict != verdict.Ran || again != first {
		t.Errorf("store down: first %v, again %v", first, again)
	}
	want := verdict.MayHaveRun
	if prefixed {
		want = verdict.Ran
	}
	if other := r.send(t.Context(), hosts[1]); other.verdict != want {
		t.Errorf("store down, other host: %v, want %v", other, want)
	}
	if n := keyRuns(c, key); n != 1 {
		t.Errorf("%s ran %d times", key, n)
	}
	c.Platform.Faults.Set(platformd.FaultState{})
}

// resendAfterOwnerIsKilled kills the owner during one run and after another, and
// restarts it. The unfinished request must be may-have-run and the finished one must
// have its stored response, before and after the restart.
func resendAfterOwnerIsKilled(t *testing.T, c *cluster.Cluster, hosts []cluster.Host, during, after string) {
	t.Helper()
	answered := testRequest{method: "POST", key: after, body: "shift 7"}
	first := answered.send(t.Context(), hosts[0])
	waitUntil(t, "the response is stored", func() bool {
		_, err := c.Platform.Platform.Table.Get(t.Context(), "answer/"+after)
		return err == nil
	})
	running := testRequest{method: "POST", key: during, body: "shift 7", header: []string{"Target-Run-Ms", "5000"}}
	go running.send(t.Context(), hosts[0])
	waitUntil(t, "the run starts", func() bool { return keyRuns(c, during) > 0 })
	c.KillHost(0)
	check := func(when string, hosts []cluster.Host) {
		for _, h := range hosts {
			if got := running.send(t.Context(), h); got.verdict != verdict.MayHaveRun || got.status < 400 {
				t.Errorf("%s, unfinished run: %v", when, got)
			}
			if got := answered.send(t.Context(), h); got != first {
				t.Errorf("%s, finished run: got %v, first %v", when, got, first)
			}
		}
		if keyRuns(c, during) != 1 || keyRuns(c, after) != 1 {
			t.Errorf("%s: ran %d and %d times", when, keyRuns(c, during), keyRuns(c, after))
		}
	}
	check("after the owner was killed", hosts[1:])
	if err := c.StartHost(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the restarted host is ready", func() bool { return c.Hosts()[0].Process.Ready() && c.Hosts()[0].Process.Version() > 0 })
	check("after the restart", c.Hosts())
}
