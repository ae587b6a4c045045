// Package capacity measures the processor time, memory and bytes that the control
// plane and look-ups cost one host at several sizes, fits a line to each series of
// measurements, and writes docs/CAPACITY.md.
package capacity

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"

	"quetzalknot/version/lookup"
)

// Block is one client block with the index of its assignment.
type Block struct {
	Prefix     netip.Prefix
	Assignment uint16
}

const (
	// assignmentCount is the number of different assignments of the blocks.
	assignmentCount = 600
	// regions is the number of regions at the design size.
	regions = 6
	// shareV6 is the share of IPv6 blocks.
	shareV6 = 0.35
	// meanRunLength is the mean number of neighbouring blocks in an allocation.
	meanRunLength = 12
)

// Blocks returns n distinct blocks in order of address: allocations of
// neighbouring IPv4 /24 and IPv6 /48 blocks, mixed with longer and shorter prefixes
// that may be nested in each other. The same seed gives the same blocks.
func Blocks(n int, seed uint64) []Block {
	rnd := rand.New(rand.NewPCG(seed, 1))
	seen := make(map[netip.Prefix]bool, n)
	blocks := make([]Block, 0, n)
	for len(blocks) < n {
		v6 := rnd.Float64() < shareV6
		run := 1 + int(rnd.ExpFloat64()*meanRunLength)
		start := rnd.Uint64()
		for i := range min(run, n-len(blocks)) {
			p := allocatedBlock(rnd, start, uint64(i), v6)
			if seen[p] {
				continue
			}
			seen[p] = true
			blocks = append(blocks, Block{Prefix: p, Assignment: uint16(rnd.IntN(assignmentCount))})
		}
	}
	slices.SortFunc(blocks, func(a, b Block) int { return a.Prefix.Compare(b.Prefix) })
	return blocks
}

// allocatedBlock returns the i-th block of an allocation.
func allocatedBlock(rnd *rand.Rand, start, i uint64, v6 bool) netip.Prefix {
	if v6 {
		bits := pickBits(rnd, 48, 48, 48, 48, 56, 64, 32, 44)
		var a [16]byte
		binary.BigEndian.PutUint64(a[:], 0x2<<60|start>>4&^0xffff+i<<16)
		return netip.PrefixFrom(netip.AddrFrom16(a), bits).Masked()
	}
	bits := pickBits(rnd, 24, 24, 24, 24, 24, 28, 22, 20)
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], uint32(start)&^0xff+uint32(i)<<8|uint32(rnd.Uint32N(256)))
	return netip.PrefixFrom(netip.AddrFrom4(a), bits).Masked()
}

// Assignments returns the assignments that the blocks refer to: permutations of the
// regions.
func Assignments() []lookup.Assignment {
	list := make([]lookup.Assignment, assignmentCount)
	for i := range list {
		order := rand.New(rand.NewPCG(uint64(i), 3)).Perm(regions)
		for _, r := range order {
			list[i].Regions = append(list[i].Regions, regionName(r))
		}
	}
	return list
}

func regionName(r int) string { return "region-" + strconv.Itoa(r+1) }

func pickBits(rnd *rand.Rand, bits ...int) int { return bits[rnd.IntN(len(bits))] }

// ClientAddrs returns n addresses in randomly chosen blocks.
func ClientAddrs(blocks []Block, n int, seed uint64) []netip.Addr {
	rnd := rand.New(rand.NewPCG(seed, 2))
	clients := make([]netip.Addr, n)
	for i := range clients {
		p := blocks[rnd.IntN(len(blocks))].Prefix
		clients[i] = randomAddrIn(rnd, p)
	}
	return clients
}

func randomAddrIn(rnd *rand.Rand, p netip.Prefix) netip.Addr {
	raw := p.Addr().AsSlice()
	for i := range raw {
		host := byte(rnd.Uint32())
		switch {
		case (i+1)*8 <= p.Bits():
			host = 0
		case i*8 < p.Bits():
			host >>= p.Bits() - i*8
		}
		raw[i] |= host
	}
	addr, _ := netip.AddrFromSlice(raw)
	return addr
}
