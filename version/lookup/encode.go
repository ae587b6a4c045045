package lookup

import (
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Encode returns the stored form of a whole table. Equal tables have equal forms.
func Encode(t *Table) ([]byte, error) {
	h := &header{}
	if err := h.setAssignments(t.assignments); err != nil {
		return nil, err
	}
	rows := func(yield func(row) bool) {
		for p, i := range t.entries() {
			if !yield(row{prefix: p, assignment: i}) {
				return
			}
		}
	}
	return encode(h, rows)
}

// EncodeDelta returns the stored form of changes to the table whose stored form,
// or whose last delta, has the sum base.
func EncodeDelta(base Sum, changes []Change) ([]byte, error) {
	interned, err := newAssignments(nil)
	if err != nil {
		return nil, err
	}
	var byFamily [families][]row
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

// encode writes rows, which are in order of family and address.
func encode(h *header, rows iter.Seq[row]) ([]byte, error) {
	e := &encoder{header: h}
	for r := range rows {
		e.add(r)
	}
	e.flush()
	out, err := h.encode()
	return append(out, e.body...), err
}

// encoder cuts rows into chunks.
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
	if f != e.family || e.blocks == chunkBlocks {
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
