// Package membership knows which entry hosts are part of the system.
//
// Each process has a row in the table service with its address, failure domain,
// incarnation and lease.
package membership

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
)

const (
	hostPrefix = "host/"
	// pageRows is how many rows one read asks for.
	pageRows = 1000
)

// Member is one entry host's process.
type Member struct {
	Host string `json:"host"`
	// Incarnation tells a process from the earlier ones on the same host.
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// ForwardAddr takes callers' requests, APIAddr look-ups, PeerAddr calls of other hosts.
	ForwardAddr string `json:"forward_addr"`
	APIAddr     string `json:"api_addr"`
	PeerAddr    string `json:"peer_addr"`
	// Leaving is true once the process has begun to stop.
	Leaving bool `json:"leaving,omitempty"`
	// LeaseUntil is when the row lapses unless it is renewed.
	LeaseUntil time.Time `json:"lease_until"`
}

// Members holds the known members. It is safe for concurrent use.
type Members struct {
	table platform.Table

	mu    sync.RWMutex
	known map[string]Member
}

// New returns an empty membership over the table service.
func New(table platform.Table) *Members {
	return &Members{table: table, known: make(map[string]Member)}
}

// Announce writes the row of this process.
func (m *Members) Announce(ctx context.Context, self Member) error {
	data, err := json.Marshal(self)
	if err != nil {
		return err
	}
	_, err = m.table.Commit(ctx, nil, []platform.Write{{Key: hostPrefix + self.Host, Value: data}})
	return errors.Wrap(err, "announce")
}

// Refresh reads the rows of all processes and drops those whose lease lapsed before now.
func (m *Members) Refresh(ctx context.Context, now time.Time) error {
	page, err := m.table.Changes(ctx, hostPrefix, 0, pageRows)
	if err != nil {
		return errors.Wrap(err, "read members")
	}
	known := make(map[string]Member, len(page.Rows))
	for _, row := range page.Rows {
		var member Member
		if err := json.Unmarshal(row.Value, &member); err != nil {
			return errors.Wrapf(err, "row %s", row.Key)
		}
		if member.LeaseUntil.After(now) {
			known[member.Host] = member
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known = known
	return nil
}

// Find returns a member by its host, also one that is about to stop.
func (m *Members) Find(host string) (Member, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	member, ok := m.known[host]
	return member, ok
}

// Live returns the members that take new work, in order of name.
func (m *Members) Live() []Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	live := make([]Member, 0, len(m.known))
	for _, member := range m.known {
		if !member.Leaving {
			live = append(live, member)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Host < live[j].Host })
	return live
}
