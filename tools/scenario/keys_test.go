package scenario

import (
	"context"
	"testing"

	"quetzalknot/tools/lab/fleet"
	"quetzalknot/tools/standin/platformd"
	"quetzalknot/verdict"
)

// TestKeyRunsAtMostOnce sends the same key again at every moment and through every
// host, with keys that name their owner and keys that get one by a row.
func TestKeyRunsAtMostOnce(t *testing.T) {
	for _, prefixed := range []bool{true, false} {
		name := "key without prefix"
		if prefixed {
			name = "key with prefix"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := smallFleet(t, 3, 2)
			hosts := f.Hosts()
			key := func(suffix string) string {
				if prefixed {
					return prefixOf(t, hosts[1], hosts[0]) + suffix
				}
				return suffix
			}
			resendDuringAndAfter(t, f, hosts, key("during"))
			otherBody(t, f, hosts, key("other"))
			callerGoesAway(t, f, hosts, key("away"))
			storeDown(t, f, hosts, key("store"), prefixed)
			ownerDies(t, f, hosts, key("dies"), key("answered"))
		})
	}
}

func resendDuringAndAfter(t *testing.T, f *fleet.Fleet, hosts []fleet.Host, key string) {
	t.Helper()
	c := call{method: "POST", key: key, body: "shift 7", header: slow}
	answers := make(chan reply, 3)
	go func() { answers <- c.to(t.Context(), hosts[0]) }()
	waitUntil(t, "first run begins", func() bool { return runs(f, key) > 0 })
	for _, h := range hosts[1:] {
		go func() { answers <- c.to(t.Context(), h) }()
	}
	first := <-answers
	for _, other := range []reply{<-answers, <-answers, c.to(t.Context(), hosts[2])} {
		if first.verdict != verdict.Ran || other != first {
			t.Errorf("resent: got %v, first %v", other, first)
		}
	}
	if n := runs(f, key); n != 1 {
		t.Errorf("%s ran %d times", key, n)
	}
}

func otherBody(t *testing.T, f *fleet.Fleet, hosts []fleet.Host, key string) {
	t.Helper()
	c := call{method: "POST", key: key, body: "shift 7"}
	c.to(t.Context(), hosts[0])
	c.body = "shift 8"
	for _, h := range hosts {
		if got := c.to(t.Context(), h); got.status != 422 || got.verdict != verdict.NotRun {
			t.Errorf("other body: %v", got)
		}
	}
	if n := runs(f, key); n != 1 {
		t.Errorf("%s ran %d times", key, n)
	}
}

func callerGoesAway(t *testing.T, f *fleet.Fleet, hosts []fleet.Host, key string) {
	t.Helper()
	c := call{method: "POST", key: key, body: "shift 7", header: slow}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for runs(f, key) == 0 && ctx.Err() == nil {
			continue
		}
		cancel()
	}()
	c.to(ctx, hosts[0])
	if got := c.to(t.Context(), hosts[1]); got.verdict != verdict.Ran || got.status != 200 {
		t.Errorf("resent after the caller went away: %v", got)
	}
	if n := runs(f, key); n != 1 {
		t.Errorf("%s ran %d times", key, n)
	}
}

// storeDown loses the answer of the write, and then the whole store.
func storeDown(t *testing.T, f *fleet.Fleet, hosts []fleet.Host, key string, prefixed bool) {
	t.Helper()
	c := call{method: "POST", key: key, body: "shift 7"}
	f.Platform.Faults.Set(platformd.FaultState{LoseAnswers: true})
	first := c.to(t.Context(), hosts[0])
	f.Platform.Faults.Set(platformd.FaultState{Down: true})
	if again := c.to(t.Context(), hosts[0]); first.verdict != verdict.Ran || again != first {
		t.Errorf("store down: first %v, again %v", first, again)
	}
	want := verdict.MayHaveRun
	if prefixed {
		want = verdict.Ran
	}
	if other := c.to(t.Context(), hosts[1]); other.verdict != want {
		t.Errorf("store down, other host: %v, want %v", other, want)
	}
	if n := runs(f, key); n != 1 {
		t.Errorf("%s ran %d times", key, n)
	}
	f.Platform.Faults.Set(platformd.FaultState{})
}

// ownerDies ends the owner during one run and after another, and starts it again.
func ownerDies(t *testing.T, f *fleet.Fleet, hosts []fleet.Host, during, after string) {
	t.Helper()
	answered := call{method: "POST", key: after, body: "shift 7"}
	first := answered.to(t.Context(), hosts[0])
	waitUntil(t, "answer stored", func() bool {
		_, err := f.Platform.Platform.Table.Get(t.Context(), "answer/"+after)
		return err == nil
	})
	running := call{method: "POST", key: during, body: "shift 7", header: []string{"Target-Run-Ms", "5000"}}
	go running.to(t.Context(), hosts[0])
	waitUntil(t, "run begins", func() bool { return runs(f, during) > 0 })
	f.KillHost(0)
	check := func(when string, hosts []fleet.Host) {
		for _, h := range hosts {
			if got := running.to(t.Context(), h); got.verdict != verdict.MayHaveRun || got.status < 400 {
				t.Errorf("%s, unfinished run: %v", when, got)
			}
			if got := answered.to(t.Context(), h); got != first {
				t.Errorf("%s, finished run: got %v, first %v", when, got, first)
			}
		}
		if runs(f, during) != 1 || runs(f, after) != 1 {
			t.Errorf("%s: ran %d and %d times", when, runs(f, during), runs(f, after))
		}
	}
	check("after the owner died", hosts[1:])
	if err := f.StartHost(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "restarted host is ready", func() bool { return f.Hosts()[0].Node.Ready() && f.Hosts()[0].Node.Version() > 0 })
	check("after a restart", f.Hosts())
}
