// Package share divides what belongs to all entry hosts among them without a
// message: each host works out its part from the list of live hosts that it reads
// anyway.
//
// The parts never overlap. A host uses a part only while its list is at most
// ViewTerm old and it has itself been listed for Handover, and it goes on counting a
// host that left the list for Handover. Of two hosts that use their parts, each
// thus counts the other. It rests on lists that contain every host that has been
// listed for Handover and whose list is not older than ViewTerm.
package share

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ViewTerm is how old a host's list of live hosts may be for its part to count.
	ViewTerm = 15 * time.Second
	// Handover is how long a host is listed before it uses a part, and how long it is
	// counted after it left the list.
	Handover = 2 * ViewTerm
)

// Host is one entry host's process.
type Host struct {
	// Name tells processes apart, also two of the same host.
	Name   string
	Region string
}

// View is one host's view of all hosts. It is safe for concurrent use.
type View struct {
	mu   sync.Mutex
	self string
	// at is when the newest list was read.
	at time.Time
	// listedSince is when this host began to be in every list.
	listedSince time.Time
	// lastSeen holds when each host was last listed.
	lastSeen   map[Host]time.Time
	generation uint64
}

// NewView returns the view of a host that has read no list yet.
func NewView() *View { return &View{lastSeen: make(map[Host]time.Time)} }

// Observe takes in a list of live hosts that was read at now by the host self.
func (v *View) Observe(now time.Time, self string, live []Host) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self = self
	if v.at.IsZero() || now.Sub(v.at) > ViewTerm {
		v.listedSince = time.Time{}
	}
	v.at = now
	listed := false
	for _, h := range live {
		listed = listed || h.Name == v.self
		if _, known := v.lastSeen[h]; !known {
			v.generation++
		}
		v.lastSeen[h] = now
	}
	v.forget(now)
	if !listed {
		v.listedSince = time.Time{}
		return
	}
	if v.listedSince.IsZero() {
		v.listedSince = now
	}
}

func (v *View) forget(now time.Time) {
	for h, seen := range v.lastSeen {
		if now.Sub(seen) > Handover {
			delete(v.lastSeen, h)
			v.generation++
		}
	}
}

// Usable reports whether this host may use its parts at now.
func (v *View) Usable(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.usable(now)
}

func (v *View) usable(now time.Time) bool {
	return !v.listedSince.IsZero() && now.Sub(v.at) <= ViewTerm && now.Sub(v.listedSince) >= Handover
}

// Count returns how many hosts stand in the regions, at least 1.
func (v *View) Count(regions ...string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for h := range v.lastSeen {
		if slices.Contains(regions, h.Region) {
			n++
		}
	}
	return max(1, n)
}

// Hosts returns how many hosts are counted.
func (v *View) Hosts() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.lastSeen)
}

// Generation changes whenever the counted hosts do.
func (v *View) Generation() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.generation
}

// Owned returns how many of n numbered units of a thing are this host's, by
// rendezvous hash: each unit belongs to exactly one host.
func (v *View) Owned(thing string, n int) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	owned := 0
	for unit := range n {
		if v.owner(thing+"/"+strconv.Itoa(unit)) == v.self {
			owned++
		}
	}
	return owned
}

func (v *View) owner(unit string) string {
	var best string
	var bestRank uint64
	for h := range v.lastSeen {
		rank := xxhash.Sum64String(unit + "@" + h.Name)
		if best == "" || rank > bestRank || rank == bestRank && h.Name < best {
			best, bestRank = h.Name, rank
		}
	}
	return best
}
