// Package shift decides which requests a traffic shift moves to another region.
//
// Each host counts its own stream of requests and keeps moved <= cap * total at
// every prefix of it. The sums over all hosts then keep the same bound at every
// moment, without a message between hosts. A restarted host begins at zero.
package shift

import (
	"slices"
	"strings"
	"sync"
	"time"

	"quetzalknot/version/config"
)

const (
	// whole is a share of 1 in millionths. Counting in whole numbers keeps the cap exact.
	whole = 1_000_000
	// burst is how many moves a host may save up, so that the blocks that belong to
	// the moved share stay moved when their requests come in groups.
	burst = 16
)

// Question is what a decision rests on.
type Question struct {
	// Shifts are the shifts of the service in force.
	Shifts []*config.Shift
	// Region is where the request goes without a shift.
	Region string
	// Block is a hash of the caller's client block, even over all 64 bits.
	Block uint64
	Now   time.Time
	// Fresh is false when this host may not know the newest tickets. No share grows then.
	Fresh bool
}

// Decision is the outcome for one request.
type Decision struct {
	// Region is where the request goes.
	Region string
	// Shift names the shift that moved the request, or that would have moved it.
	Shift string
	// Held is true when the shift's cap kept the request where it was.
	Held bool
}

// Mover counts the streams of all shifts on one host. It is safe for concurrent use.
type Mover struct {
	mu      sync.Mutex
	streams map[string]*stream
}

// stream counts the requests of one shift under one ticket.
type stream struct {
	shift config.Shift
	// began is when growth starts that the ticket gives no time for.
	began time.Time
	total uint64
	moved uint64
	// credit is how much may be moved now, in millionths of a request.
	credit uint64
	// limit is the share that applied last, in millionths.
	limit uint64
}

// NewMover returns a Mover without counts.
func NewMover() *Mover { return &Mover{streams: make(map[string]*stream)} }

// Retain forgets the counts of all shifts but those in force.
func (m *Mover) Retain(shifts map[string][]*config.Shift) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := make(map[string]*stream, len(m.streams))
	for _, list := range shifts {
		for _, s := range list {
			if st := m.streams[s.Name]; st != nil {
				kept[s.Name] = st
			}
		}
	}
	m.streams = kept
}

// Decide counts one request and says where it goes. At most one shift moves it.
// Of several shifts between the same two regions only the one with the smallest cap
// applies, so that the cap of each of them holds.
func (m *Mover) Decide(q Question) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	point := uint64(float64(q.Block>>11) / (1 << 53) * whole)
	decision := Decision{Region: q.Region}
	var below uint64
	for _, s := range applicable(q) {
		st := m.stream(s, q.Now)
		st.count(q)
		if point >= below && point < below+st.limit {
			decision = st.move(decision)
		}
		below += st.limit
	}
	return decision
}

// applicable returns the shifts that may move the request, in order of name.
func applicable(q Question) []*config.Shift {
	var found []*config.Shift
	for _, s := range q.Shifts {
		ended := !s.End.IsZero() && !q.Now.Before(s.End)
		if s.From == q.Region && !ended && !q.Now.Before(s.Start) {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b *config.Shift) int {
		switch {
		case a.Cap < b.Cap:
			return -1
		case a.Cap > b.Cap:
			return 1
		default:
			return strings.Compare(a.Name, b.Name)
		}
	})
	kept := found[:0]
	for _, s := range found {
		if !slices.ContainsFunc(kept, func(k *config.Shift) bool { return k.To == s.To }) {
			kept = append(kept, s)
		}
	}
	slices.SortFunc(kept, func(a, b *config.Shift) int { return strings.Compare(a.Name, b.Name) })
	return kept
}

// stream returns the counts of a shift. They start anew when a ticket changed it.
func (m *Mover) stream(s *config.Shift, now time.Time) *stream {
	st := m.streams[s.Name]
	if st == nil || st.shift != *s {
		st = &stream{shift: *s, began: now}
		if !s.Start.IsZero() {
			st.began = s.Start
		}
		m.streams[s.Name] = st
	}
	return st
}

// count adds one request to the stream and earns a share of a move.
func (st *stream) count(q Question) {
	limit := millionths(min(st.shift.Share, st.shift.Cap))
	if st.shift.RatePerSecond > 0 {
		grown := st.shift.RatePerSecond * q.Now.Sub(st.began).Seconds()
		limit = min(limit, millionths(grown))
	}
	if !q.Fresh {
		limit = min(limit, st.limit)
	}
	st.limit = limit
	st.total++
	st.credit = min(burst*whole, st.credit+limit)
}

// millionths rounds a share down, so that it never grows.
func millionths(share float64) uint64 { return uint64(max(0, min(1, share)) * whole) }

func (st *stream) move(d Decision) Decision {
	d.Shift = st.shift.Name
	capped := (st.moved+1)*whole > millionths(st.shift.Cap)*st.total
	if st.credit < whole || capped {
		d.Held = true
		return d
	}
	st.credit -= whole
	st.moved++
	d.Region = st.shift.To
	return d
}
