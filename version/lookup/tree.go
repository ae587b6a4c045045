package lookup

import (
	"math/bits"
	"unsafe"
)

// word is an address, or the first half of one, as an unsigned integer.
type word interface{ ~uint32 | ~uint64 }

const (
	// pageSize is how many blocks a full page holds.
	pageSize = 1024
	// noParent marks a block that no other block encloses.
	noParent = 0xff
	// anyLength is larger than the length of every block.
	anyLength = 0xfe
)

// tree holds blocks in order of address and length, in pages that a changed copy
// shares with the original. It is immutable.
type tree[K word] struct {
	pages []*page[K]
	// first and firstLength are the first block of each page.
	first       []K
	firstLength []uint8
	size        int
}

// page is a run of blocks, one slice for each field.
type page[K word] struct {
	keys    []K
	lengths []uint8
	// parents are the lengths of the closest enclosing blocks, or noParent.
	parents []uint8
	values  []uint16
}

func width[K word]() int { return int(unsafe.Sizeof(K(0))) * 8 }

// mask returns the first length bits of a key.
func mask[K word](key K, length uint8) K { return key & (^K(0) << (width[K]() - int(length))) }

// commonLength returns how many leading bits two keys share.
func commonLength[K word](a, b K) int {
	return bits.LeadingZeros64(uint64(a^b)) - (64 - width[K]())
}

// precedes reports whether a block comes before or is another one.
func precedes[K word](key K, length uint8, otherKey K, otherLength uint8) bool {
	return key < otherKey || key == otherKey && length <= otherLength
}

// pageOf returns the page on which a block is or would be, 0 when it comes before all.
func (t *tree[K]) pageOf(key K, length uint8) int {
	low, high := 0, len(t.first)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if precedes(t.first[middle], t.firstLength[middle], key, length) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return max(low-1, 0)
}

// indexOf returns the last block of a page that precedes or is the given one, or -1.
func (p *page[K]) indexOf(key K, length uint8) int {
	low, high := 0, len(p.keys)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if p.keys[middle] <= key {
			low = middle + 1
		} else {
			high = middle
		}
	}
	for low > 0 && p.keys[low-1] == key && p.lengths[low-1] > length {
		low--
	}
	return low - 1
}

// lookup returns the value of the longest block that holds an address.
//
// The last block at or before the address either holds it, or lies inside the
// block that does.
func (t *tree[K]) lookup(addr K) (value uint16, ok bool) {
	if t.size == 0 {
		return 0, false
	}
	p := t.pages[t.pageOf(addr, anyLength)]
	i := p.indexOf(addr, anyLength)
	if i < 0 {
		return 0, false
	}
	key := p.keys[i]
	common := commonLength(addr, key)
	for int(p.lengths[i]) > common {
		parent := p.parents[i]
		if parent == noParent {
			return 0, false
		}
		p, i = t.find(mask(key, parent), parent)
	}
	return p.values[i], true
}

// find returns the place of a block that is known to be there.
func (t *tree[K]) find(key K, length uint8) (*page[K], int) {
	p := t.pages[t.pageOf(key, length)]
	return p, p.indexOf(key, length)
}

// get returns the value of exactly this block.
func (t *tree[K]) get(key K, length uint8) (value uint16, ok bool) {
	if t.size == 0 {
		return 0, false
	}
	p, i := t.find(key, length)
	if i < 0 || p.keys[i] != key || p.lengths[i] != length {
		return 0, false
	}
	return p.values[i], true
}

// each calls f for every block in order until it returns false.
func (t *tree[K]) each(f func(key K, length uint8, value uint16) bool) bool { return t.from(0, f) }

// from is each without the first skip blocks.
func (t *tree[K]) from(skip int, f func(key K, length uint8, value uint16) bool) bool {
	for _, p := range t.pages {
		if skip >= len(p.keys) {
			skip -= len(p.keys)
			continue
		}
		for i := skip; i < len(p.keys); i++ {
			if !f(p.keys[i], p.lengths[i], p.values[i]) {
				return false
			}
		}
		skip = 0
	}
	return true
}
