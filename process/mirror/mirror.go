// Package mirror keeps this host's copy of the platform's tables that steer traffic.
//
// A mirror moves only forward: a record replaces an older one of the same key by its
// revision, so the order, the repetition and the source of what arrives do not matter.
// The store's feed, whole reads and other hosts all go through the same two methods.
package mirror

import (
	"cmp"
	"slices"
	"sync"
)

// tombstoneLimit is how many removed keys of a table are remembered, so that another
// host can be told of their removal.
const tombstoneLimit = 2000

// Record is one row of a table.
type Record struct {
	Key string
	// Revision is the store's version of the row; larger is newer.
	Revision uint64
	// Value is the row's content in the platform's encoding. It is not changed.
	Value []byte
	// Removed marks a row that was removed at Revision.
	Removed bool
}

// Delta is a part of a table on its way to another host.
type Delta struct {
	Table   string
	Records []Record
	// UpTo is the revision up to which the receiver is complete after this delta.
	UpTo uint64
	// Whole says that Records is the whole table, so that other keys are removed.
	Whole bool
}

// Mirror is the copy of some tables. It is safe for concurrent use.
type Mirror struct {
	mu     sync.Mutex
	tables map[string]*table
}

type table struct {
	records map[string]Record
	removed int
	upTo    uint64
	// horizon is the largest revision of a forgotten removal; an older receiver needs
	// the whole table.
	horizon uint64
}

// New returns a mirror without records.
func New() *Mirror { return &Mirror{tables: make(map[string]*table)} }

func (m *Mirror) table(name string) *table {
	t := m.tables[name]
	if t == nil {
		t = &table{records: make(map[string]Record)}
		m.tables[name] = t
	}
	return t
}

// Position returns the revision up to which a table is complete; 0 means that nothing
// is known of it.
func (m *Mirror) Position(name string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table(name).upTo
}

// Apply takes in a delta and returns the records that changed, in order of revision.
// A delta that is older than the mirror changes nothing that is newer.
func (m *Mirror) Apply(d Delta) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.table(d.Table)
	if d.Whole && d.UpTo < t.upTo {
		return nil
	}
	var changed []Record
	for _, r := range d.Records {
		if t.put(r) {
			changed = append(changed, r)
		}
	}
	if d.Whole {
		changed = append(changed, t.removeMissing(d)...)
	}
	t.upTo = max(t.upTo, d.UpTo)
	t.forget()
	slices.SortStableFunc(changed, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return changed
}

// put stores a record unless one at least as new is known.
func (t *table) put(r Record) bool {
	known, ok := t.records[r.Key]
	if ok && known.Revision >= r.Revision {
		return false
	}
	if ok && known.Removed {
		t.removed--
	}
	if r.Removed {
		r.Value = nil
		t.removed++
	}
	t.records[r.Key] = r
	return !r.Removed || (ok && !known.Removed)
}

// removeMissing removes what a whole table does not have.
func (t *table) removeMissing(d Delta) []Record {
	present := make(map[string]bool, len(d.Records))
	for _, r := range d.Records {
		present[r.Key] = true
	}
	var gone []Record
	for key, known := range t.records {
		if present[key] || known.Removed || known.Revision > d.UpTo {
			continue
		}
		r := Record{Key: key, Revision: max(d.UpTo, known.Revision+1), Removed: true}
		t.put(r)
		gone = append(gone, r)
	}
	return gone
}

// forget drops the oldest removals when there are too many.
func (t *table) forget() {
	if t.removed <= tombstoneLimit {
		return
	}
	var removed []Record
	for _, r := range t.records {
		if r.Removed {
			removed = append(removed, r)
		}
	}
	slices.SortFunc(removed, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, r := range removed[:len(removed)-tombstoneLimit/2] {
		delete(t.records, r.Key)
		t.removed--
		t.horizon = max(t.horizon, r.Revision)
	}
}

// Since returns what a host lacks that is complete up to a revision.
func (m *Mirror) Since(name string, revision uint64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.table(name)
	d := Delta{Table: name, UpTo: t.upTo, Whole: revision < t.horizon || revision == 0}
	for _, r := range t.records {
		if d.Whole && !r.Removed || !d.Whole && r.Revision > revision {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// Get returns the record of a key. It returns false for an unknown or removed one.
func (m *Mirror) Get(name, key string) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.table(name).records[key]
	return r, ok && !r.Removed
}

// All returns the records of a table that are not removed, in order of key.
func (m *Mirror) All(name string) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Record
	for _, r := range m.table(name).records {
		if !r.Removed {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return all
}
