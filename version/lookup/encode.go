package lookup

import (
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Encode returns the stored form of a table as a snapshot. Equal tables have equal
// stored forms.
func Encode(t *Table) ([]byte, error) {
	h := &header{}
	if err := h.setAssignments(t.assignments); err != nil {
		return nil, err
	}
	rows := func(yield func(row) bool) {
		for p, i := range t.blocks() {
			if !yield(row{prefix: p, assignment: i}) {
				return
			}
		}
	}
	return encode(h, rows)
}

// EncodeDelta returns the stored form of changes to a table. base is the sum of the
// table's stored form, or of the last delta applied to it.
func EncodeDelta(base Sum, changes []Change) ([]byte, error) {
	interned, err := newAssignmentSet(nil)
	if err != nil {
		return nil, err
	}
	var byFamily [familyCount][]row
	for _, c := range sortedChanges(slices.Clone(changes)) {
		if err := checkBlock(c.Prefix); err != nil {
			return nil, err
		}
		value, err := interned.intern(c.Assignment)
		if err != nil {
			return nil, err
		}
		f := familyOf(c.Prefix)
		byFamily[f] = append(byFamily[f], row{prefix: c.Prefix, assignment: value, remove: c.Remove})
	}
	h := &header{Base: base[:]}
	if err := h.setAssignments(interned.list); err != nil {
		return nil, err
	}
	return encode(h, slices.Values(slices.Concat(byFamily[:]...)))
}

// encode returns the stored form of rows, which must be sorted by family and address.
func encode(h *header, rows iter.Seq[row]) ([]byte, error) {
	e := &encoder{header: h}
	for r := range rows {
		e.add(r)
	}
	e.flush()
	out, err := h.encode()
	return append(out, e.body...), err
}

// encoder divides rows into chunks.
type encoder struct {
	header   *header
	body     []byte
	start    int
	blocks   int
	family   family
	previous row
}

func (e *encoder) add(r row) {
	f := familyOf(r.prefix)
	if f != e.family || e.blocks == blocksPerChunk {
		e.flush()
	}
	e.family = f
	e.body = appendRow(e.body, f, e.previous, r)
	e.previous = r
	e.blocks++
	e.header.Blocks[f]++
}

func (e *encoder) flush() {
	if e.blocks == 0 {
		return
	}
	chunk := e.body[e.start:]
	e.header.Lengths = append(e.header.Lengths, uint32(len(chunk)))
	e.header.Sums = append(e.header.Sums, xxhash.Sum64(chunk))
	e.start, e.blocks, e.previous = len(e.body), 0, row{}
}
