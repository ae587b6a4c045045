package scenario

import (
	"strconv"
	"testing"

	"quetzalknot/tools/standin/platformd"
	"quetzalknot/tools/standin/targetd"
	"quetzalknot/verdict"
)

// TestCrashingRequestIsQuarantined sends a request that crashes its target through
// one host after another, with the store down and innocent requests in flight.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			f := smallFleet(t, 3, 8)
			hosts := f.Hosts()
			f.Platform.Faults.Set(platformd.FaultState{Down: true})
			innocent := make(chan reply, 6)
			for i := range cap(innocent) {
				c := call{method: "GET", header: []string{targetd.HeaderRun, "300", "Quetzal-Request-Id", "innocent-" + strconv.Itoa(i)}}
				go func() { innocent <- c.to(t.Context(), hosts[i%3]) }()
			}
			waitUntil(t, "innocent requests are in flight", func() bool { return inFlight(f) == cap(innocent) })

			killer := call{method: method, body: "a bad skip", header: []string{targetd.HeaderFault, targetd.FaultCrash}}
			if method == "GET" {
				killer.body = ""
			}
			var last reply
			for i := range 6 {
				last = killer.to(t.Context(), hosts[i%3])
				if last.verdict == verdict.Ran {
					t.Errorf("sending %d: %v", i, last)
				}
			}
			if n := crashes(f); n != 2 {
				t.Errorf("%d targets crashed", n)
			}
			if last.status != 422 || last.verdict != verdict.NotRun {
				t.Errorf("resent after two crashes: %v", last)
			}
			for range cap(innocent) {
				if got := <-innocent; got.status != 200 || got.verdict != verdict.Ran {
					t.Errorf("innocent request: %v", got)
				}
			}
		})
	}
}

// TestInnocentPostIsNotBlamed lets an innocent request without a retry be in flight
// at a crash, and sends it again.
func TestInnocentPostIsNotBlamed(t *testing.T) {
	f := smallFleet(t, 2, 1)
	hosts := f.Hosts()
	innocent := call{method: "POST", body: "a good skip", header: []string{targetd.HeaderRun, "2000"}}
	seen := make(chan reply, 1)
	go func() { seen <- innocent.to(t.Context(), hosts[0]) }()
	waitUntil(t, "innocent request is in flight", func() bool { return inFlight(f) == 1 })
	call{method: "POST", body: "a bad skip", header: []string{targetd.HeaderFault, targetd.FaultCrash}}.to(t.Context(), hosts[1])
	if got := <-seen; got.verdict != verdict.MayHaveRun {
		t.Errorf("in flight at the crash: %v", got)
	}
	if err := f.Targets["bokun"][0].Restart(); err != nil {
		t.Fatal(err)
	}
	innocent.header = nil
	waitUntil(t, "innocent request runs again", func() bool {
		got := innocent.to(t.Context(), hosts[1])
		if got.status == 422 {
			t.Fatalf("blamed: %v", got)
		}
		return got.status == 200
	})
	if n := crashes(f); n != 1 {
		t.Errorf("%d crashes", n)
	}
}
