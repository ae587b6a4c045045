package lookup

import (
	"bytes"
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
)

// MaxDeltaBytes bounds a stored delta.
const MaxDeltaBytes = 4 << 20

// Delta is a set of changes to a stored table.
type Delta struct {
	// Base is the sum of the snapshot, or of the delta before this one.
	Base Sum
	// Sum is the delta's own sum.
	Sum     Sum
	Changes []Change
	// Stored is the stored form, to be passed on.
	Stored []byte
}

// DecodeDelta reads a stored delta. The error is a *FormatError.
func DecodeDelta(data []byte) (*Delta, error) {
	if len(data) > MaxDeltaBytes {
		return nil, formatError("a delta of %d bytes, more than %d", len(data), MaxDeltaBytes)
	}
	n, err := headerLength(data)
	if err != nil {
		return nil, err
	}
	if len(data) < preludeBytes+n {
		return nil, formatError("it ends after %d bytes", len(data))
	}
	h, err := decodeHeader(data[:preludeBytes+n])
	if err != nil {
		return nil, err
	}
	if len(h.Base) == 0 {
		return nil, formatError("it is a snapshot, not a delta")
	}
	list, err := h.list()
	if err != nil {
		return nil, err
	}
	d := &Delta{Base: Sum(h.Base), Sum: sha256.Sum256(data), Stored: data}
	return d, d.read(data[preludeBytes+n:], h, list)
}

func (d *Delta) read(data []byte, h *header, list []Assignment) error {
	for i, length := range h.Lengths {
		if len(data) < int(length) {
			return formatError("it ends inside chunk %d", i)
		}
		chunk := data[:length]
		data = data[length:]
		if xxhash.Sum64(chunk) != h.Sums[i] {
			return formatError("the checksum of chunk %d does not match", i)
		}
		f, n := h.chunk(i)
		if err := decodeChunk(chunk, f, n, func(r row) error { return d.add(r, list) }); err != nil {
			return formatError("%v", err)
		}
	}
	if len(data) > 0 {
		return formatError("%d bytes follow the last chunk", len(data))
	}
	return nil
}

func (d *Delta) add(r row, list []Assignment) error {
	if int(r.assignment) >= len(list) {
		return &BlockError{Block: r.prefix.String(), Reason: "its assignment is not in the table"}
	}
	d.Changes = append(d.Changes, Change{Prefix: r.prefix, Assignment: list[r.assignment], Remove: r.remove})
	return nil
}

// ApplyDelta returns the table with a delta, when the delta is for the table
// whose last stored part has the sum base. The error is a *FormatError or a
// *BlockError, and t stays as it is.
func (t *Table) ApplyDelta(base Sum, d *Delta) (*Table, error) {
	if !bytes.Equal(base[:], d.Base[:]) {
		return nil, formatError("delta %s is for %s, but %s is there", d.Sum, d.Base, base)
	}
	return t.Apply(d.Changes)
}
