package lookup

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/cespare/xxhash/v2"
)

// RangeReader reads a stored table in parts.
type RangeReader interface {
	// ReadRange returns length bytes from offset, or fewer at the end of the object.
	ReadRange(ctx context.Context, offset, length int64) ([]byte, error)
	// MaxRange returns the maximum number of bytes that one read should request.
	MaxRange() int64
}

// Snapshot is a complete table together with the data needed to serve its stored form
// to other hosts.
type Snapshot struct {
	Table *Table
	Sum   Sum
	// prelude is the stored form up to the first chunk.
	prelude []byte
	header  *header
}

// Loader reads a stored snapshot. After a failure it resumes where it stopped, also
// from another source. It holds at most one range of the stored form in memory.
type Loader struct {
	want    Sum
	prelude []byte
	header  *header
	builder *Builder
	sum     hash.Hash
	// next is the index of the next chunk to read, and offset its byte offset.
	next   int
	offset int64
}

// NewLoader returns a Loader of the snapshot with the given sum.
func NewLoader(want Sum) *Loader { return &Loader{want: want, sum: sha256.New()} }

// Progress returns the number of blocks that have been read and the total number.
func (l *Loader) Progress() (blocks, total int) {
	if l.header == nil {
		return 0, 0
	}
	for _, n := range l.header.Blocks {
		total += int(n)
	}
	return min(l.next*blocksPerChunk, total), total
}

// Read reads the rest of the snapshot. After an error, Read may be called again on the
// same Loader and resumes. A corrupt part is reported as a *FormatError and is
// requested again by the next call.
func (l *Loader) Read(ctx context.Context, src RangeReader) (*Snapshot, error) {
	if l.header == nil {
		if err := l.readHeader(ctx, src); err != nil {
			return nil, err
		}
	}
	for l.next < len(l.header.Lengths) {
		if err := l.readChunks(ctx, src); err != nil {
			return nil, err
		}
	}
	if Sum(l.sum.Sum(nil)) != l.want {
		*l = *NewLoader(l.want)
		return nil, formatError("its SHA-256 does not match")
	}
	table := l.builder.Table()
	table.tag = binary.BigEndian.Uint64(l.want[:])
	return &Snapshot{Table: table, Sum: l.want, prelude: l.prelude, header: l.header}, nil
}

func (l *Loader) readHeader(ctx context.Context, src RangeReader) error {
	prelude, err := readExactly(ctx, src, 0, int64(preludeBytes))
	if err != nil {
		return err
	}
	n, err := headerLength(prelude)
	if err != nil {
		return err
	}
	body, err := readExactly(ctx, src, int64(preludeBytes), int64(n))
	if err != nil {
		return err
	}
	data := append(prelude, body...)
	h, err := decodeHeader(data)
	if err != nil {
		return err
	}
	if len(h.Base) != 0 {
		return formatError("it is a delta, not a snapshot")
	}
	list, err := h.namedAssignments()
	if err != nil {
		return err
	}
	l.header, l.prelude, l.builder, l.offset = h, data, NewBuilder(list), int64(len(data))
	l.sum.Write(data)
	return nil
}

// readExactly reads exactly length bytes in ranges of at most o.MaxRange.
func readExactly(ctx context.Context, src RangeReader, offset, length int64) ([]byte, error) {
	out := make([]byte, 0, length)
	for int64(len(out)) < length {
		part, err := src.ReadRange(ctx, offset+int64(len(out)), min(length-int64(len(out)), src.MaxRange()))
		if err != nil {
			return nil, err
		}
		if len(part) == 0 {
			return nil, formatError("it ends after %d bytes", offset+int64(len(out)))
		}
		out = append(out, part...)
	}
	if int64(len(out)) > length {
		return nil, formatError("a read of %d bytes returned %d", length, len(out))
	}
	return out, nil
}

// readChunks reads as many complete chunks as fit into one range, at least one.
func (l *Loader) readChunks(ctx context.Context, src RangeReader) error {
	last, length := l.next, int64(0)
	for last < len(l.header.Lengths) && (last == l.next || length+int64(l.header.Lengths[last]) <= src.MaxRange()) {
		length += int64(l.header.Lengths[last])
		last++
	}
	data, err := readExactly(ctx, src, l.offset, length)
	if err != nil {
		return err
	}
	for l.next < last {
		chunk := data[:l.header.Lengths[l.next]]
		if err := l.addChunk(chunk); err != nil {
			return err
		}
		data = data[len(chunk):]
	}
	return nil
}

func (l *Loader) addChunk(chunk []byte) error {
	if xxhash.Sum64(chunk) != l.header.Sums[l.next] {
		return formatError("the checksum of chunk %d does not match", l.next)
	}
	f, n := l.header.chunk(l.next)
	err := decodeChunk(chunk, f, n, func(r row) error {
		if familyOf(r.prefix) != f || r.remove {
			return formatError("chunk %d holds block %s, which does not belong there", l.next, r.prefix)
		}
		return l.builder.Add(r.prefix, r.assignment)
	})
	if err != nil {
		*l = *NewLoader(l.want)
		return formatError("%v", err)
	}
	l.sum.Write(chunk)
	l.next++
	l.offset += int64(len(chunk))
	return nil
}
