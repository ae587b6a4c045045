package partner

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// hosts returns n hosts of the same capacity, spread over two failure domains.
func hosts(prefix string, n int, capacity float64) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{
			Name: fmt.Sprint(prefix, i), Domain: fmt.Sprint("d", i%2), Region: "r", Capacity: capacity,
		})
	}
	return members
}

func TestServingHosts(t *testing.T) {
	strong, weak := hosts("strong-", 4, 1250), hosts("weak-", 5, 62)
	all := slices.Concat(weak, strong)
	for _, tc := range []struct {
		name    string
		members []Member
		demand  float64
		want    []string
	}{
		{"two hosts both serve", hosts("h", 2, 600), 0, []string{"h0", "h1"}},
		{"hosts of the largest capacity, over both domains", all, 500, []string{"strong-0", "strong-1", "strong-2"}},
		{"higher demand needs more hosts", all, 2000, []string{"strong-0", "strong-1", "strong-2", "strong-3"}},
		{"hosts of small capacity would lower the equal part", all, 9000, []string{"strong-0", "strong-1", "strong-2", "strong-3"}},
		{"all hosts needed", hosts("h", 5, 100), 240, []string{"h0", "h1", "h2", "h3", "h4"}},
		{"unknown capacities", hosts("h", 4, 0), 10, []string{"h0", "h1", "h2", "h3"}},
		{"no hosts", nil, 10, nil},
	} {
		got := names(ServingHosts(tc.members, tc.demand))
		slices.Sort(got)
		if !slices.Equal(got, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestServingHostsAreSpreadOverFailureDomains: a failure of one domain must not take all
// serving hosts: four hosts share a domain, and a fifth one of slightly smaller capacity
// is in another.
func TestServingHostsAreSpreadOverFailureDomains(t *testing.T) {
	members := hosts("a", 4, 1000)
	for i := range members {
		members[i].Domain = "d0"
	}
	members = append(members, Member{Name: "b", Domain: "d1", Capacity: 700})
	if got := names(ServingHosts(members, 0)); !slices.Contains(got, "b") {
		t.Errorf("all serving hosts are in one failure domain: %v", got)
	}
}

// TestOnlyBaseHostsOwnKeys: a host that callers are not sent to must not own keys, since
// only owners send to cold targets.
func TestOnlyBaseHostsOwnKeys(t *testing.T) {
	weak := hosts("weak-", 5, 62)
	for _, self := range []Member{weak[0], hosts("strong-", 4, 1250)[0]} {
		g := New(Options{Self: self, Now: time.Now})
		g.AddMembers(slices.Concat(weak, hosts("strong-", 4, 1250)))
		owned := 0
		for key := range 30 {
			if g.Owns(fmt.Sprint("i-", key), 2) {
				owned++
			}
		}
		if isBaseHost := self.Capacity > 100; (owned > 0) != isBaseHost {
			t.Errorf("%s owns %d of 30 keys", self.Name, owned)
		}
	}
}

// BenchmarkOwns measures Owns with 910 hosts, the number that the system is designed for.
func BenchmarkOwns(b *testing.B) {
	g := New(Options{Self: Member{Name: "h000", Region: "r0", Capacity: 100}, Now: time.Now})
	var members []Member
	for i := 1; i < 910; i++ {
		members = append(members, Member{Name: fmt.Sprintf("h%03d", i), Region: fmt.Sprint("r", i%6), Domain: fmt.Sprint("d", i%22), Capacity: 100})
	}
	g.AddMembers(members)
	b.ReportAllocs()
	for b.Loop() {
		g.Owns("i-1", 5)
	}
}
