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
	// Base is the sum of the snapshot or of the preceding delta.
	Base Sum
	// Sum is the SHA-256 of the delta itself.
	Sum     Sum
	Changes []Change
	// Encoded is the stored form, kept to serve it to other hosts.
	Encoded []byte
}

// DecodeDelta decodes a stored delta. The error is a *FormatError.
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
	list, err := h.namedAssignments()
	if err != nil {
		return nil, err
	}
	d := &Delta{Base: Sum(h.Base), Sum: sha256.Sum256(data), Encoded: data}
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

// ApplyDelta returns a copy of the table with the delta applied. base is the sum of the
// snapshot or delta that t was made from last; it must match the delta's Base. The
// error is a *FormatError or a *BlockError. t is not modified.
func (t *Table) ApplyDelta(base Sum, d *Delta) (*Table, error) {
	if !bytes.Equal(base[:], d.Base[:]) {
		return nil, formatError("delta %s has base %s, but the table has sum %s", d.Sum, d.Base, base)
	}
	return t.Apply(d.Changes)
}
