package entry

import (
	"sync/atomic"

	"quetzalknot/platform/adapter"
	"quetzalknot/process/mirror"
)

// takenTables records which tables this host has taken over since its start: their records are applied,
// and what their source says of the store is known.
type takenTables map[string]*atomic.Bool

func newTakenTables() takenTables {
	t := make(takenTables)
	for _, name := range adapter.Tables() {
		t[name] = new(atomic.Bool)
	}
	return t
}

// add records that a table was taken over.
func (t takenTables) add(table string) {
	if taken, ok := t[table]; ok {
		taken.Store(true)
	}
}

// all reports whether all tables were taken over.
func (t takenTables) all() bool {
	for _, taken := range t {
		if !taken.Load() {
			return false
		}
	}
	return true
}

// has reports whether a table was taken over.
func (t takenTables) has(table string) bool {
	taken, ok := t[table]
	return ok && taken.Load()
}

// applyPulled applies records that were pulled from a partner.
func (h *Host) applyPulled(d mirror.Delta) {
	if h.apply(d) && !h.taken.has(d.Table) {
		h.tableTaken(d.Table)
	}
}

// tableTaken records that a table was taken over. The limit of the requests is set or lifted
// before that, so that a host does not count as ready with the limit that held without tables.
func (h *Host) tableTaken(table string) {
	h.limitSendRate()
	h.taken.add(table)
}
