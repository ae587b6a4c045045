package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/process/mirror"
	"quetzalknot/process/partner"
)

// maxStaleReports bounds the reports that are kept.
const maxStaleReports = 4096

// staleReports holds, by target, the position of the report in a restored store that came from its copy
// although the target had left. This very report does not count; one that is written later does, also
// with the same content.
type staleReports struct {
	mu        sync.Mutex
	positions map[string]mirror.Position
}

func newStaleReports() *staleReports {
	return &staleReports{positions: make(map[string]mirror.Position)}
}

// add adds the report of a target at a position and returns whether it is new. One of an earlier position
// than the known one is not added.
func (s *staleReports) add(target string, at mirror.Position) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.positions[target]
	if ok && !known.Lacks(at) || !ok && len(s.positions) >= maxStaleReports {
		return false
	}
	s.positions[target] = at
	return true
}

// contains reports whether the report of a target at a position is stale.
func (s *staleReports) contains(target string, at mirror.Position) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.positions[target]
	return ok && known == at
}

// replace forgets the stale report of a target that has one at a later position.
func (s *staleReports) replace(target string, at mirror.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.positions[target]; ok && known.Lacks(at) {
		delete(s.positions, target)
	}
}

// enterEra forgets the reports of the eras before the given one.
func (s *staleReports) enterEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for target, at := range s.positions {
		if at.Era < era {
			delete(s.positions, target)
		}
	}
}

// all returns the reports, sorted by target.
func (s *staleReports) all() []partner.StaleRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []partner.StaleRecord
	for target, at := range s.positions {
		all = append(all, partner.StaleRecord{Key: target, Era: at.Era, Revision: at.Revision})
	}
	slices.SortFunc(all, func(a, b partner.StaleRecord) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// ignoreStale drops the targets whose reports a partner knows to be stale, unless they have written again.
func (h *Host) ignoreStale(reports []partner.StaleRecord) {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	era := h.mirror.Position(adapter.TargetTable).Era
	for _, r := range reports {
		if r.Era >= era {
			h.stale.add(r.Key, mirror.Position{Era: r.Era, Revision: r.Revision})
		}
	}
	h.removeStale(time.Now())
}

// removeStale removes the targets whose present reports are stale. applyMu must be held.
func (h *Host) removeStale(now time.Time) {
	era := h.mirror.Position(adapter.TargetTable).Era
	for _, r := range h.stale.all() {
		if known, ok := h.mirror.Get(adapter.TargetTable, r.Key); ok && r.Era == era && known.Revision == r.Revision {
			h.fleet.Remove(r.Key, now, 0)
		}
	}
}
