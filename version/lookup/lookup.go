// Package lookup answers which entry hosts a caller should use.
package lookup

import (
	"net/netip"
	"sort"

	"github.com/cespare/xxhash/v2"

	"quetzalknot/version/config"
)

const (
	// DefaultTTLMS is how long callers may cache an answer, in milliseconds.
	DefaultTTLMS = 2000
	// maxEntries is how many entry hosts one answer names.
	maxEntries = 3
)

// Host is an entry host as the look-up sees it.
type Host struct {
	Name string `json:"host"`
	Addr string `json:"addr"`
	// API is the address of the host's look-up listener.
	API           string `json:"api,omitempty"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// Answer is the result of one look-up, best entry first.
type Answer struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	// TTLMS is how long the answer may be cached, in milliseconds.
	TTLMS   int    `json:"ttl_ms"`
	Entries []Host `json:"entries"`
	// KeyPrefix starts the idempotency keys that the first entry accepts.
	KeyPrefix string `json:"key_prefix"`
}

// Build returns a table of the blocks that tickets give. A malformed block, or
// one that is given twice, is a *BlockError.
func Build(blocks []config.Block) (*Table, error) {
	changes, err := Changes(blocks)
	if err != nil {
		return nil, err
	}
	return new(Table).Apply(changes)
}

// Changes returns the blocks that tickets give as changes of a table.
func Changes(blocks []config.Block) ([]Change, error) {
	changes := make([]Change, 0, len(blocks))
	for _, b := range blocks {
		p, err := ParseBlock(b.Prefix)
		if err != nil {
			return nil, err
		}
		changes = append(changes, Change{Prefix: p, Assignment: Assignment{Regions: []string{b.Region}, Entries: b.Entries}})
	}
	return changes, nil
}

// Region returns the region of the longest block that holds the client, or "".
func (t *Table) Region(client netip.Addr) string {
	a, ok := t.Lookup(client)
	if !ok || len(a.Regions) == 0 {
		return ""
	}
	return a.Regions[0]
}

// Order returns the entries for a client: hosts of its region first, each group
// in rendezvous order of the client's address, and always a second failure
// domain when there is one.
func Order(hosts []Host, region string, client netip.Addr) []Host {
	ordered := append([]Host(nil), hosts...)
	key := client.String()
	sort.SliceStable(ordered, func(i, j int) bool {
		a, b := ordered[i], ordered[j]
		if (a.Region == region) != (b.Region == region) {
			return a.Region == region
		}
		return xxhash.Sum64String(key+a.Name) > xxhash.Sum64String(key+b.Name)
	})
	return withSecondDomain(ordered)
}

func withSecondDomain(ordered []Host) []Host {
	if len(ordered) <= 1 {
		return ordered
	}
	for i := 1; i < len(ordered); i++ {
		if ordered[i].FailureDomain != ordered[0].FailureDomain {
			ordered[1], ordered[i] = ordered[i], ordered[1]
			break
		}
	}
	return ordered[:min(maxEntries, len(ordered))]
}
