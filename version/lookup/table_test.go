package lookup_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"quetzalknot/version/lookup"
)

// naiveTable is the reference implementation: a linear search over a slice of blocks.
type naiveTable []lookup.Change

func (p naiveTable) lookup(client netip.Addr) string {
	best, found := netip.Prefix{}, ""
	for _, b := range p {
		if b.Prefix.Contains(client) && (!best.IsValid() || b.Prefix.Bits() > best.Bits()) {
			best, found = b.Prefix, b.Assignment.Regions[0]
		}
	}
	return found
}

func (p naiveTable) apply(changes []lookup.Change) naiveTable {
	var out naiveTable
	for _, b := range p {
		if !slices.ContainsFunc(changes, func(c lookup.Change) bool { return c.Prefix == b.Prefix }) {
			out = append(out, b)
		}
	}
	for _, c := range changes {
		if !c.Remove {
			out = append(out, c)
		}
	}
	return out
}

// smallPrefix returns a random block from a small address space, so that many blocks
// enclose one another. All are at least shortest bits long.
func smallPrefix(rnd *rand.Rand, shortest int) netip.Prefix {
	var p netip.Prefix
	switch rnd.IntN(5) {
	case 0:
		a := [16]byte{0x20, 1, 0xd, 0xb8, 0, byte(rnd.IntN(2)), byte(rnd.IntN(4)), byte(rnd.Uint32())}
		p = netip.PrefixFrom(netip.AddrFrom16(a), shortest+rnd.IntN(65-shortest))
	case 1:
		a := [16]byte{0x20, 1, 0xd, 0xb8, 15: byte(rnd.IntN(8))}
		p = netip.PrefixFrom(netip.AddrFrom16(a), 60+rnd.IntN(69))
	default:
		a := [4]byte{10, byte(rnd.IntN(2)), byte(rnd.IntN(32)), byte(rnd.Uint32())}
		p = netip.PrefixFrom(netip.AddrFrom4(a), shortest+rnd.IntN(33-shortest))
	}
	return p.Masked()
}

func smallClient(rnd *rand.Rand) netip.Addr {
	if rnd.IntN(3) == 0 {
		return netip.AddrFrom16([16]byte{0x20, 1, 0xd, 0xb8, 0, byte(rnd.IntN(2)), byte(rnd.IntN(4)), byte(rnd.Uint32()), 15: byte(rnd.IntN(8))})
	}
	return netip.AddrFrom4([4]byte{10, byte(rnd.IntN(2)), byte(rnd.IntN(32)), byte(rnd.Uint32())})
}

func smallChanges(rnd *rand.Rand, n, shortest int, in naiveTable) []lookup.Change {
	byPrefix := make(map[netip.Prefix]lookup.Change)
	for range n {
		p := smallPrefix(rnd, shortest)
		region := fmt.Sprintf("r%d", rnd.IntN(40))
		byPrefix[p] = lookup.Change{Prefix: p, Assignment: lookup.Assignment{Regions: []string{region}}}
	}
	for range min(n/3, len(in)) {
		p := in[rnd.IntN(len(in))].Prefix
		byPrefix[p] = lookup.Change{Prefix: p, Remove: true}
	}
	var changes []lookup.Change
	for _, c := range byPrefix {
		changes = append(changes, c)
	}
	return changes
}

// TestTableEqualsLinearSearch applies random batches of nested blocks and compares
// look-ups and the number of blocks with the reference. Applying changes must not modify
// the previous table.
func TestTableEqualsLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		table, want := new(lookup.Table), naiveTable(nil)
		shortest := rapid.SampledFrom([]int{0, 24, 32}).Draw(t, "shortest")
		for _, n := range []int{rapid.SampledFrom([]int{0, 3, 6000}).Draw(t, "first"), 1, 2, 7, 200, 2} {
			before, old := table, want
			changes := smallChanges(rnd, n, shortest, want)
			shortest = 0
			next, err := table.Apply(slices.Clone(changes))
			if err != nil {
				t.Fatal(err)
			}
			table, want = next, want.apply(changes)
			compare(t, rnd, table, want)
			compare(t, rnd, before, old)
		}
	})
}

func compare(t *rapid.T, rnd *rand.Rand, table *lookup.Table, want naiveTable) {
	t.Helper()
	if table.Len() != len(want) {
		t.Fatalf("table has %d blocks, want %d", table.Len(), len(want))
	}
	for range 60 {
		client := smallClient(rnd)
		if got := table.Region(client); got != want.lookup(client) {
			t.Fatalf("%s is in %q, want %q", client, got, want.lookup(client))
		}
	}
	blocks := 0
	for range table.All() {
		blocks++
	}
	if blocks != len(want) {
		t.Fatalf("All gave %d blocks, want %d", blocks, len(want))
	}
}

// TestInvalidBlocksAreRejected checks that the error names the block and that the table is
// unchanged.
func TestInvalidBlocksAreRejected(t *testing.T) {
	one := func(text string) lookup.Change { return lookup.Change{Prefix: netip.MustParsePrefix(text)} }
	base, err := new(lookup.Table).Apply([]lookup.Change{one("192.0.2.0/24")})
	if err != nil {
		t.Fatal(err)
	}
	removed := one("192.0.2.0/25")
	removed.Remove = true
	for name, changes := range map[string][]lookup.Change{
		"192.0.2.7/24":           {one("192.0.2.7/24")},
		"::ffff:192.0.2.0/120":   {one("::ffff:192.0.2.0/120")},
		"198.51.100.0/24: given": {one("198.51.100.0/24"), one("10.0.0.0/8"), one("198.51.100.0/24")},
		"192.0.2.0/25: removed":  {removed},
	} {
		_, err := base.Apply(changes)
		var bad *lookup.BlockError
		if !errors.As(err, &bad) || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	if base.Len() != 1 {
		t.Errorf("the table has %d blocks, want 1", base.Len())
	}
	for _, text := range []string{"192.0.2.0", "192.0.2.0/33", "2001:0db8::/32", "192.0.2.7/24", ""} {
		if _, err := lookup.ParseBlock(text); err == nil {
			t.Errorf("ParseBlock accepted %q", text)
		}
	}
}

// TestEnclosingBlockUpdatesParentsOnAllPages adds a block that encloses the blocks of many
// pages and removes it again. The parents of the blocks on all pages must be updated,
// else look-ups on later pages miss the block or find a removed one.
func TestEnclosingBlockUpdatesParentsOnAllPages(t *testing.T) {
	var narrow []lookup.Change
	for i := range 8000 {
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 128), byte(i % 128 * 2)}), 32)
		narrow = append(narrow, lookup.Change{Prefix: p, Assignment: lookup.Assignment{Regions: []string{"narrow"}}})
	}
	table, err := new(lookup.Table).Apply(narrow)
	if err != nil {
		t.Fatal(err)
	}
	wide := lookup.Change{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Assignment: lookup.Assignment{Regions: []string{"wide"}}}
	with, err := table.Apply([]lookup.Change{wide})
	if err != nil {
		t.Fatal(err)
	}
	wide.Remove = true
	without, err := with.Apply([]lookup.Change{wide})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 62 {
		odd := netip.AddrFrom4([4]byte{10, 0, byte(i), 101})
		if got := [3]string{table.Region(odd), with.Region(odd), without.Region(odd)}; got != [3]string{"", "wide", ""} {
			t.Fatalf("%s: before, with and without the wide block: %q", odd, got)
		}
	}
}
