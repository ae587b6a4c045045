package lookup

import (
	"cmp"
	"net/netip"

	"github.com/gaissmai/bart"
)

// Builder builds a table from blocks that are added in order. Adding one block at a
// time avoids a second copy of a large table in memory.
type Builder struct {
	table    Table
	v4       *writer[uint32]
	v6       *writer[uint64]
	previous netip.Prefix
}

// NewBuilder returns a builder. Blocks refer to an assignment by its index in list.
func NewBuilder(list []Assignment) *Builder {
	return &Builder{table: Table{assignments: list}, v4: newWriter[uint32](), v6: newWriter[uint64]()}
}

// Add appends one block. Blocks must be added in the order of Table.All; an error
// is a *BlockError.
func (b *Builder) Add(p netip.Prefix, assignment uint16) error {
	if err := checkBlock(p); err != nil {
		return err
	}
	if int(assignment) >= len(b.table.assignments) {
		return &BlockError{Block: p.String(), Reason: "its assignment is not in the table"}
	}
	if b.previous.IsValid() && compareStored(b.previous, p) >= 0 {
		return &BlockError{Block: p.String(), Reason: "given twice or out of order, after " + b.previous.String()}
	}
	b.previous = p
	length := uint8(p.Bits())
	switch {
	case p.Addr().Is4():
		b.v4.add(key4(p.Addr()), length, assignment)
	case length <= maxWordLength:
		b.v6.add(key6(p.Addr()), length, assignment)
	default:
		b.addLong(p, assignment)
	}
	return nil
}

// compareStored compares blocks by family, address and prefix length, the order of
// the stored form.
func compareStored(a, b netip.Prefix) int {
	if by := cmp.Compare(familyOf(a), familyOf(b)); by != 0 {
		return by
	}
	return a.Compare(b)
}

func (b *Builder) addLong(p netip.Prefix, assignment uint16) {
	if b.table.long == nil {
		b.table.long = new(bart.Table[uint16])
	}
	b.table.long.Insert(p, assignment)
}

// Table returns the table. The builder must not be used afterwards.
func (b *Builder) Table() *Table {
	b.table.v4, b.table.v6 = *b.v4.finish(), *b.v6.finish()
	return &b.table
}
