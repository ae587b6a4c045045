package lookup

import (
	"net/netip"
	"reflect"
	"testing"
)

// FuzzChunk decodes arbitrary bytes as a chunk. Sorted rows must be the same after
// encoding and decoding, and a table built from them must return the same assignments
// as a linear search over its blocks.
func FuzzChunk(f *testing.F) {
	f.Add([]byte{8, 10, 0, 16, 10<<1 | 1, 2, 24, 1, 4}, uint8(0), 3, uint64(10<<24+5))
	f.Add([]byte{32, 1, 2, 48, 1, 0, 0, 0, 6}, uint8(1), 3, uint64(1)<<61)
	f.Add(append(append([]byte{128}, make([]byte, 16)...), 2), uint8(2), 1, uint64(0))
	f.Fuzz(func(t *testing.T, data []byte, kind uint8, n int, query uint64) {
		fam := family(kind % uint8(familyCount))
		var rows []row
		keep := func(r row) error {
			rows = append(rows, r)
			return nil
		}
		if n < 0 || n > blocksPerChunk || decodeChunk(data, fam, n, keep) != nil {
			return
		}
		checkEncoding(t, fam, rows)
		checkTable(t, rows, query)
	})
}

func checkEncoding(t *testing.T, fam family, rows []row) {
	t.Helper()
	var data []byte
	var previous row
	for _, r := range rows {
		data = appendRow(data, fam, previous, r)
		previous = r
	}
	var again []row
	err := decodeChunk(data, fam, len(rows), func(r row) error {
		again = append(again, r)
		return nil
	})
	if ordered(rows) && (err != nil || !reflect.DeepEqual(rows, again)) {
		t.Fatalf("after encoding and decoding: %v, %v, want %v", again, err, rows)
	}
}

// ordered reports whether the rows are valid blocks in ascending order.
func ordered(rows []row) bool {
	for i, r := range rows {
		if checkBlock(r.prefix) != nil || i > 0 && r.prefix.Compare(rows[i-1].prefix) <= 0 {
			return false
		}
	}
	return true
}

var anyAssignments = make([]Assignment, maxAssignments)

func checkTable(t *testing.T, rows []row, query uint64) {
	t.Helper()
	b := NewBuilder(anyAssignments)
	var blocks []row
	for _, r := range rows {
		if b.Add(r.prefix, r.assignment) == nil {
			blocks = append(blocks, r)
		}
	}
	table := b.Table()
	queries := []netip.Addr{prefix4(uint32(query), 32).Addr(), prefix6(query, 64).Addr()}
	for _, r := range blocks {
		queries = append(queries, r.prefix.Addr())
	}
	for _, client := range queries {
		want, found := longest(blocks, client)
		if got, ok := table.index(client); got != want || ok != found {
			t.Fatalf("%s: got %d, %v, want %d, %v", client, got, ok, want, found)
		}
	}
}

// longest is the reference implementation: a linear search for the longest block that
// contains the client.
func longest(blocks []row, client netip.Addr) (assignment uint16, ok bool) {
	bits := -1
	for _, r := range blocks {
		if r.prefix.Contains(client) && r.prefix.Bits() > bits {
			bits, assignment, ok = r.prefix.Bits(), r.assignment, true
		}
	}
	return assignment, ok
}

// FuzzHeader decodes arbitrary bytes as a delta with its header; every error must be a
// *FormatError.
func FuzzHeader(f *testing.F) {
	h := &header{Base: make([]byte, 32), Names: []string{"sudvestur"}}
	h.Assignments = []storedAssignment{{Regions: []uint16{0}}}
	encoded, err := h.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDelta(data)
		if _, ok := err.(*FormatError); err != nil && !ok {
			t.Fatalf("got %T: %v", err, err)
		}
		if err == nil && len(d.Changes) > len(data) {
			t.Fatalf("%d changes from %d bytes", len(d.Changes), len(data))
		}
	})
}
