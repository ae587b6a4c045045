// Package mirror keeps this host's replica of the platform's tables that control routing.
//
// Records are merged by revision: a record replaces only an older one of the same key, so
// the order, repetition and source of updates do not matter. Updates from the store's
// change feed, from full reads and from other hosts are all merged by the same method.
//
// A store that is restored from a copy starts a new era and gives out again the revisions
// after the copy's. So revisions are compared within one era only. A replica enters a later
// era with a snapshot of the full table, and then ignores what comes from earlier eras.
package mirror

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
)

// maxTombstones bounds the removed keys kept per table, from which other hosts get the
// removals.
const maxTombstones = 2000

// Record is one row of a table.
type Record struct {
	Key string
	// Revision is the store's version of the row; larger is newer.
	Revision uint64
	// Value is the row's content in the platform's encoding. It must not be modified.
	Value []byte
	// Removed marks a tombstone: the row was removed at Revision.
	Removed bool
}

// Position is the point in the history of a table up to which a replica is complete. Era 0 is
// unknown.
type Position struct{ Era, Revision uint64 }

// Lacks reports whether a replica at p may lack records that a replica at q has. A replica whose
// own era is unknown lacks those of a known one. If only q's era is unknown, it is taken to be p's.
func (p Position) Lacks(q Position) bool {
	if q.Era == 0 || p.Era == q.Era {
		return p.Revision < q.Revision
	}
	return p.Era < q.Era
}

// Delta is a set of records of one table, to be applied to a replica.
type Delta struct {
	Table   string
	Records []Record
	// Era is the store's era in which the records were read; 0 means unknown.
	Era uint64
	// UpTo is the revision up to which the replica is complete once the delta is applied.
	UpTo uint64
	// Whole says that Records is a snapshot of the full table, so that other keys are
	// removed.
	Whole bool
}

// Size returns the size of the records' values in bytes.
func (d Delta) Size() int {
	size := 0
	for _, r := range d.Records {
		size += len(r.Value)
	}
	return size
}

// Mirror is a replica of some tables. It is safe for concurrent use.
type Mirror struct {
	mu     sync.Mutex
	tables map[string]*table
}

type table struct {
	records map[string]Record
	// newest is the largest revision of a record that was ever put in this era.
	newest     uint64
	tombstones int
	era        uint64
	upTo       uint64
	// prunedUpTo is the largest revision of which tombstones may be missing: of a pruned one, or
	// of the last snapshot, which has none. A replica that is older needs a snapshot.
	prunedUpTo uint64
}

// New returns a mirror without records.
func New() *Mirror { return &Mirror{tables: make(map[string]*table)} }

// table returns a table and creates it when it is new. The lock must be held.
func (m *Mirror) table(name string) *table {
	t := m.tables[name]
	if t == nil {
		t = &table{records: make(map[string]Record)}
		m.tables[name] = t
	}
	return t
}

// Revision returns the revision up to which a table is complete; 0 means that it is not
// known to be complete up to any revision.
func (m *Mirror) Revision(name string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table(name).upTo
}

// Position returns the era of a table and the revision up to which it is complete.
func (m *Mirror) Position(name string) Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.table(name)
	return Position{Era: t.era, Revision: t.upTo}
}

// Progress returns the position of a table and the largest revision at which this replica may have
// changed. A complete replica of the same era at that revision or a later one lacks nothing that
// this one has.
func (m *Mirror) Progress(name string) (p Position, lastChange uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.table(name)
	return Position{Era: t.era, Revision: t.upTo}, max(t.newest, t.prunedUpTo)
}

// Change is what a delta has changed.
type Change struct {
	// Records are the records that changed, sorted by revision.
	Records []Record
	// Restored is true if the delta started a later era, so that Records are the differences
	// between what was known and the restored store.
	Restored bool
	// Refused is true if the delta is of an earlier or unknown era, or of a later one without
	// being a snapshot.
	Refused bool
}

// Apply merges a delta and returns what changed. Newer records in the mirror stay, and a
// snapshot older than the mirror is ignored. Of a later era only a snapshot is accepted, and
// nothing of an unknown era once the table's era is known.
func (m *Mirror) Apply(d Delta) Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.table(d.Table)
	switch {
	case t.era == 0 && t.upTo == 0 && len(t.records) == 0:
		t.era = d.Era
	case d.Era < t.era || (d.Era > t.era && !d.Whole):
		return Change{Refused: true}
	case d.Era > t.era:
		return Change{Records: t.enterEra(d), Restored: true}
	}
	return Change{Records: t.merge(d)}
}

