package httpwire

import (
	"encoding/binary"
	"math/bits"
)

// tokenBytes are the bytes of field names.
var tokenBytes = tokenTable()

func tokenTable() (table [256]bool) {
	for b := '0'; b <= '9'; b++ {
		table[b] = true
	}
	for b := 'a'; b <= 'z'; b++ {
		table[b], table[b-'a'+'A'] = true, true
	}
	for _, b := range "!#$%&'*+-.^_`|~" {
		table[b] = true
	}
	return table
}

// IsToken reports whether a field name has only the characters that RFC 9110 allows, and at least one.
func IsToken(name []byte) bool { return len(name) > 0 && tokenLength(name) == len(name) }

// tokenLength returns the number of bytes at the start of text that may stand in a field name.
func tokenLength(text []byte) int {
	for i, b := range text {
		if !tokenBytes[b] {
			return i
		}
	}
	return len(text)
}

// IsText reports whether a line has no control character but tabs.
func IsText(line []byte) bool { return textLength(line) == len(line) }

const (
	// wordBytes is how many bytes textLength looks at together.
	wordBytes = 8
	// ones has the lowest bit of each byte of a word set, and highs the highest.
	ones  = 0x0101010101010101
	highs = 0x8080808080808080
	del   = 0x7f
)

// textLength returns the number of bytes at the start of p before a control character other than a tab.
func textLength(p []byte) int {
	n := 0
	for len(p)-n >= wordBytes {
		controls := controlBytes(binary.LittleEndian.Uint64(p[n:]))
		if controls == 0 {
			n += wordBytes
			continue
		}
		n += bits.TrailingZeros64(controls) / 8
		if p[n] != '\t' {
			return n
		}
		n++
	}
	for n < len(p) && (p[n] >= ' ' && p[n] != del || p[n] == '\t') {
		n++
	}
	return n
}

// controlBytes returns a word whose lowest set bit is the highest bit of the first byte that is a control character. It is
// 0 if there is none.
func controlBytes(word uint64) uint64 {
	notDel := word ^ del*ones
	return ((word-' '*ones)&^word | (notDel-ones)&^notDel) & highs
}
