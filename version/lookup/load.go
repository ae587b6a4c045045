package lookup

import (
	"context"
	"crypto/sha256"
	"hash"

	"github.com/cespare/xxhash/v2"
)

// Object is a stored table that is read in parts.
type Object interface {
	// ReadRange returns length bytes from offset; fewer only at the end.
	ReadRange(ctx context.Context, offset, length int64) ([]byte, error)
	// MaxRange is how many bytes one read should ask for.
	MaxRange() int64
}

// Snapshot is a whole table together with what is needed to pass its stored form on.
type Snapshot struct {
	Table *Table
	Sum   Sum
	// prelude is the stored form up to the first chunk.
	prelude []byte
	header  *header
}

// Loading reads a stored snapshot and goes on after a failure where it stopped,
// also from another source. It never holds more than one range of the stored form.
type Loading struct {
	want    Sum
	prelude []byte
	header  *header
	builder *Builder
	sum     hash.Hash
	// next is the chunk to read next, and offset its place.
	next   int
	offset int64
}

// NewLoading starts to read the snapshot with a sum.
func NewLoading(want Sum) *Loading { return &Loading{want: want, sum: sha256.New()} }

// Done returns how many blocks are read, and of how many.
func (l *Loading) Done() (blocks, total int) {
	if l.header == nil {
		return 0, 0
	}
	for _, n := range l.header.Blocks {
		total += int(n)
	}
	return min(l.next*chunkBlocks, total), total
}

// Read reads on until the table is whole. After an error the same Loading may
// read on. A damaged part is a *FormatError, and is asked for again.
func (l *Loading) Read(ctx context.Context, o Object) (*Snapshot, error) {
	if l.header == nil {
		if err := l.readHeader(ctx, o); err != nil {
			return nil, err
		}
	}
	for l.next < len(l.header.Lengths) {
		if err := l.readChunks(ctx, o); err != nil {
			return nil, err
		}
	}
	if Sum(l.sum.Sum(nil)) != l.want {
		*l = *NewLoading(l.want)
		return nil, formatError("its SHA-256 does not match")
	}
	return &Snapshot{Table: l.builder.Table(), Sum: l.want, prelude: l.prelude, header: l.header}, nil
}

func (l *Loading) readHeader(ctx context.Context, o Object) error {
	prelude, err := readExactly(ctx, o, 0, int64(preludeBytes))
	if err != nil {
		return err
	}
	n, err := headerLength(prelude)
	if err != nil {
		return err
	}
	body, err := readExactly(ctx, o, int64(preludeBytes), int64(n))
	if err != nil {
		return err
	}
	whole := append(prelude, body...)
	h, err := decodeHeader(whole)
	if err != nil {
		return err
	}
	if len(h.Base) != 0 {
		return formatError("it is a delta, not a snapshot")
	}
	list, err := h.list()
	if err != nil {
		return err
	}
	l.header, l.prelude, l.builder, l.offset = h, whole, NewBuilder(list), int64(len(whole))
	l.sum.Write(whole)
	return nil
}

// readExactly returns length bytes, in ranges that the object allows.
func readExactly(ctx context.Context, o Object, offset, length int64) ([]byte, error) {
	out := make([]byte, 0, length)
	for int64(len(out)) < length {
		part, err := o.ReadRange(ctx, offset+int64(len(out)), min(length-int64(len(out)), o.MaxRange()))
		if err != nil {
			return nil, err
		}
		if len(part) == 0 {
			return nil, formatError("it ends after %d bytes", offset+int64(len(out)))
		}
		out = append(out, part...)
	}
	if int64(len(out)) > length {
		return nil, formatError("a read of %d bytes gave %d", length, len(out))
	}
	return out, nil
}

// readChunks reads as many whole chunks as fit one range, at least one.
func (l *Loading) readChunks(ctx context.Context, o Object) error {
	last, length := l.next, int64(0)
	for last < len(l.header.Lengths) && (last == l.next || length+int64(l.header.Lengths[last]) <= o.MaxRange()) {
		length += int64(l.header.Lengths[last])
		last++
	}
	data, err := readExactly(ctx, o, l.offset, length)
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

func (l *Loading) addChunk(chunk []byte) error {
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
		*l = *NewLoading(l.want)
		return formatError("%v", err)
	}
	l.sum.Write(chunk)
	l.next++
	l.offset += int64(len(chunk))
	return nil
}
