// Package shift decides which requests a traffic shift moves to another region.
//
// Each host counts its own requests and ensures moved <= cap * total after every
// request. The same bound then always holds for the sums over all hosts, without
// communication between them. After a restart a host counts from zero.
package shift

import (
	"slices"
	"strings"
	"sync"
	"time"

	"quetzalknot/version/config"
)

const (
	// millionthsPerUnit is a share of 1 in millionths. Integer arithmetic keeps the cap
	// exact.
	millionthsPerUnit = 1_000_000
	// maxSavedMoves is the number of moves for which a host may accumulate credit. It lets
	// the blocks in the moved share stay moved when their requests arrive in bursts.
	maxSavedMoves = 16
)

// Request holds the inputs of a decision.
type Request struct {
	// Shifts are the shifts in force for the service.
	Shifts []*config.Shift
	// Region is the region of the request without a shift.
	Region string
	// Block is a hash of the caller's client block, uniformly distributed over 64 bits.
	Block uint64
	Now   time.Time
	// UpToDate is false if this host may lack the newest tickets. Shares do not grow then.
	UpToDate bool
}

// Decision is the result for one request.
type Decision struct {
	// Region is the region that the request is sent to.
	Region string
	// Shift names the shift that moved the request, or that would have moved it.
	Shift string
	// Held is true if the shift selected the request but did not move it, because its
	// cap or credit was used up.
	Held bool
}

// Decider counts the requests of all shifts on one host and decides which to move. It is
// safe for concurrent use.
type Decider struct {
	mu      sync.Mutex
	streams map[string]*stream
}

// stream holds the counts of one shift. A ticket that changes the shift starts a new one.
type stream struct {
	shift config.Shift
	// growthStart is when the share starts to grow: the start of the shift or, if it has
	// none, the first request.
	growthStart time.Time
	total       uint64
	moved       uint64
	// credit is the number of requests that may be moved now, in millionths.
	credit uint64
	// share is the share that applied to the last request, in millionths.
	share uint64
}

// NewDecider returns a Decider with no requests counted.
func NewDecider() *Decider { return &Decider{streams: make(map[string]*stream)} }

// Retain removes the counts of all shifts that are not in the given map.
func (d *Decider) Retain(shifts map[string][]*config.Shift) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := make(map[string]*stream, len(d.streams))
	for _, list := range shifts {
		for _, s := range list {
			if st := d.streams[s.Name]; st != nil {
				kept[s.Name] = st
			}
		}
	}
	d.streams = kept
}

// Decide counts one request and returns its region. At most one shift moves it. Of
// several shifts between the same two regions only the one with the smallest cap
// applies, so that none of their caps is exceeded.
func (d *Decider) Decide(req Request) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	point := uint64(float64(req.Block>>11) / (1 << 53) * millionthsPerUnit)
	decision := Decision{Region: req.Region}
	var lower uint64
	for _, s := range applicable(req) {
		st := d.stream(s, req.Now)
		st.count(req)
		if point >= lower && point < lower+st.share {
			decision = st.move(decision)
		}
		lower += st.share
	}
	return decision
}

// applicable returns the shifts that may move the request, sorted by name.
func applicable(req Request) []*config.Shift {
	var found []*config.Shift
	for _, s := range req.Shifts {
		ended := !s.End.IsZero() && !req.Now.Before(s.End)
		if s.From == req.Region && !ended && !req.Now.Before(s.Start) {
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

// stream returns the counts of a shift. They restart from zero if a ticket changed it.
func (d *Decider) stream(s *config.Shift, now time.Time) *stream {
	st := d.streams[s.Name]
	if st == nil || st.shift != *s {
		st = &stream{shift: *s, growthStart: now}
		if !s.Start.IsZero() {
			st.growthStart = s.Start
		}
		d.streams[s.Name] = st
	}
	return st
}

// count counts one request, updates the current share and adds it to the credit.
func (st *stream) count(req Request) {
	share := millionths(min(st.shift.Share, st.shift.Cap))
	if st.shift.RatePerSecond > 0 {
		grown := st.shift.RatePerSecond * req.Now.Sub(st.growthStart).Seconds()
		share = min(share, millionths(grown))
	}
	if !req.UpToDate {
		share = min(share, st.share)
	}
	st.share = share
	st.total++
	st.credit = min(maxSavedMoves*millionthsPerUnit, st.credit+share)
}

// millionths converts a share to millionths, rounding down so that a cap is never exceeded.
func millionths(share float64) uint64 { return uint64(max(0, min(1, share)) * millionthsPerUnit) }

// move moves the request if credit and cap allow it, and marks it as held otherwise.
func (st *stream) move(d Decision) Decision {
	d.Shift = st.shift.Name
	capped := (st.moved+1)*millionthsPerUnit > millionths(st.shift.Cap)*st.total
	if st.credit < millionthsPerUnit || capped {
		d.Held = true
		return d
	}
	st.credit -= millionthsPerUnit
	st.moved++
	d.Region = st.shift.To
	return d
}
