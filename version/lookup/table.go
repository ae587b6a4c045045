package lookup

import (
	"encoding/binary"
	"iter"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"
)

// maxWordLength is the maximum prefix length of IPv6 blocks in the paged tree. Longer
// prefixes are rare and are kept in a separate table.
const maxWordLength = 64

// Table maps client blocks to assignments by longest prefix match. It is
// immutable and safe for concurrent use; its zero value is empty.
type Table struct {
	v4 tree[uint32]
	v6 tree[uint64]
	// long holds IPv6 blocks longer than maxWordLength. It is nil when there is none.
	long        *bart.Table[uint16]
	assignments []Assignment
	// tag is a hash that identifies the stored table and the changes applied since.
	tag uint64
}

// BlockError reports a block that cannot be added to or removed from a table.
type BlockError struct {
	Block  string
	Reason string
}

// Error implements the error interface.
func (e *BlockError) Error() string { return "block " + e.Block + ": " + e.Reason }

// ParseBlock parses a block, which must be in canonical form. The error is a *BlockError.
func ParseBlock(text string) (netip.Prefix, error) {
	p, err := netip.ParsePrefix(text)
	if err != nil {
		return netip.Prefix{}, &BlockError{Block: text, Reason: "give an address prefix such as 192.0.2.0/24"}
	}
	if err := checkBlock(p); err != nil {
		return netip.Prefix{}, err
	}
	if p.String() != text {
		return netip.Prefix{}, &BlockError{Block: text, Reason: "write it as " + p.String()}
	}
	return p, nil
}

func checkBlock(p netip.Prefix) error {
	switch {
	case !p.IsValid():
		return &BlockError{Block: p.String(), Reason: "not a prefix"}
	case p.Addr().Is4In6():
		return &BlockError{Block: p.String(), Reason: "write IPv4 blocks in IPv4 form"}
	case p != p.Masked():
		return &BlockError{Block: p.String(), Reason: "bits are set behind the prefix; write it as " + p.Masked().String()}
	default:
		return nil
	}
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.v4.size + t.v6.size + t.longSize() }

func (t *Table) longSize() int {
	if t.long == nil {
		return 0
	}
	return t.long.Size()
}

// Lookup returns the assignment of the longest block that contains the client, and
// false if there is none.
func (t *Table) Lookup(client netip.Addr) (Assignment, bool) {
	i, ok := t.index(client)
	if !ok {
		return Assignment{}, false
	}
	return t.assignments[i], true
}

// index returns the index of a client's assignment.
func (t *Table) index(client netip.Addr) (uint16, bool) {
	if client.Is4() {
		return t.v4.lookup(key4(client))
	}
	if client.Is4In6() {
		return t.v4.lookup(key4(client.Unmap()))
	}
	if t.long != nil {
		if i, ok := t.long.Lookup(client.WithZone("")); ok {
			return i, true
		}
	}
	return t.v6.lookup(key6(client))
}

func key4(a netip.Addr) uint32 {
	raw := a.As4()
	return binary.BigEndian.Uint32(raw[:])
}

func key6(a netip.Addr) uint64 {
	raw := a.As16()
	return binary.BigEndian.Uint64(raw[:])
}

func prefix4(key uint32, length uint8) netip.Prefix {
	var raw [4]byte
	binary.BigEndian.PutUint32(raw[:], key)
	return netip.PrefixFrom(netip.AddrFrom4(raw), int(length))
}

func prefix6(key uint64, length uint8) netip.Prefix {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:], key)
	return netip.PrefixFrom(netip.AddrFrom16(raw), int(length))
}

// All returns the blocks with their assignments: IPv4 blocks, IPv6 blocks up to /64,
// and longer IPv6 blocks, each in order of address.
func (t *Table) All() iter.Seq2[netip.Prefix, Assignment] {
	return func(yield func(netip.Prefix, Assignment) bool) {
		for p, i := range t.blocks() {
			if !yield(p, t.assignments[i]) {
				return
			}
		}
	}
}

