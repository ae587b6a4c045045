// Package share divides resources among all entry hosts without coordination: each host
// computes its share from the list of live hosts that it reads anyway.
//
// The shares never overlap. A host uses its share only while its list is at most ViewTerm
// old and it has itself been listed for Handover, and it goes on counting a host that left
// the list for Handover. So of any two hosts that use their shares, each counts the other.
// This requires that the lists contain every host that has been listed for Handover and
// whose own list is at most ViewTerm old.
package share

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ViewTerm is the age up to which a host's list of live hosts is valid.
	ViewTerm = 15 * time.Second
	// Handover is how long a host must be listed before it uses a share, and how long it
	// is counted after it left the list.
	Handover = 2 * ViewTerm
)

// Host is one process of an entry host.
type Host struct {
	// Name is unique per process, so a restarted host has another name.
	Name   string
	Region string
}

// View is the set of live hosts as one host knows it. It is safe for concurrent use.
type View struct {
	mu   sync.Mutex
	self string
	// newestAt is when the newest list was read.
	newestAt time.Time
	// listedSince is the time since which every list has contained this host; zero if the
	// last one did not. It starts anew when more than ViewTerm passes between two lists.
	listedSince time.Time
	// lastSeen holds when each host was last listed.
	lastSeen   map[Host]time.Time
	generation uint64
}

// NewView returns the view of a host that has read no list yet.
func NewView() *View { return &View{lastSeen: make(map[Host]time.Time)} }

// Observe records a list of live hosts that the host self read at now.
func (v *View) Observe(now time.Time, self string, live []Host) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self = self
	if v.newestAt.IsZero() || now.Sub(v.newestAt) > ViewTerm {
		v.listedSince = time.Time{}
	}
	v.newestAt = now
	listed := false
	for _, h := range live {
		listed = listed || h.Name == v.self
		if _, known := v.lastSeen[h]; !known {
			v.generation++
		}
		v.lastSeen[h] = now
	}
	v.expireHosts(now)
	if !listed {
		v.listedSince = time.Time{}
		return
	}
	if v.listedSince.IsZero() {
		v.listedSince = now
	}
}

// expireHosts removes the hosts that were last listed more than Handover ago.
func (v *View) expireHosts(now time.Time) {
	for h, seen := range v.lastSeen {
		if now.Sub(seen) > Handover {
			delete(v.lastSeen, h)
			v.generation++
		}
	}
}

// Usable reports whether this host may use its shares at now.
func (v *View) Usable(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.usable(now)
}

func (v *View) usable(now time.Time) bool {
	return !v.listedSince.IsZero() && now.Sub(v.newestAt) <= ViewTerm && now.Sub(v.listedSince) >= Handover
}

// Count returns the number of hosts in the regions, at least 1.
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

// HostCount returns the number of counted hosts.
func (v *View) HostCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.lastSeen)
}

// Generation returns a number that changes with the set of counted hosts.
func (v *View) Generation() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.generation
}

// OwnedUnits returns how many of the n units of a resource this host owns. Rendezvous
// hashing assigns each unit to exactly one host.
func (v *View) OwnedUnits(resource string, n int) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	owned := 0
	for unit := range n {
		if v.owner(resource+"/"+strconv.Itoa(unit)) == v.self {
			owned++
		}
	}
	return owned
}

// owner returns the host that owns a unit.
func (v *View) owner(unit string) string {
	var owner string
	var ownerScore uint64
	for h := range v.lastSeen {
		score := xxhash.Sum64String(unit + "@" + h.Name)
		if owner == "" || score > ownerScore || score == ownerScore && h.Name < owner {
			owner, ownerScore = h.Name, score
		}
	}
	return owner
}
