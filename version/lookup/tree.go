package lookup

import (
	"math/bits"
	"unsafe"
)

// word is an IPv4 address, or the upper 64 bits of an IPv6 address, as an unsigned integer.
type word interface{ ~uint32 | ~uint64 }

const (
	// pageSize is the number of blocks in a full page. A page then takes 1988 bytes
	// with 32-bit keys and 3008 bytes with 64-bit keys, just below size classes of the
	// allocator.
	pageSize = 240
	// sampleEvery is the number of keys per sample.
	sampleEvery = 16
	// noParent is the parent length of a block that no other block encloses.
	noParent = 0xff
	// anyLength is larger than every prefix length; as the length in a search it finds
	// the last block with a key.
	anyLength = 0xfe
)

// tree holds blocks in order of address and prefix length. It is immutable: changes
// create a copy that shares the unaffected pages with the original.
type tree[K word] struct {
	pages []*page[K]
	// first and firstLength are the key and the length of the first block of each page.
	first       []K
	firstLength []uint8
	size        int
}

// page holds consecutive blocks. Each field has its own array, so that a search reads
// few cache lines. Only the first count elements are in use.
type page[K word] struct {
	count int
	// samples are the keys at the multiples of sampleEvery.
	samples [pageSize / sampleEvery]K
	keys    [pageSize]K
	lengths [pageSize]uint8
	// parents are the lengths of the closest enclosing blocks; noParent if there is none.
	parents [pageSize]uint8
	values  [pageSize]uint16
}

func width[K word]() int { return int(unsafe.Sizeof(K(0))) * 8 }

// mask returns the first length bits of a key.
func mask[K word](key K, length uint8) K { return key & (^K(0) << (width[K]() - int(length))) }

// commonLength returns the number of leading bits that two keys have in common.
func commonLength[K word](a, b K) int {
	return bits.LeadingZeros64(uint64(a^b)) - (64 - width[K]())
}

// precedes reports whether a block sorts before another block or equals it.
func precedes[K word](key K, length uint8, otherKey K, otherLength uint8) bool {
	return key < otherKey || key == otherKey && length <= otherLength
}

// pageOf returns the index of the page that holds a block or would hold it; 0 if the
// block sorts before all others.
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

// indexOf returns the index of the last block of a page that sorts before the given
// block or equals it, or -1.
func (p *page[K]) indexOf(key K, length uint8) int {
	group := 0
	for group*sampleEvery < p.count && p.samples[group] <= key {
		group++
	}
	if group == 0 {
		return -1
	}
	at := (group - 1) * sampleEvery
	for end := min(at+sampleEvery, p.count); at < end && p.keys[at] <= key; at++ {
	}
	for at > 0 && p.keys[at-1] == key && p.lengths[at-1] > length {
		at--
	}
	return at - 1
}

// lookup returns the value of the longest block that contains an address.
//
// The last block that starts at or before the address either contains it, or is
// enclosed by the block that does.
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

// find returns the page and the index of a block that the tree contains.
func (t *tree[K]) find(key K, length uint8) (*page[K], int) {
	p := t.pages[t.pageOf(key, length)]
	return p, p.indexOf(key, length)
}

// get returns the value of the block with exactly this key and length.
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

// each calls f for every block in order until f returns false. It reports whether all
// blocks were visited.
func (t *tree[K]) each(f func(key K, length uint8, value uint16) bool) bool { return t.eachFrom(0, f) }

// eachFrom is like each but skips the first skip blocks.
func (t *tree[K]) eachFrom(skip int, f func(key K, length uint8, value uint16) bool) bool {
	for _, p := range t.pages {
		if skip >= p.count {
			skip -= p.count
			continue
		}
		for i := skip; i < p.count; i++ {
			if !f(p.keys[i], p.lengths[i], p.values[i]) {
				return false
			}
		}
		skip = 0
	}
	return true
}
