package lookup

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// magic begins every stored table; its last byte is the format version.
	magic = "QZTABLE\x01"
	// preludeBytes is the size of the magic, the header's length and its checksum.
	preludeBytes = len(magic) + 4 + 8
	// maxHeaderBytes bounds the header of a stored table.
	maxHeaderBytes = 8 << 20
	// maxChunkBytes bounds one chunk.
	maxChunkBytes = blocksPerChunk * 32
	// maxBlocks bounds a table.
	maxBlocks = 16 << 20
)

// Sum is the SHA-256 of a stored table or delta.
type Sum [sha256.Size]byte

// String returns the first 12 hexadecimal digits, for logs.
func (s Sum) String() string { return fmt.Sprintf("%x", s[:6]) }

// FormatError reports a stored table that is corrupt, truncated or not a table.
type FormatError struct{ Reason string }

// Error implements the error interface.
func (e *FormatError) Error() string { return "stored block table: " + e.Reason }

func formatError(format string, args ...any) error {
	return &FormatError{Reason: fmt.Sprintf(format, args...)}
}

// header describes a stored table. The chunks follow it without padding.
type header struct {
	_ struct{} `cbor:",toarray"`
	// Base is the sum of the table or delta that a delta applies to; empty in a snapshot.
	Base []byte
	// Blocks is the number of blocks in each section.
	Blocks [familyCount]uint32
	// Names are the names of regions and entry hosts; assignments refer to them by index.
	Names       []string
	Assignments []storedAssignment
	// Lengths and Sums are the length in bytes and the checksum of each chunk.
	Lengths []uint32
	Sums    []uint64
}

type storedAssignment struct {
	_       struct{} `cbor:",toarray"`
	Regions []uint16
	Entries []uint16
}

// encode returns the prelude followed by the header.
func (h *header) encode() ([]byte, error) {
	body, err := cbor.Marshal(h)
	if err != nil {
		return nil, err
	}
	out := append([]byte(nil), magic...)
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...), nil
}

// headerLength returns the length of the header that follows a prelude.
func headerLength(prelude []byte) (int, error) {
	if len(prelude) < preludeBytes || string(prelude[:len(magic)]) != magic {
		return 0, formatError("it does not begin like one")
	}
	n := binary.BigEndian.Uint32(prelude[len(magic):])
	if n > maxHeaderBytes {
		return 0, formatError("its header has %d bytes, more than %d", n, maxHeaderBytes)
	}
	return int(n), nil
}

// decodeHeader decodes and checks a prelude with its header.
func decodeHeader(data []byte) (*header, error) {
	n, err := headerLength(data)
	if err != nil {
		return nil, err
	}
	body := data[preludeBytes:]
	if len(body) != n {
		return nil, formatError("its header has %d bytes, want %d", len(body), n)
	}
	if sum := binary.BigEndian.Uint64(data[len(magic)+4:]); sum != xxhash.Sum64(body) {
		return nil, formatError("the checksum of its header does not match")
	}
	h := &header{}
	if err := cbor.Unmarshal(body, h); err != nil {
		return nil, formatError("its header: %v", err)
	}
	return h, h.check()
}

func (h *header) check() error {
	chunks, blocks := 0, 0
	for _, n := range h.Blocks {
		chunks += (int(n) + blocksPerChunk - 1) / blocksPerChunk
		blocks += int(n)
	}
	if blocks > maxBlocks {
		return formatError("it has %d blocks, more than %d", blocks, maxBlocks)
	}
	if len(h.Lengths) != chunks || len(h.Sums) != chunks {
		return formatError("it lists %d chunks and %d checksums, want %d", len(h.Lengths), len(h.Sums), chunks)
	}
	for _, n := range h.Lengths {
		if n > maxChunkBytes {
			return formatError("a chunk has %d bytes, more than %d", n, maxChunkBytes)
		}
	}
	if len(h.Base) != 0 && len(h.Base) != len(Sum{}) {
		return formatError("the sum of its base has %d bytes", len(h.Base))
	}
	return nil
}

// chunk returns the section and the number of blocks of chunk i.
func (h *header) chunk(i int) (family, int) {
	for f, blocks := range h.Blocks {
		chunks := (int(blocks) + blocksPerChunk - 1) / blocksPerChunk
		if i < chunks {
			return family(f), min(blocksPerChunk, int(blocks)-i*blocksPerChunk)
		}
		i -= chunks
	}
	return familyCount, 0
}

// namedAssignments returns the assignments with the names of their regions and entry hosts.
func (h *header) namedAssignments() ([]Assignment, error) {
	list := make([]Assignment, len(h.Assignments))
	for i, a := range h.Assignments {
		var err error
		if list[i].Regions, err = h.namesOf(a.Regions); err != nil {
			return nil, err
		}
		if list[i].Entries, err = h.namesOf(a.Entries); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func (h *header) namesOf(indexes []uint16) ([]string, error) {
	var names []string
	for _, i := range indexes {
		if int(i) >= len(h.Names) {
			return nil, formatError("an assignment refers to name %d of %d", i, len(h.Names))
		}
		names = append(names, h.Names[i])
	}
	return names, nil
}

// setAssignments sets the assignments and the names that they refer to.
func (h *header) setAssignments(list []Assignment) error {
	index := make(map[string]uint16)
	for _, a := range list {
		regions, entries := h.indexesOf(index, a.Regions), h.indexesOf(index, a.Entries)
		h.Assignments = append(h.Assignments, storedAssignment{Regions: regions, Entries: entries})
	}
	if len(h.Names) > maxAssignments {
		return errors.Newf("more than %d names of regions and entry hosts", maxAssignments)
	}
	return nil
}

func (h *header) indexesOf(index map[string]uint16, names []string) []uint16 {
	out := make([]uint16, len(names))
	for i, name := range names {
		at, ok := index[name]
		if !ok {
			at = uint16(len(h.Names))
			index[name] = at
			h.Names = append(h.Names, name)
		}
		out[i] = at
	}
	return out
}
