package serve_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// TestLateRequestsOfStop: requests that came late in a stop were passed on and cut at its end (incident 0012).
// One that can't be expected to end in time is refused at once and never sent; others are served.
func TestLateRequestsOfStop(t *testing.T) {
	const runTime, window, left = 300 * time.Millisecond, 5 * time.Second, 500 * time.Millisecond
	f := newFixture(t)
	f.apply(nil)
	target := f.addTarget("i-1", standin.Good, runTime)
	send := func(id string) response { return f.exchange(standin.Head("POST", "/book/1", id, "5000")) }
	for i := range 5 {
		if got := send(fmt.Sprint("before-", i)); got.status != http.StatusOK {
			t.Fatalf("before the stop: %+v", got)
		}
	}
	end := time.Now().Add(window)
	f.handler.Stop(end)
	if got := send("early"); got.status != http.StatusOK {
		t.Errorf("early in the stop: %+v", got)
	}
	time.Sleep(time.Until(end.Add(-left)))
	start := time.Now()
	if got := send("late"); got.status != http.StatusServiceUnavailable || time.Since(start) > left || target.RunsOf("late") > 0 {
		t.Errorf("late in the stop: %+v after %v, ran %d times", got, time.Since(start), target.RunsOf("late"))
	}
	time.Sleep(time.Until(end.Add(left)))
	if got := send("after"); got.status != http.StatusServiceUnavailable || target.RunsOf("after") > 0 {
		t.Errorf("after the end: %+v, ran %d times", got, target.RunsOf("after"))
	}
}
