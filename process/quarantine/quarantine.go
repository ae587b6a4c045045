// Package quarantine knows the requests that crash the targets that run them.
//
// Every request that was in flight on a target that crashed becomes a suspect. A
// suspect that ends well is cleared; one that is in flight at a second crash is
// quarantined, on every host that learns of both crashes. Suspicion and
// quarantine lapse by themselves. Marks are merged without regard to order,
// repetition or source, so that any exchange between hosts may carry them.
package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// crashLimit is how many crashes quarantine a request.
	crashLimit = 2
	// markTime is how long a crash counts.
	markTime = 10 * time.Minute
	// sameCrashTime is how far apart two hosts may see one crash of a target.
	sameCrashTime = time.Second
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

// Crash is one crash of a target with the request in flight.
type Crash struct {
	Target string
	// AtMS is the time in milliseconds since 1970.
	AtMS int64
}

// Mark is what is known of one request.
type Mark struct {
	Fingerprint uint64
	// Crashes has at most two entries, oldest first.
	Crashes []Crash
	// ClearedMS is when a suspect last ended well; earlier crashes do not count.
	ClearedMS int64
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

// Crashed notes that a target crashed with the request in flight, and returns the
// request's new state.
func (l *List) Crashed(fingerprint uint64, target string) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	crash := Crash{Target: target, AtMS: l.now().UnixMilli()}
	l.merge(Mark{Fingerprint: fingerprint, Crashes: []Crash{crash}})
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
	oldest := max(r.ClearedMS, l.now().Add(-markTime).UnixMilli())
	count := 0
	for _, c := range r.Crashes {
		if c.AtMS >= oldest {
			count++
		}
	}
	switch {
	case count >= crashLimit:
		return Quarantined
	case count > 0:
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
	changed := false
	if m.ClearedMS > r.ClearedMS && l.state(m.Fingerprint) != Quarantined {
		r.ClearedMS = m.ClearedMS
		changed = true
	}
	for _, c := range m.Crashes {
		changed = r.add(c) || changed
	}
	if changed {
		l.seq++
		r.seq = l.seq
	}
	return changed
}

// add keeps the two newest crashes, and reports whether c was new.
func (r *record) add(c Crash) bool {
	for _, known := range r.Crashes {
		apart := time.Duration(known.AtMS-c.AtMS) * time.Millisecond
		if known.Target == c.Target && apart.Abs() < sameCrashTime {
			return false
		}
	}
	if len(r.Crashes) == crashLimit && c.AtMS < r.Crashes[0].AtMS {
		return false
	}
	r.Crashes = append(r.Crashes, c)
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return int(a.AtMS - b.AtMS) })
	if len(r.Crashes) > crashLimit {
		r.Crashes = slices.Delete(r.Crashes, 0, 1)
	}
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
		marks[i].Crashes = slices.Clone(r.Crashes)
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