func (t *Table) blocks() iter.Seq2[netip.Prefix, uint16] {
	return func(yield func(netip.Prefix, uint16) bool) {
		more := t.v4.each(func(key uint32, length uint8, value uint16) bool {
			return yield(prefix4(key, length), value)
		})
		more = more && t.v6.each(func(key uint64, length uint8, value uint16) bool {
			return yield(prefix6(key, length), value)
		})
		if !more || t.long == nil {
			return
		}
		for p, value := range t.long.AllSorted6() {
			if !yield(p, value) {
				return
			}
		}
	}
}

// Change sets the assignment of a block or removes the block.
type Change struct {
	Prefix     netip.Prefix
	Assignment Assignment
	Remove     bool
}

// Apply returns a copy of the table with the changes, which it may reorder. The copy
// shares all unaffected parts with t, which is not modified. For a malformed or
// duplicate block, or the removal of a missing one, the error is a *BlockError.
func (t *Table) Apply(changes []Change) (*Table, error) {
	if len(changes) == 0 {
		return t, nil
	}
	interned, err := newAssignmentSet(t.assignments)
	if err != nil {
		return nil, err
	}
	out := &Table{long: t.long}
	var v4 []change[uint32]
	var v6 []change[uint64]
	changes = sortedChanges(changes)
	for _, c := range changes {
		value, err := t.checkChange(c, interned)
		if err != nil {
			return nil, err
		}
		length := uint8(c.Prefix.Bits())
		switch {
		case c.Prefix.Addr().Is4():
			v4 = append(v4, change[uint32]{key4(c.Prefix.Addr()), length, value, c.Remove})
		case length <= maxWordLength:
			v6 = append(v6, change[uint64]{key6(c.Prefix.Addr()), length, value, c.Remove})
		case c.Remove:
			out.long = out.long.DeletePersist(c.Prefix)
		case out.long == nil:
			out.long = new(bart.Table[uint16])
			out.long.Insert(c.Prefix, value)
		default:
			out.long = out.long.InsertPersist(c.Prefix, value)
		}
	}
	if duplicate := duplicateBlock(changes); duplicate.IsValid() {
		return nil, &BlockError{Block: duplicate.String(), Reason: "given twice"}
	}
	out.v4, out.v6 = *t.v4.apply(v4), *t.v6.apply(v6)
	out.assignments = interned.list
	out.tag = t.tagAfter(changes)
	return out, nil
}

// tagAfter returns the tag of the table after applying changes, which must be sorted.
func (t *Table) tagAfter(changes []Change) uint64 {
	d := xxhash.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], t.tag)
	_, _ = d.Write(number[:]) // never fails
	for _, c := range changes {
		raw := c.Prefix.Addr().As16()
		_, _ = d.Write(append(raw[:], byte(c.Prefix.Bits()), byte(c.Prefix.Addr().BitLen())))
		_, _ = d.WriteString(strconv.FormatBool(c.Remove) + c.Assignment.key() + "\x02")
	}
	return d.Sum64()
}

func sortedChanges(changes []Change) []Change {
	slices.SortFunc(changes, func(a, b Change) int { return a.Prefix.Compare(b.Prefix) })
	return changes
}

// duplicateBlock returns a block that occurs more than once in a sorted list, or the zero value.
func duplicateBlock(changes []Change) netip.Prefix {
	for i := 1; i < len(changes); i++ {
		if changes[i].Prefix == changes[i-1].Prefix {
			return changes[i].Prefix
		}
	}
	return netip.Prefix{}
}

func (t *Table) checkChange(c Change, interned *assignmentSet) (uint16, error) {
	if err := checkBlock(c.Prefix); err != nil {
		return 0, err
	}
	if !c.Remove {
		return interned.intern(c.Assignment)
	}
	if !t.has(c.Prefix) {
		return 0, &BlockError{Block: c.Prefix.String(), Reason: "removed, but the table does not have it"}
	}
	return 0, nil
}

func (t *Table) has(p netip.Prefix) bool {
	var ok bool
	switch length := uint8(p.Bits()); {
	case p.Addr().Is4():
		_, ok = t.v4.get(key4(p.Addr()), length)
	case length <= maxWordLength:
		_, ok = t.v6.get(key6(p.Addr()), length)
	case t.long != nil:
		_, ok = t.long.Get(p)
	}
	return ok
}
