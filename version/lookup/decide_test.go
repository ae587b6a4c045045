package lookup_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalknot/version/config"
	"quetzalknot/version/lookup"
)

// inputs returns 3 regions with 2 failure domains of 5 hosts each. The block 10.0.0.0/8
// is assigned to r0.
func inputs(t interface{ Fatal(...any) }) lookup.Inputs {
	table, err := lookup.BuildTable([]config.Block{{Prefix: "10.0.0.0/8", Region: "r0"}, {Prefix: "10.9.0.0/16", Region: "r0", Entries: []string{"r1-d0-0", "gone", "r1-d0-1"}}})
	if err != nil {
		t.Fatal(err)
	}
	in := lookup.Inputs{Version: 7, Table: table, Services: []string{"bokun"}, Latency: func(from, to string) time.Duration {
		return time.Duration(len(from)+int(to[1]-'0')) * time.Millisecond
	}}
	for r := range 3 {
		for i := range 10 {
			domain := fmt.Sprintf("r%d-d%d", r, i/5)
			in.Hosts = append(in.Hosts, lookup.Host{Name: fmt.Sprintf("%s-%d", domain, i%5), Region: fmt.Sprintf("r%d", r), FailureDomain: domain})
		}
	}
	return in
}

func client(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}) }

func decide(v *lookup.View, addr netip.Addr, caller string) []lookup.Host {
	return v.Hosts(v.ChooseHosts("bokun", addr, lookup.CallerKey(addr, caller)))
}

// callersIn counts n callers by the region of their first entry host.
func callersIn(v *lookup.View, n int) map[string]int {
	counts := make(map[string]int)
	for i := range n {
		counts[decide(v, client(i), "")[0].Region]++
	}
	return counts
}

// TestEqualInputsGiveEqualChoices shuffles hosts and shifts and removes some hosts.
// Views with equal inputs must choose the same entry hosts, and the second one must be in
// another failure domain if there is one.
func TestEqualInputsGiveEqualChoices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := inputs(t)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rnd.Shuffle(len(in.Hosts), func(i, j int) { in.Hosts[i], in.Hosts[j] = in.Hosts[j], in.Hosts[i] })
		in.Hosts = in.Hosts[:2+rnd.IntN(len(in.Hosts)-1)]
		in.Weights = map[string]lookup.Weight{"r0": {Own: uint8(rnd.Uint32()), Other: uint8(rnd.Uint32())}, "r1": {Own: uint8(rnd.Uint32()), Other: uint8(rnd.Uint32())}}
		in.Shifts = map[string][]*config.Shift{"bokun": {{Name: "a", From: "r0", To: "r1", Share: 0.4, Cap: 1}, {Name: "b", From: "r0", To: "r2", Share: 0.6, Cap: 1}}}
		first := lookup.NewView(in)
		rnd.Shuffle(len(in.Hosts), func(i, j int) { in.Hosts[i], in.Hosts[j] = in.Hosts[j], in.Hosts[i] })
		in.Shifts["bokun"][0], in.Shifts["bokun"][1] = in.Shifts["bokun"][1], in.Shifts["bokun"][0]
		second := lookup.NewView(in)
		if first.Tag() != second.Tag() {
			t.Fatal("tags differ")
		}
		domains := make(map[string]bool)
		for _, h := range in.Hosts {
			domains[h.FailureDomain] = true
		}
		for range 20 {
			addr := netip.AddrFrom4([4]byte{10, byte(8 + rnd.IntN(3)), 0, byte(rnd.Uint32())})
			got := decide(first, addr, "")
			if !reflect.DeepEqual(got, decide(second, addr, "")) {
				t.Fatalf("%s: %v and %v", addr, got, decide(second, addr, ""))
			}
			if len(domains) > 1 && got[0].FailureDomain == got[1].FailureDomain {
				t.Fatalf("%s: first and second in one failure domain: %v", addr, got)
			}
		}
	})
}

// TestOrderOfEntryHosts checks the order of the entry hosts, overrides, placements and an
// unknown service.
func TestOrderOfEntryHosts(t *testing.T) {
	in := inputs(t)
	v := lookup.NewView(in)
	for i := range 200 {
		got := decide(v, client(i), "")
		if got[0].Region != "r0" || got[1].Region != "r0" || got[2].Region != "r1" {
			t.Fatalf("entries %v, want r0, r0, r1", got)
		}
	}
	got := decide(v, netip.MustParseAddr("10.9.0.1"), "")
	if got[0].Name != "r1-d0-0" || got[1].FailureDomain == "r1-d0" || got[2].Name != "r1-d0-1" {
		t.Errorf("override gave %v", got)
	}
	in.Placements = map[string]*config.Placement{"bokun": {Service: "bokun", Regions: []string{"r2"}}}
	if counts := callersIn(lookup.NewView(in), 100); counts["r2"] != 100 {
		t.Errorf("placed in r2, callers enter at %v", counts)
	}
	if c := v.ChooseHosts("none", client(1), 1); len(v.Hosts(c)) != 0 {
		t.Error("an unknown service got entries")
	}
}

