package capacity

import (
	"encoding/binary"
	"net"
	"net/netip"
	"runtime"
	"sort"
	"time"

	"github.com/gaissmai/bart"
	"github.com/kentik/patricia"
	"github.com/kentik/patricia/uint16_tree"
	"github.com/yl2chen/cidranger"

	"quetzalknot/version/lookup"
)

// structure is a data structure that holds client blocks.
type structure interface {
	insert(b Block)
	lookup(a netip.Addr) (uint16, bool)
}

// StructureCosts holds the measured costs of one data structure.
type StructureCosts struct {
	Name          string
	Blocks        int
	BytesPerBlock float64
	Build         time.Duration
	// Lookup and Update are the mean times of one operation.
	Lookup time.Duration
	Update time.Duration
}

// MeasureStructures builds each data structure from the same blocks and measures it.
func MeasureStructures(blocks []Block, clients []netip.Addr) []StructureCosts {
	kinds := []struct {
		name string
		make func() structure
	}{
		{"paged arrays", func() structure { return newPagedArrays() }},
		{"sorted array", func() structure { return &sortedArray{} }},
		{"bart Table", func() structure { return &bartTable{} }},
		{"bart Fast", func() structure { return &bartFast{} }},
		{"bart Lite, no values", func() structure { return &bartLite{} }},
		{"patricia", func() structure {
			return &patriciaTree{v4: uint16_tree.NewTreeV4(), v6: uint16_tree.NewTreeV6()}
		}},
		{"cidranger", func() structure { return &cidrangerTrie{trie: cidranger.NewPCTrieRanger()} }},
	}
	var results []StructureCosts
	for _, k := range kinds {
		costs := measureStructure(k.make(), blocks, clients)
		costs.Name = k.name
		results = append(results, costs)
	}
	return results
}

func measureStructure(s structure, blocks []Block, clients []netip.Addr) StructureCosts {
	before := heapInUse()
	start := time.Now()
	for _, b := range blocks {
		s.insert(b)
	}
	if f, ok := s.(interface{ finish() }); ok {
		f.finish()
	}
	build := time.Since(start)
	bytes := heapInUse() - before
	start = time.Now()
	for _, c := range clients {
		s.lookup(c)
	}
	lookup := time.Since(start) / time.Duration(len(clients))
	costs := StructureCosts{Blocks: len(blocks), BytesPerBlock: float64(bytes) / float64(len(blocks)), Build: build, Lookup: lookup}
	costs.Update = measureUpdate(s, blocks)
	runtime.KeepAlive(s)
	return costs
}

// persistent is a data structure whose update makes a changed copy, so that look-ups can
// continue on the old version.
type persistent interface{ persist(b Block) }

const updateCount = 200

func measureUpdate(s structure, blocks []Block) time.Duration {
	p, ok := s.(persistent)
	if !ok {
		return 0
	}
	start := time.Now()
	for i := range updateCount {
		p.persist(blocks[i*len(blocks)/updateCount])
	}
	return time.Since(start) / updateCount
}

// heapInUse returns the size of live heap objects in bytes.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// pagedArrays is the data structure in use, from package lookup.
type pagedArrays struct {
	builder *lookup.Builder
	table   *lookup.Table
}

func newPagedArrays() *pagedArrays {
	return &pagedArrays{builder: lookup.NewBuilder(Assignments())}
}

func (s *pagedArrays) insert(b Block) { _ = s.builder.Add(b.Prefix, b.Assignment) }

func (s *pagedArrays) finish() { s.table, s.builder = s.builder.Table(), nil }

func (s *pagedArrays) lookup(a netip.Addr) (uint16, bool) {
	found, ok := s.table.Lookup(a)
	return uint16(len(found.Regions)), ok
}

func (s *pagedArrays) persist(b Block) {
	change := lookup.Change{Prefix: b.Prefix, Assignment: Assignments()[0]}
	s.table, _ = s.table.Apply([]lookup.Change{change})
}