// enterEra replaces the table by a snapshot of a later era and returns the differences.
func (t *table) enterEra(d Delta) []Record {
	known := t.records
	*t = table{records: make(map[string]Record, len(d.Records)), era: d.Era, upTo: d.UpTo, prunedUpTo: d.UpTo}
	var changed []Record
	for _, r := range d.Records {
		t.records[r.Key] = r
		t.newest = max(t.newest, r.Revision)
		if old, ok := known[r.Key]; !ok || old.Removed || !bytes.Equal(old.Value, r.Value) {
			changed = append(changed, r)
		}
	}
	for key, old := range known {
		if _, ok := t.records[key]; !ok && !old.Removed {
			changed = append(changed, Record{Key: key, Revision: d.UpTo, Removed: true})
		}
	}
	sortByRevision(changed)
	return changed
}

// merge merges a delta of the table's era.
func (t *table) merge(d Delta) []Record {
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
		t.prunedUpTo = max(t.prunedUpTo, d.UpTo)
	}
	t.upTo = max(t.upTo, d.UpTo)
	t.pruneTombstones()
	sortByRevision(changed)
	return changed
}

func sortByRevision(records []Record) {
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
}

// put stores a record unless the known one is at least as new. It reports whether the
// table's visible rows changed.
func (t *table) put(r Record) bool {
	known, ok := t.records[r.Key]
	if ok && known.Revision >= r.Revision {
		return false
	}
	if ok && known.Removed {
		t.tombstones--
	}
	if r.Removed {
		r.Value = nil
		t.tombstones++
	}
	t.records[r.Key] = r
	t.newest = max(t.newest, r.Revision)
	return !r.Removed || (ok && !known.Removed)
}

// removeMissing removes the rows that are not in a snapshot and not newer than it.
func (t *table) removeMissing(d Delta) []Record {
	present := make(map[string]bool, len(d.Records))
	for _, r := range d.Records {
		present[r.Key] = true
	}
	var removed []Record
	for key, known := range t.records {
		if present[key] || known.Removed || known.Revision > d.UpTo {
			continue
		}
		r := Record{Key: key, Revision: max(d.UpTo, known.Revision+1), Removed: true}
		t.put(r)
		removed = append(removed, r)
	}
	return removed
}

// pruneTombstones removes the oldest tombstones when there are more than maxTombstones. It
// keeps only maxTombstones/2 of them, so that pruning is rare.
func (t *table) pruneTombstones() {
	if t.tombstones <= maxTombstones {
		return
	}
	var removed []Record
	for _, r := range t.records {
		if r.Removed {
			removed = append(removed, r)
		}
	}
	slices.SortFunc(removed, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, r := range removed[:len(removed)-maxTombstones/2] {
		delete(t.records, r.Key)
		t.tombstones--
		t.prunedUpTo = max(t.prunedUpTo, r.Revision)
	}
}

// DeltaSince returns the records that a replica at the given position lacks: newer records,
// or a snapshot if the replica is empty or of an earlier or unknown era, or if tombstones that it
// needs were pruned.
func (m *Mirror) DeltaSince(name string, after Position) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.table(name)
	revision := after.Revision
	if after.Era < t.era {
		revision = 0
	}
	d := Delta{Table: name, Era: t.era, UpTo: t.upTo, Whole: revision < t.prunedUpTo || revision == 0}
	for _, r := range t.records {
		if d.Whole && !r.Removed || !d.Whole && r.Revision > revision {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// Get returns the record of a key. It returns false if the key is unknown or removed.
func (m *Mirror) Get(name, key string) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.table(name).records[key]
	return r, ok && !r.Removed
}

// Large returns the records of a table that are not removed and whose values have a number of bytes or more, sorted by key.
func (m *Mirror) Large(name string, bytes int) []Record {
	return slices.DeleteFunc(m.All(name), func(r Record) bool { return len(r.Value) < bytes })
}

// All returns the records of a table that are not removed, sorted by key.
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
