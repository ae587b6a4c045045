// Package lookup chooses the entry hosts that a caller should use. A Table maps client
// address blocks to regions, and a View combines it with the hosts, placements, shifts
// and weights of one configuration version.
package lookup

import (
	"net/netip"

	"quetzalknot/version/config"
)

// Host is an entry host as it appears in an answer.
type Host struct {
	Name string `json:"host"`
	Addr string `json:"addr"`
	// API is the address of the host's look-up listener.
	API           string `json:"api,omitempty"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Incarnation distinguishes the host's process from earlier ones.
	Incarnation uint64 `json:"-"`
	// KeyPrefix is the prefix of the idempotency keys that the host accepts.
	KeyPrefix string `json:"key_prefix,omitempty"`
}

// Answer is the result of one look-up, with the best entry host first.
type Answer struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	// TTLMS is how long the answer may be cached, in milliseconds.
	TTLMS   int64  `json:"ttl_ms"`
	Entries []Host `json:"entries"`
	// KeyPrefix is the prefix of the idempotency keys that the first entry host accepts.
	KeyPrefix string `json:"key_prefix"`
}

// BuildTable returns a table of the blocks in tickets. For a malformed or duplicate block
// the error is a *BlockError.
func BuildTable(blocks []config.Block) (*Table, error) {
	changes, err := ChangesOf(blocks)
	if err != nil {
		return nil, err
	}
	return new(Table).Apply(changes)
}

// ChangesOf converts the blocks in tickets to changes of a table.
func ChangesOf(blocks []config.Block) ([]Change, error) {
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

// Region returns the region of the longest block that contains the client, or "".
func (t *Table) Region(client netip.Addr) string {
	a, ok := t.Lookup(client)
	if !ok || len(a.Regions) == 0 {
		return ""
	}
	return a.Regions[0]
}
