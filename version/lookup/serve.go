package lookup

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxServedRange limits the length of one read of a snapshot, in bytes.
const maxServedRange = 64 << 10

// MaxRange implements RangeReader.
func (s *Snapshot) MaxRange() int64 { return maxServedRange }

// ReadRange implements RangeReader. It encodes the range from the table in memory, since
// hosts do not keep the stored form. A range behind the header must begin at the start
// of a chunk, and only complete chunks are returned.
func (s *Snapshot) ReadRange(_ context.Context, offset, length int64) ([]byte, error) {
	length = min(length, maxServedRange)
	if offset < 0 || length < 0 {
		return nil, errors.Newf("invalid range: %d bytes from offset %d", length, offset)
	}
	if offset < int64(len(s.prelude)) {
		end := min(offset+length, int64(len(s.prelude)))
		return slices.Clone(s.prelude[offset:end]), nil
	}
	at := int64(len(s.prelude))
	var out []byte
	for i, n := range s.header.Lengths {
		switch {
		case at < offset:
		case at == offset+int64(len(out)) && (len(out) == 0 || int64(len(out))+int64(n) <= length):
			out = s.appendChunk(out, i)
		default:
			return out, nil
		}
		at += int64(n)
	}
	return out, nil
}

func (s *Snapshot) appendChunk(dst []byte, i int) []byte {
	f, n := s.header.chunk(i)
	skip := i
	for other := range f {
		skip -= (int(s.header.Blocks[other]) + blocksPerChunk - 1) / blocksPerChunk
	}
	var previous row
	for r := range s.Table.section(f, skip*blocksPerChunk) {
		if n == 0 {
			break
		}
		dst = appendRow(dst, f, previous, r)
		previous = r
		n--
	}
	return dst
}

// section returns the blocks of a family, without the first skip blocks.
func (t *Table) section(f family, skip int) func(yield func(row) bool) {
	return func(yield func(row) bool) {
		switch f {
		case familyV4:
			t.v4.eachFrom(skip, func(key uint32, length uint8, value uint16) bool {
				return yield(row{prefix: prefix4(key, length), assignment: value})
			})
		case familyV6:
			t.v6.eachFrom(skip, func(key uint64, length uint8, value uint16) bool {
				return yield(row{prefix: prefix6(key, length), assignment: value})
			})
		default:
			t.eachLongFrom(skip, yield)
		}
	}
}

func (t *Table) eachLongFrom(skip int, yield func(row) bool) {
	if t.long == nil {
		return
	}
	for p, value := range t.long.AllSorted6() {
		if skip--; skip >= 0 {
			continue
		}
		if !yield(row{prefix: p, assignment: value}) {
			return
		}
	}
}
