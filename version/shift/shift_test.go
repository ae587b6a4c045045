package shift

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalknot/version/config"
)

// tally counts the requests and moves of one version of a shift over all hosts.
type tally struct{ total, moved int }

// TestCapHoldsInAnyOrderOfEvents applies random sequences of requests, tickets, restarts
// and clock steps to several hosts, some of them without the newest tickets. After every
// request, no version of a shift may have moved more than its cap allows.
func TestCapHoldsInAnyOrderOfEvents(t *testing.T) {
	regions := []string{"sudvestur", "nordur", "austur"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		hosts := rapid.IntRange(1, 4).Draw(t, "hosts")
		deciders := make([]*Decider, hosts)
		inForce := make([][]*config.Shift, hosts)
		for h := range hosts {
			deciders[h] = NewDecider()
		}
		var newest []*config.Shift
		tallies := make(map[config.Shift]*tally)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			host := rapid.IntRange(0, hosts-1).Draw(t, "host")
			switch rapid.IntRange(0, 19).Draw(t, "step") {
			case 0:
				deciders[host] = NewDecider()
			case 1:
				newest = drawShifts(t, now, regions)
			case 2:
				inForce[host] = newest
				deciders[host].Retain(map[string][]*config.Shift{"bokun": newest})
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			default:
				req := Request{
					Shifts: inForce[host], Region: rapid.SampledFrom(regions).Draw(t, "region"), Now: now,
					Block: rapid.Uint64().Draw(t, "block") * 0x9E3779B97F4A7C15, UpToDate: rapid.Bool().Draw(t, "fresh"),
				}
				check(t, tallies, req, deciders[host].Decide(req))
			}
		}
	})
}

func drawShifts(t *rapid.T, now time.Time, regions []string) []*config.Shift {
	var shifts []*config.Shift
	for i := range rapid.IntRange(0, 3).Draw(t, "shifts") {
		capped := rapid.Float64Range(0, 1).Draw(t, "cap")
		s := &config.Shift{
			Name: fmt.Sprint("shift-", i), Service: "bokun", Cap: capped,
			From: rapid.SampledFrom(regions).Draw(t, "from"), To: rapid.SampledFrom(regions).Draw(t, "to"),
			Share: rapid.Float64Range(0, capped).Draw(t, "share"), RatePerSecond: rapid.SampledFrom([]float64{0, 0.01, 1}).Draw(t, "rate"),
		}
		if rapid.Bool().Draw(t, "ends") {
			s.End = now.Add(2 * time.Second)
		}
		shifts = append(shifts, s)
	}
	return shifts
}

func check(t *rapid.T, tallies map[config.Shift]*tally, req Request, d Decision) {
	for _, s := range req.Shifts {
		if s.From != req.Region {
			continue
		}
		if tallies[*s] == nil {
			tallies[*s] = &tally{}
		}
		count := tallies[*s]
		count.total++
		if s.Name == d.Shift && !d.Held {
			count.moved++
		}
		ended := !s.End.IsZero() && !req.Now.Before(s.End)
		if s.Name == d.Shift && !d.Held && ended {
			t.Fatalf("%s moved a request after its end", s.Name)
		}
		if float64(count.moved) > s.Cap*float64(count.total) {
			t.Fatalf("%s moved %d of %d over its cap %v", s.Name, count.moved, count.total, s.Cap)
		}
	}
}

func newRequest(s *config.Shift, block uint64, now time.Time) Request {
	return Request{Shifts: []*config.Shift{s}, Region: s.From, Block: block, Now: now, UpToDate: true}
}

// TestShareGrowsAndBlocksStayMoved runs a shift whose share grows by 0.01 per second to 0.2.
// In no second may more requests be moved than the share allows. Since the same blocks stay
// moved, only about a share of 0.2 of the blocks may be moved at all.
func TestShareGrowsAndBlocksStayMoved(t *testing.T) {
	start := time.Unix(0, 0).UTC()
	s := &config.Shift{Name: "s", From: "a", To: "b", Share: 0.2, Cap: 0.25, RatePerSecond: 0.01, Start: start}
	decider := NewDecider()
	rnd := rand.New(rand.NewPCG(1, 2))
	movedBlocks := make(map[uint64]bool)
	for second := range 40 {
		moved := 0
		const each = 2000
		for range each {
			block := uint64(rnd.IntN(500)) * 0x9E3779B97F4A7C15
			if d := decider.Decide(newRequest(s, block, start.Add(time.Duration(second)*time.Second))); d.Region == "b" {
				moved++
				movedBlocks[block] = true
			}
		}
		if limit := min(0.2, 0.01*float64(second)); float64(moved) > limit*each+maxSavedMoves {
			t.Fatalf("second %d: %d of %d moved, limit %v", second, moved, each, limit)
		}
	}
	if n := len(movedBlocks); n < 80 || n > 120 {
		t.Fatalf("%d of 500 blocks were moved for a share of 0.2", n)
	}
	if d := decider.Decide(newRequest(s, 0, start.Add(-time.Second))); d.Region != "a" {
		t.Fatal("moved before the start")
	}
}

// TestAccumulatedCreditIsBounded first sends requests outside the share, which accumulates
// credit. Later only the share and a bounded burst may be moved; otherwise a region with
// cold targets would get a sudden peak.
func TestAccumulatedCreditIsBounded(t *testing.T) {
	s := &config.Shift{Name: "s", From: "a", To: "b", Share: 0.1, Cap: 0.1}
	decider := NewDecider()
	now := time.Unix(0, 0)
	for range 10_000 {
		decider.Decide(newRequest(s, 1<<63, now)) // a block outside the share
	}
	moved := 0
	for range 1000 {
		if decider.Decide(newRequest(s, 0, now)).Region == "b" {
			moved++
		}
	}
	if moved > 100+maxSavedMoves {
		t.Fatalf("%d of 1000 moved", moved)
	}
}

// TestShareDoesNotGrowOnStaleHost checks that a share does not grow on a host that may lack
// the newest tickets.
func TestShareDoesNotGrowOnStaleHost(t *testing.T) {
	s := &config.Shift{Name: "s", From: "a", To: "b", Share: 1, Cap: 1, RatePerSecond: 0.1}
	decider := NewDecider()
	now := time.Unix(0, 0)
	for i := range 1000 {
		req := newRequest(s, 0, now.Add(time.Duration(i)*time.Second))
		req.UpToDate = false
		if decider.Decide(req).Region == "b" {
			t.Fatal("a host without the newest tickets moved a request")
		}
	}
}

// TestShiftsBetweenTheSameRegionsDoNotAddUp runs two shifts with caps of 0.1
// and 0.5. The moves between the two regions must stay within both caps.
func TestShiftsBetweenTheSameRegionsDoNotAddUp(t *testing.T) {
	shifts := []*config.Shift{
		{Name: "large", From: "a", To: "b", Share: 0.5, Cap: 0.5},
		{Name: "small", From: "a", To: "b", Share: 0.1, Cap: 0.1},
	}
	decider := NewDecider()
	rnd := rand.New(rand.NewPCG(1, 2))
	moved := 0
	for n := 1; n <= 10_000; n++ {
		if decider.Decide(Request{Shifts: shifts, Region: "a", Block: rnd.Uint64(), UpToDate: true}).Region == "b" {
			moved++
		}
		if moved*10 > n {
			t.Fatalf("%d of %d moved", moved, n)
		}
	}
	if moved < 900 {
		t.Fatalf("only %d of 10000 moved", moved)
	}
}
