// Package chunk encodes a value by what it has in common with an older value that the receiver has.
//
// Both sides cut their values into chunks at places that the content alone determines, so that a change moves the borders
// near it only. The receiver states the hashes of its chunks, and the sender sends the rest. Nobody needs to keep older
// values for others.
package chunk

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// minBytes and maxBytes bound the size of a chunk; only the last one may be shorter. The mean is minBytes and 1<<meanBits.
	minBytes, maxBytes = 1 << 10, 16 << 10
	meanBits           = 11
	// MaxValueBytes bounds a value that Join returns.
	MaxValueBytes = 64 << 20
)

// borderMask is zero in the rolling hash at the end of a chunk. Its bits are the highest: those depend on the last 64 bytes.
const borderMask = uint64(1<<meanBits-1) << (64 - meanBits)

// gear holds a random number for each byte. All releases must use the same, or they find no chunks in common.
var gear = func() (table [256]uint64) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range table {
		table[i] = random.Uint64()
	}
	return table
}()

// Errors of Join.
var (
	ErrUnknownChunk = errors.New("a piece refers to a chunk that the older value does not have")
	ErrTooLarge     = errors.Newf("the value has more than %d bytes", MaxValueBytes)
	ErrWrongSum     = errors.New("the value that was put together has another hash")
)

// cut returns the chunks of a value, in order.
func cut(value []byte) [][]byte {
	var chunks [][]byte
	for len(value) > 0 {
		n := border(value)
		chunks = append(chunks, value[:n])
		value = value[n:]
	}
	return chunks
}

// border returns the length of the first chunk of a value.
func border(value []byte) int {
	limit := min(len(value), maxBytes)
	hash := uint64(0)
	for i, b := range value[:limit] {
		hash = hash<<1 + gear[b]
		if i+1 >= minBytes && hash&borderMask == 0 {
			return i + 1
		}
	}
	return limit
}

// Hashes returns the hashes of the chunks of a value, in order.
func Hashes(value []byte) []uint64 {
	chunks := cut(value)
	hashes := make([]uint64, len(chunks))
	for i, c := range chunks {
		hashes[i] = xxhash.Sum64(c)
	}
	return hashes
}

// Piece is a part of a value: Count chunks of the older value from number First on, and the bytes that follow them.
type Piece struct {
	_            struct{} `cbor:",toarray"`
	First, Count int
	Literal      []byte
}

// Pieces is a value as pieces, with the hash of the whole.
type Pieces struct {
	_    struct{} `cbor:",toarray"`
	List []Piece
	Sum  uint64
}

// Split returns a value as pieces for a receiver whose older value has chunks with these hashes.
func Split(value []byte, hashes []uint64) Pieces {
	numbers := make(map[uint64]int, len(hashes))
	for i, h := range hashes {
		numbers[h] = i
	}
	pieces := Pieces{Sum: xxhash.Sum64(value)}
	var last Piece
	for _, c := range cut(value) {
		number, known := numbers[xxhash.Sum64(c)]
		switch {
		case !known:
			last.Literal = append(last.Literal, c...)
		case last.Count > 0 && len(last.Literal) == 0 && number == last.First+last.Count:
			last.Count++
		default:
			pieces.add(last)
			last = Piece{First: number, Count: 1}
		}
	}
	pieces.add(last)
	return pieces
}

// add appends a piece unless it is empty.
func (p *Pieces) add(last Piece) {
	if last.Count > 0 || len(last.Literal) > 0 {
		p.List = append(p.List, last)
	}
}

// Join returns the value that pieces stand for, given the older value whose hashes were passed to Split. The error is
// ErrUnknownChunk, ErrTooLarge or ErrWrongSum.
func Join(older []byte, pieces Pieces) ([]byte, error) {
	chunks := cut(older)
	var value []byte
	for _, p := range pieces.List {
		if p.First < 0 || p.Count < 0 || p.First > len(chunks) || p.Count > len(chunks)-p.First {
			return nil, ErrUnknownChunk
		}
		for _, c := range chunks[p.First : p.First+p.Count] {
			value = append(value, c...)
		}
		value = append(value, p.Literal...)
		if len(value) > MaxValueBytes {
			return nil, ErrTooLarge
		}
	}
	if xxhash.Sum64(value) != pieces.Sum {
		return nil, ErrWrongSum
	}
	return value, nil
}