type bartTable struct{ t bart.Table[uint16] }

func (s *bartTable) insert(b Block)                     { s.t.Insert(b.Prefix, b.Assignment) }
func (s *bartTable) lookup(a netip.Addr) (uint16, bool) { return s.t.Lookup(a) }
func (s *bartTable) persist(b Block)                    { s.t = *s.t.InsertPersist(b.Prefix, b.Assignment) }

type bartFast struct{ t bart.Fast[uint16] }

func (s *bartFast) insert(b Block)                     { s.t.Insert(b.Prefix, b.Assignment) }
func (s *bartFast) lookup(a netip.Addr) (uint16, bool) { return s.t.Lookup(a) }
func (s *bartFast) persist(b Block)                    { s.t = *s.t.InsertPersist(b.Prefix, b.Assignment) }

type bartLite struct{ t bart.Lite }

func (s *bartLite) insert(b Block)                     { s.t.Insert(b.Prefix) }
func (s *bartLite) lookup(a netip.Addr) (uint16, bool) { return 0, s.t.Lookup(a) }
func (s *bartLite) persist(b Block)                    { s.t = *s.t.InsertPersist(b.Prefix) }

type patriciaTree struct {
	v4 *uint16_tree.TreeV4
	v6 *uint16_tree.TreeV6
}

func (s *patriciaTree) insert(b Block) {
	if b.Prefix.Addr().Is4() {
		s.v4.Set(patricia4(b.Prefix.Addr(), b.Prefix.Bits()), b.Assignment)
		return
	}
	s.v6.Set(patricia6(b.Prefix.Addr(), b.Prefix.Bits()), b.Assignment)
}

func (s *patriciaTree) lookup(a netip.Addr) (uint16, bool) {
	if a.Is4() {
		found, v := s.v4.FindDeepestTag(patricia4(a, 32))
		return v, found
	}
	found, v := s.v6.FindDeepestTag(patricia6(a, 128))
	return v, found
}

func patricia4(a netip.Addr, bits int) patricia.IPv4Address {
	raw := a.As4()
	return patricia.NewIPv4Address(binary.BigEndian.Uint32(raw[:]), uint(bits))
}

func patricia6(a netip.Addr, bits int) patricia.IPv6Address {
	raw := a.As16()
	return patricia.NewIPv6Address(raw[:], uint(bits))
}

type cidrangerTrie struct{ trie cidranger.Ranger }

type rangerEntry struct {
	network net.IPNet
	value   uint16
}

// Network implements cidranger.RangerEntry.
func (e *rangerEntry) Network() net.IPNet { return e.network }

func (s *cidrangerTrie) insert(b Block) {
	mask := net.CIDRMask(b.Prefix.Bits(), b.Prefix.Addr().BitLen())
	_ = s.trie.Insert(&rangerEntry{network: net.IPNet{IP: b.Prefix.Addr().AsSlice(), Mask: mask}, value: b.Assignment})
}

func (s *cidrangerTrie) lookup(a netip.Addr) (uint16, bool) {
	found, err := s.trie.ContainingNetworks(a.AsSlice())
	if err != nil || len(found) == 0 {
		return 0, false
	}
	return found[len(found)-1].(*rangerEntry).value, true
}

// sortedArray is the reference for comparison: a slice in order of address and prefix
// length.
type sortedArray struct{ blocks []Block }

func (s *sortedArray) insert(b Block) { s.blocks = append(s.blocks, b) }

func (s *sortedArray) lookup(a netip.Addr) (uint16, bool) {
	i := sort.Search(len(s.blocks), func(i int) bool { return a.Less(s.blocks[i].Prefix.Addr()) })
	for i--; i >= 0; i-- {
		if s.blocks[i].Prefix.Contains(a) {
			return s.blocks[i].Assignment, true
		}
		if s.blocks[i].Prefix.Addr().BitLen() != a.BitLen() {
			break
		}
	}
	return 0, false
}
