package sitereport_test

import (
	"testing"
	"time"

	"quetzalknot/process/sitereport"
)

// TestLatencyLevels converts latencies to levels and back, with an error below one step.
func TestLatencyLevels(t *testing.T) {
	for _, d := range []time.Duration{100 * time.Microsecond, time.Millisecond, 35 * time.Millisecond, 300 * time.Millisecond} {
		got := sitereport.LatencyOf(sitereport.LatencyLevel(d))
		if ratio := float64(got) / float64(d); ratio < 0.95 || ratio > 1.05 {
			t.Errorf("%v became %v", d, got)
		}
	}
	if sitereport.LatencyLevel(0) != 0 || sitereport.LatencyLevel(time.Hour) < 200 {
		t.Error("the smallest or the largest latency has a wrong level")
	}
}

// TestLinkReports checks that the first latency and lasting changes are published but
// not single slow round trips, and that one report that is wrong, outdated or not from
// a watcher does not determine the aggregated latency.
func TestLinkReports(t *testing.T) {
	var r sitereport.LinkReporter
	now := fixedNow()
	step := func(rtt time.Duration) (uint8, bool) {
		now = now.Add(5 * time.Second)
		return r.Observe(rtt, now)
	}
	first, publish := step(70 * time.Millisecond)
	if !publish || first != sitereport.LatencyLevel(35*time.Millisecond) {
		t.Fatalf("first round trip: level %d, published %v", first, publish)
	}
	if _, publish = step(900 * time.Millisecond); publish {
		t.Error("a single slow round trip was published")
	}
	published := 0
	for range 30 {
		if _, publish = step(140 * time.Millisecond); publish {
			published++
		}
	}
	if published != 1 {
		t.Errorf("a doubled latency was published %d times, want 1", published)
	}
	watchers := []string{"a", "b", "c"}
	report := func(name string, ms int, age time.Duration) sitereport.Report {
		level := sitereport.LatencyLevel(time.Duration(ms) * time.Millisecond)
		return sitereport.Report{Reporter: sitereport.IDOf(name), Own: level, AgeMS: uint32(age.Milliseconds())}
	}
	for name, tc := range map[string]struct {
		reports []sitereport.Report
		wantMS  int
	}{
		"one":          {[]sitereport.Report{report("a", 1, 0)}, 0},
		"one of three": {[]sitereport.Report{report("a", 1, 0), report("b", 35, 0), report("c", 36, 0)}, 35},
		"two differ":   {[]sitereport.Report{report("a", 1, 0), report("b", 35, 0)}, 35},
		"outdated":     {[]sitereport.Report{report("a", 1, 0), report("b", 1, time.Hour)}, 0},
		"non-watcher":  {[]sitereport.Report{report("a", 1, 0), report("x", 1, 0)}, 0},
	} {
		got, ok := sitereport.AggregateLink(tc.reports, watchers)
		if ok != (tc.wantMS > 0) || ok && (got < time.Duration(tc.wantMS)*time.Millisecond*9/10 || got > time.Duration(tc.wantMS)*time.Millisecond*11/10) {
			t.Errorf("%s: got %v, %v, want %d ms", name, got, ok, tc.wantMS)
		}
	}
}
