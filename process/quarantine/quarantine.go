// Package quarantine knows the requests that crash the targets that run them.
//
// Every request that was in flight on a target that crashed becomes a suspect. A
// suspect that ends well is cleared; one that is run again and crashes another
// target is quarantined. A request that was already in flight at the first crash
// when a second target crashed is still only a suspect, so that a request which
// many callers send is not blamed for two crashes of another one. Suspicion and
// quarantine lapse by themselves. Marks are merged without regard to order,
// repetition or source, so that any exchange between hosts may carry them.
package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// markTime is how long a crash counts.
	markTime = 10 * time.Minute
	// marksLimit bounds the memory for marks.
	marksLimit = 10_000
)

// State is what is known of a request.
type State uint8

// The states of a request.
const (
	Clear State = iota
	Suspect
	Quarantined
)

// Mark is what is known of one request. Times are in milliseconds since 1970; 0
// means never.
type Mark struct {
	Fingerprint uint64
	// SuspectMS is when a target last crashed with the request in flight.
	SuspectMS int64
	// CrashedMS is when a target last crashed that ran the request as a suspect.
	CrashedMS int64
	// ClearedMS is when a suspect last ended well; an earlier SuspectMS does not count.
	ClearedMS int64
}

// join returns the later time of each kind.
func (m Mark) join(o Mark) Mark {
	return Mark{
		Fingerprint: m.Fingerprint, SuspectMS: max(m.SuspectMS, o.SuspectMS),
		CrashedMS: max(m.CrashedMS, o.CrashedMS), ClearedMS: max(m.ClearedMS, o.ClearedMS),
	}
}

// List holds the marks of one host. It is safe for concurrent use.
type List struct {
	now func() time.Time

	mu    sync.Mutex
	marks map[uint64]*record
	// seq counts changes.
	seq uint64
}

type record struct {
	Mark
	// seq is the change that last touched the mark here.
	seq uint64
}

// New returns an empty list. A nil now means time.Now.
func New(now func() time.Time) *List {
	if now == nil {
		now = time.Now
	}
	return &List{now: now, marks: make(map[uint64]*record)}
}

// Crashed notes that a target crashed with the request in flight. began is the
// request's state when it was sent to the target. It returns the new state.
func (l *List) Crashed(fingerprint uint64, began State) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now().UnixMilli()
	m := Mark{Fingerprint: fingerprint, SuspectMS: now}
	if began != Clear {
		m.CrashedMS = now
	}
	l.merge(m)
	return l.state(fingerprint)
}

// Succeeded notes that the request ended well on a target. It clears a suspect; a
// quarantined request stays so.
func (l *List) Succeeded(fingerprint uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state(fingerprint) == Suspect {
		l.merge(Mark{Fingerprint: fingerprint, ClearedMS: l.now().UnixMilli()})
	}
}

// State returns what is known of the request.
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
	oldest := l.now().Add(-markTime).UnixMilli()
	switch {
	case r.CrashedMS >= oldest:
		return Quarantined
	case r.SuspectMS >= max(oldest, r.ClearedMS):
		return Suspect
	default:
		return Clear
	}
}

// Merge takes in marks of another host and returns how many changed something.
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
		l.makeRoom()
		r = &record{Mark: Mark{Fingerprint: m.Fingerprint}}
		l.marks[m.Fingerprint] = r
	}
	joined := r.join(m)
	if joined == r.Mark {
		return false
	}
	l.seq++
	r.Mark, r.seq = joined, l.seq
	return true
}

// makeRoom drops marks that no longer count, or else the one that changed first.
func (l *List) makeRoom() {
	if len(l.marks) < marksLimit {
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
	if len(l.marks) >= marksLimit {
		delete(l.marks, oldest)
	}
}

// Delta returns at most limit marks that changed after a change number, oldest
// change first, and the number to continue from.
func (l *List) Delta(after uint64, limit int) ([]Mark, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []*record
	for _, r := range l.marks {
		if r.seq > after {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return int(a.seq) - int(b.seq) })
	changed = changed[:min(limit, len(changed))]
	marks := make([]Mark, len(changed))
	for i, r := range changed {
		marks[i] = r.Mark
		after = r.seq
	}
	return marks, after
}

// Count returns how many requests are quarantined.
func (l *List) Count() int64 {
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
