package chunk

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
)

// text returns lines that differ from each other.
func text(lines int, seed uint64) []byte {
	random := rand.New(rand.NewPCG(seed, 0))
	var b bytes.Buffer
	for range lines {
		fmt.Fprintf(&b, `{"name":"r-%x","host":"%x.example","timeout":"2000ms"},`, random.Uint32(), random.Uint32())
	}
	return b.Bytes()
}

// literalBytes returns how many bytes of pieces the receiver does not have.
func literalBytes(p Pieces) int {
	n := 0
	for _, piece := range p.List {
		n += len(piece.Literal)
	}
	return n
}

// TestSmallChangeOfLargeValueIsSmall: what is sent of a value must depend on what has changed, and must be put together
// again exactly.
func TestSmallChangeOfLargeValueIsSmall(t *testing.T) {
	older := text(20_000, 1)
	middle := len(older) / 2
	added := text(500, 2)
	for name, c := range map[string]struct {
		value []byte
		most  int
	}{
		"nothing changed":       {older, 0},
		"one byte":              {append(append(bytes.Clone(older[:middle]), 'x'), older[middle+1:]...), 2 * maxBytes},
		"inserted at the start": {append([]byte("x"), older...), 2 * maxBytes},
		"many in the middle":    {append(append(bytes.Clone(older[:middle]), added...), older[middle:]...), len(added) + 4*maxBytes},
		"half is left":          {older[:middle], 2 * maxBytes},
		"nothing is left":       {nil, 0},
		"all is new":            {text(1000, 3), 1 << 20},
	} {
		pieces := Split(c.value, Hashes(older))
		if n := literalBytes(pieces); n > c.most {
			t.Errorf("%s: %d bytes are sent, at most %d expected", name, n, c.most)
		}
		got, err := Join(older, pieces)
		if err != nil || !bytes.Equal(got, c.value) {
			t.Errorf("%s: another value of %d bytes was put together, %v", name, len(got), err)
		}
	}
}

// TestWrongPiecesAreRefused: pieces that do not fit the older value must not give a value.
func TestWrongPiecesAreRefused(t *testing.T) {
	older := text(1000, 1)
	pieces := Split(older, Hashes(older))
	for name, c := range map[string]struct {
		older  []byte
		pieces Pieces
		want   error
	}{
		"another older value": {text(1000, 2), pieces, nil},
		"beyond the end":      {older, Pieces{List: []Piece{{First: 1 << 30, Count: 1}}}, ErrUnknownChunk},
		"too many":            {older, Pieces{List: []Piece{{First: 1, Count: 1 << 62}}}, ErrUnknownChunk},
		"negative":            {older, Pieces{List: []Piece{{First: -1, Count: 1}}}, ErrUnknownChunk},
		"endless":             {older, Pieces{List: slicesOf(Piece{Count: len(Hashes(older))}, 4000)}, ErrTooLarge},
		"wrong sum":           {older, Pieces{List: pieces.List, Sum: pieces.Sum + 1}, ErrWrongSum},
	} {
		got, err := Join(c.older, c.pieces)
		if err == nil || got != nil || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: %d bytes, error %v, want %v", name, len(got), err, c.want)
		}
	}
}

func slicesOf(p Piece, n int) []Piece {
	all := make([]Piece, n)
	for i := range all {
		all[i] = p
	}
	return all
}

// FuzzJoin: what Split makes of any two values must be put together again.
func FuzzJoin(f *testing.F) {
	f.Add([]byte("older"), []byte("newer"), 0)
	f.Add(text(100, 1), text(100, 1), 300)
	f.Fuzz(func(t *testing.T, older, value []byte, at int) {
		if at > 0 && at < len(older) {
			value = append(bytes.Clone(older[at:]), value...)
		}
		got, err := Join(older, Split(value, Hashes(older)))
		if err != nil || !bytes.Equal(got, value) {
			t.Errorf("another value was put together, %v", err)
		}
	})
}
