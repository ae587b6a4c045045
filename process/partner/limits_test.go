package partner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalknot/process/fleet"
)

// limitSource is a host's changes of limits, one for each number.
type limitSource struct{ changes uint64 }

// since returns at most maxStated changes at once.
func (s *limitSource) since(acknowledged uint64, _ time.Time) (limits []fleet.StatedLimit, upTo uint64) {
	for n := acknowledged + 1; n <= s.changes; n++ {
		if len(limits) == maxStated {
			return limits, n - 1
		}
		limits = append(limits, fleet.StatedLimit{Target: fmt.Sprint(n)})
	}
	return limits, 0
}

// maxStated is how many changes a limitSource states at once.
const maxStated = 2

// TestEachLimitIsStatedOnce: a partner must be told of each change of a limit, also when replies are lost and
// when either host starts again, and of no change again that it has acknowledged.
func TestEachLimitIsStatedOnce(t *testing.T) {
	rapid.Check(t, checkStatedOnce)
}

func checkStatedOnce(t *rapid.T) {
	n := &testNetwork{groups: make(map[string]*Group), cutLinks: make(map[string]bool)}
	var source limitSource
	var got []string
	repeated, incarnation := 0, int64(1)
	client := new(lossyClient)
	startStating := func() *Group {
		g := n.add("b", "r", incarnation)
		source = limitSource{}
		g.opts.Limits = source.since
		return g
	}
	startAsking := func() *Group {
		g := n.add("a", "r", incarnation)
		got = nil
		g.opts.ApplyLimits = func(limits []fleet.StatedLimit, _ time.Time) {
			for _, l := range limits {
				if slices.Contains(got, l.Target) {
					repeated++
				}
				got = append(got, l.Target)
			}
		}
		client.networkClient = g.opts.Client.(networkClient)
		g.opts.Client = client
		return g
	}
	stating, asking := startStating(), startAsking()
	exchange := func() {
		if rapid.Bool().Draw(t, "stating calls") {
			stating.sendHeartbeat(context.Background(), asking.opts.Self)
			return
		}
		asking.sendHeartbeat(context.Background(), stating.opts.Self)
	}
	for range rapid.IntRange(1, 20).Draw(t, "steps") {
		switch rapid.IntRange(0, 7).Draw(t, "step") {
		case 0, 1:
			source.changes = stating.ResendFull()
		case 2:
			client.loses = true
		case 3:
			incarnation++
			stating, got = startStating(), nil
		case 4:
			incarnation++
			asking = startAsking()
		default:
			exchange()
		}
	}
	client.loses = false
	for range 4 + source.changes/maxStated {
		asking.sendHeartbeat(context.Background(), stating.opts.Self)
		stating.sendHeartbeat(context.Background(), asking.opts.Self)
	}
	for number := uint64(1); number <= source.changes; number++ {
		if !slices.Contains(got, fmt.Sprint(number)) {
			t.Fatalf("change %d of %d was not told; told of %v", number, source.changes, got)
		}
	}
	before := repeated
	source.changes = stating.ResendFull()
	asking.sendHeartbeat(context.Background(), stating.opts.Self)
	if repeated > before {
		t.Fatalf("%d changes were told again that had been acknowledged", repeated-before)
	}
}
