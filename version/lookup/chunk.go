package lookup

import (
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// blocksPerChunk is the number of blocks in a full chunk of a stored table.
const blocksPerChunk = 4096

// family identifies a section of a stored table by the kind of its blocks.
type family uint8

const (
	familyV4 family = iota
	familyV6
	// familyLong is the section of IPv6 blocks longer than maxWordLength.
	familyLong
	familyCount
)

// row is one block of a stored table or delta. In a delta it may be a removal.
type row struct {
	prefix     netip.Prefix
	assignment uint16
	remove     bool
}

func familyOf(p netip.Prefix) family {
	switch {
	case p.Addr().Is4():
		return familyV4
	case p.Bits() <= maxWordLength:
		return familyV6
	default:
		return familyLong
	}
}

// width returns the number of bits in a key.
func (f family) width() uint {
	if f == familyV4 {
		return 32
	}
	return 64
}

// appendRow appends the stored form of a block: its prefix length; the difference
// from the previous key, shifted right by the low bits that are zero in both keys (for
// familyLong the full address instead); and the assignment index shifted left by one,
// with the removal flag in the lowest bit.
func appendRow(dst []byte, f family, previous, r row) []byte {
	length := byte(r.prefix.Bits())
	dst = append(dst, length)
	if f == familyLong {
		raw := r.prefix.Addr().As16()
		dst = append(dst, raw[:]...)
	} else {
		distance := keyOf(f, r) - keyOf(f, previous)
		dst = binary.AppendUvarint(dst, distance>>keyShift(f, previous, length))
	}
	value := uint64(r.assignment) << 1
	if r.remove {
		value |= 1
	}
	return binary.AppendUvarint(dst, value)
}

func keyOf(f family, r row) uint64 {
	switch {
	case !r.prefix.IsValid():
		return 0
	case f == familyV4:
		return uint64(key4(r.prefix.Addr()))
	default:
		return key6(r.prefix.Addr())
	}
}

// keyShift returns the number of low bits that are zero in both keys because they
// lie behind the longer of the two prefixes.
func keyShift(f family, previous row, length byte) uint {
	longer := uint(length)
	if previous.prefix.IsValid() {
		longer = max(longer, uint(previous.prefix.Bits()))
	}
	return f.width() - longer
}

var errShortChunk = errors.New("chunk ends inside a block")

// decodeChunk decodes a chunk of n blocks and calls add for each of them.
func decodeChunk(data []byte, f family, n int, add func(r row) error) error {
	var previous row
	for range n {
		r, rest, err := decodeRow(data, f, previous)
		if err != nil {
			return err
		}
		if err := add(r); err != nil {
			return err
		}
		previous, data = r, rest
	}
	if len(data) > 0 {
		return errors.Newf("%d bytes follow the last block of the chunk", len(data))
	}
	return nil
}

func decodeRow(data []byte, f family, previous row) (row, []byte, error) {
	if len(data) == 0 {
		return row{}, nil, errShortChunk
	}
	length, data := data[0], data[1:]
	prefix, data, err := decodePrefix(data, f, previous, length)
	if err != nil {
		return row{}, nil, err
	}
	value, n := binary.Uvarint(data)
	if n <= 0 || value>>1 >= maxAssignments {
		return row{}, nil, errors.Newf("block %s: invalid assignment index", prefix)
	}
	return row{prefix: prefix, assignment: uint16(value >> 1), remove: value&1 != 0}, data[n:], nil
}

func decodePrefix(data []byte, f family, previous row, length byte) (netip.Prefix, []byte, error) {
	if f == familyLong {
		if len(data) < 16 || length <= maxWordLength || length > 128 {
			return netip.Prefix{}, nil, errShortChunk
		}
		addr := netip.AddrFrom16([16]byte(data[:16]))
		return netip.PrefixFrom(addr, int(length)), data[16:], nil
	}
	if uint(length) > f.width() {
		return netip.Prefix{}, nil, errors.Newf("prefix length %d exceeds the %d bits of the section's keys", length, f.width())
	}
	distance, n := binary.Uvarint(data)
	if n <= 0 {
		return netip.Prefix{}, nil, errShortChunk
	}
	key := keyOf(f, previous) + distance<<keyShift(f, previous, length)
	if f == familyV4 {
		return prefix4(uint32(key), length), data[n:], nil
	}
	return prefix6(key, length), data[n:], nil
}
