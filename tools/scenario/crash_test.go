package scenario

import (
	"strconv"
	"testing"

	"quetzalknot/tools/standin/platformd"
	"quetzalknot/tools/standin/targetd"
	"quetzalknot/verdict"
)

// TestCrashingRequestIsQuarantined resends a request that crashes its target through
// one host after another, while the store is down and unrelated requests are in
// flight. The request must be quarantined after two crashes, and the unrelated
// requests must succeed.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 3, 8)
			hosts := c.Hosts()
			c.Platform.Faults.Set(platformd.FaultState{Down: true})
			unrelated := make(chan response, 6)
			for i := range cap(unrelated) {
				r := testRequest{method: "GET", header: []string{targetd.HeaderRun, "300", "Quetzal-Request-Id", "innocent-" + strconv.Itoa(i)}}
				go func() { unrelated <- r.send(t.Context(), hosts[i%3]) }()
			}
			waitUntil(t, "unrelated requests are in flight", func() bool { return inFlightCount(c) == cap(unrelated) })

			crashing := testRequest{method: method, body: "a bad skip", header: []string{targetd.HeaderFault, targetd.FaultCrash}}
			if method == "GET" {
				crashing.body = ""
			}
			var last response
			for i := range 6 {
				last = crashing.send(t.Context(), hosts[i%3])
				if last.verdict == verdict.Ran {
					t.Errorf("attempt %d: %v", i, last)
				}
			}
			if n := crashCount(c); n != 2 {
				t.Errorf("%d targets crashed, want 2", n)
			}
			if last.status != 422 || last.verdict != verdict.NotRun {
				t.Errorf("resent after two crashes: %v", last)
			}
			for range cap(unrelated) {
				if got := <-unrelated; got.status != 200 || got.verdict != verdict.Ran {
					t.Errorf("unrelated request: %v", got)
				}
			}
		})
	}
}

// TestUnrelatedPostIsNotQuarantined has a POST, which is not retried, in flight at a target
// that another request crashes. When it is sent again, it must run and not be
// quarantined for the crash.
func TestUnrelatedPostIsNotQuarantined(t *testing.T) {
	c := startCluster(t, 2, 1)
	hosts := c.Hosts()
	unrelated := testRequest{method: "POST", body: "a good skip", header: []string{targetd.HeaderRun, "2000"}}
	responses := make(chan response, 1)
	go func() { responses <- unrelated.send(t.Context(), hosts[0]) }()
	waitUntil(t, "unrelated request is in flight", func() bool { return inFlightCount(c) == 1 })
	testRequest{method: "POST", body: "a bad skip", header: []string{targetd.HeaderFault, targetd.FaultCrash}}.send(t.Context(), hosts[1])
	if got := <-responses; got.verdict != verdict.MayHaveRun {
		t.Errorf("in flight at the crash: %v", got)
	}
	if err := c.Targets["bokun"][0].Restart(); err != nil {
		t.Fatal(err)
	}
	unrelated.header = nil
	waitUntil(t, "unrelated request succeeds when resent", func() bool {
		got := unrelated.send(t.Context(), hosts[1])
		if got.status == 422 {
			t.Fatalf("quarantined for another request's crash: %v", got)
		}
		return got.status == 200
	})
	if n := crashCount(c); n != 1 {
		t.Errorf("%d crashes, want 1", n)
	}
}
