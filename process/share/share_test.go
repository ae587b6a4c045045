package share

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testHost is a process that reads the list from time to time.
type testHost struct {
	name  string
	view  *View
	alive bool
}

// TestSharesNeverOverlap: shares must not overlap when hosts start, pause and stop in any
// order, read the list at their own times, and go on using an old list while paused. A row
// stays listed for Handover after its last renewal; View needs it for ViewTerm at least.
func TestSharesNeverOverlap(t *testing.T) {
	const units = 12
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var hosts []*testHost
		table := make(map[Host]time.Time)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				name := fmt.Sprint("h", len(hosts))
				hosts = append(hosts, &testHost{name: name, view: NewView(), alive: true})
			case 1:
				if len(hosts) > 0 {
					h := rapid.SampledFrom(hosts).Draw(t, "pause")
					h.alive = !h.alive
				}
			default:
				renewAndRead(t, hosts, table, now)
			}
			owned, shareSum := 0, 0.0
			for _, h := range hosts {
				if h.view.Usable(now) {
					owned += h.view.OwnedUnits("bokun/nordur", units)
					shareSum += 1 / float64(h.view.Count("nordur"))
				}
			}
			if owned > units || shareSum > 1+1e-9 {
				t.Fatalf("%d of %d units are owned, shares sum to %v", owned, units, shareSum)
			}
		}
	})
}

// renewAndRead lets some of the running hosts renew their row and read the list.
func renewAndRead(t *rapid.T, hosts []*testHost, table map[Host]time.Time, now time.Time) {
	for _, h := range hosts {
		if !h.alive || rapid.IntRange(0, 4).Draw(t, "skip") == 0 {
			continue
		}
		row := Host{Name: h.name, Region: "nordur"}
		table[row] = now
		var live []Host
		for host, renewed := range table {
			if now.Sub(renewed) <= Handover {
				live = append(live, host)
			}
		}
		h.view.Observe(now, h.name, live)
	}
}

func TestAllUnitsAreOwnedAfterHandover(t *testing.T) {
	now := time.Unix(0, 0)
	live := []Host{{"a", "x"}, {"b", "x"}, {"c", "y"}}
	owned := 0
	for _, h := range live {
		v := NewView()
		v.Observe(now, h.Name, live)
		if v.Usable(now.Add(ViewTerm)) {
			t.Fatal("a host may use its share before it was listed for Handover")
		}
		v.Observe(now.Add(ViewTerm), h.Name, live)
		v.Observe(now.Add(Handover), h.Name, live)
		if !v.Usable(now.Add(Handover)) || v.Usable(now.Add(Handover+ViewTerm+1)) {
			t.Fatal("a share must be usable from Handover on while the list is at most ViewTerm old")
		}
		owned += v.OwnedUnits("bokun/y", 10)
	}
	if owned != 10 {
		t.Fatalf("%d of 10 units are owned", owned)
	}
}
