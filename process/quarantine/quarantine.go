// Package quarantine detects requests that crash the targets that run them.
//
// Every request that was in flight on a target when it crashed becomes a suspect. A
// suspect that succeeds is cleared. A suspect that is sent again and is in flight when
// that target crashes is quarantined. A request that was sent before it was a suspect
// stays only a suspect when its target crashes too, so that a request which many
// callers send is not blamed for two crashes that another request caused. Suspicion
// and quarantine expire. Marks can be merged in any order, repeatedly and from any
// host, so that any message between hosts may carry them.
package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// markTTL is how long a crash keeps a request suspect or quarantined.
	markTTL = 10 * time.Minute
	// maxMarks bounds the number of marks in memory.
	maxMarks = 10_000
)

// State is the quarantine state of a request.
type State uint8

// The states of a request.
const (
	Clear State = iota
	Suspect
	Quarantined
)

// Mark is the replicated record of one request. Times are in milliseconds since the
// Unix epoch; 0 means never.
type Mark struct {
	Fingerprint uint64
	// SuspectMS is when a target last crashed with the request in flight.
	SuspectMS int64
	// CrashedMS is when a target last crashed with the request in flight that had been
	// sent as a suspect.
	CrashedMS int64
	// ClearedMS is when the request last succeeded as a suspect. It overrides an earlier
	// SuspectMS.
	ClearedMS int64
}

// merge returns the element-wise maximum of the times of two marks.
func (m Mark) merge(o Mark) Mark {
	return Mark{
		Fingerprint: m.Fingerprint, SuspectMS: max(m.SuspectMS, o.SuspectMS),
		CrashedMS: max(m.CrashedMS, o.CrashedMS), ClearedMS: max(m.ClearedMS, o.ClearedMS),
	}
}

// List holds the marks of one host. It is safe for concurrent use.
type List struct {
	now func() time.Time
	// epoch identifies the list. It is random and not 0.
	epoch uint64

	mu    sync.Mutex
	marks map[uint64]*storedMark
	// seq is the change number of the last change.
	seq uint64
}

type storedMark struct {
	Mark
	// seq is the change number of the mark's last change on this host.
	seq uint64
}

// New returns an empty list. If now is nil, it uses time.Now.
func New(now func() time.Time) *List {
	if now == nil {
		now = time.Now
	}
	return &List{now: now, epoch: rand.Uint64() | 1, marks: make(map[uint64]*storedMark)}
}

// RecordCrash records that a target crashed with the request in flight. stateAtSend is the
// state of the request when it was sent to the target. It returns the new state.
func (l *List) RecordCrash(fingerprint uint64, stateAtSend State) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now().UnixMilli()
	m := Mark{Fingerprint: fingerprint, SuspectMS: now}
	if stateAtSend != Clear {
		m.CrashedMS = now
	}
	l.merge(m)
	return l.state(fingerprint)
}

// RecordSuccess records that the request succeeded on a target. It clears a suspect; a
// quarantined request stays quarantined.
func (l *List) RecordSuccess(fingerprint uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state(fingerprint) == Suspect {
		l.merge(Mark{Fingerprint: fingerprint, ClearedMS: l.now().UnixMilli()})
	}
}

// State returns the state of the request.
func (l *List) State(fingerprint uint64) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state(fingerprint)
}

func (l *List) state(fingerprint uint64) State {
	r := l.marks[fingerprint]
	if r == nil {
		return Clear
	}
	earliest := l.now().Add(-markTTL).UnixMilli()
	switch {
	case r.CrashedMS >= earliest:
		return Quarantined
	case r.SuspectMS >= max(earliest, r.ClearedMS):
		return Suspect
	default:
		return Clear
	}
}

// Merge merges marks of another host and returns how many of them changed the list.
func (l *List) Merge(marks []Mark) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := 0
	for _, m := range marks {
		if l.merge(m) {
			changed++
		}
	}
	return changed
}

func (l *List) merge(m Mark) bool {
	r := l.marks[m.Fingerprint]
	if r == nil {
		l.evict()
		r = &storedMark{Mark: Mark{Fingerprint: m.Fingerprint}}
		l.marks[m.Fingerprint] = r
	}
	merged := r.merge(m)
	if merged == r.Mark {
		return false
	}
	l.seq++
	r.Mark, r.seq = merged, l.seq
	return true
}

// evict makes space for one mark when the list is full: it removes all expired and
// cleared marks, or if there are none, the mark whose last change is the oldest.
func (l *List) evict() {
	if len(l.marks) < maxMarks {
		return
	}
	var oldest uint64
	oldestSeq := l.seq + 1
	for fingerprint, r := range l.marks {
		if l.state(fingerprint) == Clear {
			delete(l.marks, fingerprint)
			continue
		}
		if r.seq < oldestSeq {
			oldest, oldestSeq = fingerprint, r.seq
		}
	}
	if len(l.marks) >= maxMarks {
		delete(l.marks, oldest)
	}
}

// Delta returns at most limit marks that changed after a change number, ordered from
// the oldest change, and the change number to continue from.
func (l *List) Delta(after uint64, limit int) ([]Mark, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []*storedMark
	for _, r := range l.marks {
		if r.seq > after {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *storedMark) int { return int(a.seq) - int(b.seq) })
	changed = changed[:min(limit, len(changed))]
	marks := make([]Mark, len(changed))
	for i, r := range changed {
		marks[i] = r.Mark
		after = r.seq
	}
	return marks, after
}

// QuarantinedCount returns how many requests are quarantined.
func (l *List) QuarantinedCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := int64(0)
	for fingerprint := range l.marks {
		if l.state(fingerprint) == Quarantined {
			n++
		}
	}
	return n
}