// TestWeightsMoveCallersStepByStep raises the weight of a region from 0 to FullWeight. At
// each step the region must get its share of callers, and no caller may leave it.
func TestWeightsMoveCallersStepByStep(t *testing.T) {
	const n = 2000
	was := make(map[int]string)
	for _, own := range []uint8{0, 64, 128, 192, lookup.FullWeight} {
		in := inputs(t)
		in.Weights = map[string]lookup.Weight{"r0": {Own: own}, "r1": {Own: lookup.FullWeight, Other: lookup.FullWeight}}
		v := lookup.NewView(in)
		share := float64(callersIn(v, n)["r0"]) / n
		if want := float64(own) / lookup.FullWeight; share < want-0.04 || share > want+0.04 {
			t.Errorf("weight %d: share %.3f, want about %.3f", own, share, want)
		}
		for i := range n {
			now := decide(v, client(i), "")[0].Region
			if was[i] == "r0" && now != "r0" {
				t.Fatalf("caller %d left a region whose weight grew", i)
			}
			was[i] = now
		}
	}
}

// TestRegionsWithoutWeightGetNoRedirectedCallers gives r0 a weight of half. All callers must
// stay there, since r1 and r2 have no weights and so accept no callers from other regions.
func TestRegionsWithoutWeightGetNoRedirectedCallers(t *testing.T) {
	in := inputs(t)
	in.Weights = map[string]lookup.Weight{"r0": {Own: 128}}
	if counts := callersIn(lookup.NewView(in), 500); counts["r0"] != 500 {
		t.Errorf("callers enter at %v, want all at r0", counts)
	}
}

// TestOnlyShiftsWithFullCapMoveEntries checks that a shift changes entry regions only if its cap is 1.
func TestOnlyShiftsWithFullCapMoveEntries(t *testing.T) {
	for _, tc := range []struct {
		share, limit, want float64
	}{{0.3, 0.3, 0}, {0.99, 0.99, 0}, {0.3, 1, 0.3}, {1, 1, 1}} {
		in := inputs(t)
		in.Shifts = map[string][]*config.Shift{"bokun": {{Name: "a", From: "r0", To: "r2", Share: tc.share, Cap: tc.limit}}}
		got := float64(callersIn(lookup.NewView(in), 2000)["r2"]) / 2000
		if got < tc.want*0.9 || got > tc.want*1.1 {
			t.Errorf("share %v, cap %v: moved %v, want %v", tc.share, tc.limit, got, tc.want)
		}
	}
}

// TestCallersBehindOneAddressAreSpread checks that named callers behind one address are spread
// evenly over the hosts.
func TestCallersBehindOneAddressAreSpread(t *testing.T) {
	v := lookup.NewView(inputs(t))
	counts := make(map[string]int)
	for i := range 3000 {
		counts[decide(v, client(1), fmt.Sprintf("caller-%d", i))[0].Name]++
	}
	for name, n := range counts {
		if len(counts) != 10 || n < 200 || n > 400 {
			t.Errorf("%s got %d of 3000 callers over %d hosts, want about 300 over 10", name, n, len(counts))
		}
	}
}

// TestLostHostMovesOnlyItsCallers removes a host. Only its callers may get another first
// entry host, and the result must not depend on the previous view.
func TestLostHostMovesOnlyItsCallers(t *testing.T) {
	in := inputs(t)
	before := lookup.NewView(in)
	lost := in.Hosts[3].Name
	in.Hosts = append(in.Hosts[:3:3], in.Hosts[4:]...)
	in.Previous = before
	after := lookup.NewView(in)
	in.Previous = nil
	for i, independent := 0, lookup.NewView(in); i < 2000; i++ {
		if !reflect.DeepEqual(decide(after, client(i), ""), decide(independent, client(i), "")) {
			t.Fatalf("caller %d: the answer depends on the previous view", i)
		}
	}
	for i := range 2000 {
		old, now := decide(before, client(i), "")[0].Name, decide(after, client(i), "")[0].Name
		if old != lost && now != old {
			t.Fatalf("caller %d moved from %s to %s though %s was lost", i, old, now, lost)
		}
	}
}

// TestDecideDoesNotAllocate checks that neither CallerKey nor ChooseHosts allocates.
func TestDecideDoesNotAllocate(t *testing.T) {
	v := lookup.NewView(inputs(t))
	addr := client(5)
	if n := testing.AllocsPerRun(100, func() { v.ChooseHosts("bokun", addr, lookup.CallerKey(addr, "caller")) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// TestTagDiffersBetweenTables replaces the table by another of the same size under the same
// version, as happens when a table is loaded after its ticket. The tag must change;
// otherwise callers with the old tag would get 304 Not Modified.
func TestTagDiffersBetweenTables(t *testing.T) {
	in := inputs(t)
	before := lookup.NewView(in)
	table, err := in.Table.Apply([]lookup.Change{{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Assignment: lookup.Assignment{Regions: []string{"r2"}}}})
	if err != nil {
		t.Fatal(err)
	}
	in.Table = table
	if after := lookup.NewView(in); after.Tag() == before.Tag() || callersIn(after, 10)["r2"] != 10 {
		t.Errorf("tags %x and %x, callers enter at %v", before.Tag(), after.Tag(), callersIn(after, 10))
	}
}
