// Package state merges accepted tickets into the state of a node.
//
// The state is a map from object to the state given by the largest ticket that
// touches it. Merging is commutative, associative and idempotent, so the order,
// repetition and source of deliveries do not matter, and no object steps back.
package state

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a configuration object.
type Kind string

// The kinds of objects.
const (
	KindService    Kind = "service"
	KindPlacement  Kind = "placement"
	KindShift      Kind = "shift"
	KindLeaving    Kind = "leaving"
	KindBlock      Kind = "block"
	KindBlockTable Kind = "block-table"
)

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the form kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is the whole state that one ticket gives to one object.
type Object struct {
	Key
	// Removed is true when the ticket removes the object.
	Removed bool `json:"removed,omitempty"`
	// Body is the JSON form of the typed state in package config; empty when removed.
	Body json.RawMessage `json:"body,omitempty"`
}

// Previous names the ticket that gave an object its state before a ticket touched it.
type Previous struct {
	Key
	// Ticket is 0 when the object did not exist.
	Ticket uint64 `json:"ticket"`
}

// Record is an accepted ticket. It is the unit of storage and of delivery, so
// that a node always takes in a ticket as a whole.
type Record struct {
	Number     uint64    `json:"number"`
	Operator   string    `json:"operator"`
	Note       string    `json:"note,omitempty"`
	AcceptedAt time.Time `json:"accepted_at"`
	// Content is the hexadecimal SHA-256 of what the operator stated; it tells a
	// repeated submission from another ticket with the same number.
	Content string   `json:"content"`
	Objects []Object `json:"objects"`
	// Previous lists what each object was given by before, in the order of Objects.
	Previous []Previous `json:"previous,omitempty"`
}

// State is the merged state of a node. It is safe for concurrent use.
type State struct {
	mu sync.RWMutex
	// winners holds the largest ticket number that touched each object.
	winners map[Key]uint64
	// live holds the tickets that are in force for at least one object.
	live map[uint64]*liveRecord
	// held holds the last usable form of objects whose newest form cannot be decoded.
	held   map[Key]heldObject
	newest uint64
	sum    uint64
}

type liveRecord struct {
	Record
	// wins is how many objects the ticket is in force for.
	wins int
	// fault is why the ticket cannot be put into force, or nil.
	fault error
}

type heldObject struct {
	ticket uint64
	object Object
}

// New returns an empty state.
func New() *State {
	return &State{
		winners: make(map[Key]uint64),
		live:    make(map[uint64]*liveRecord),
		held:    make(map[Key]heldObject),
	}
}

// Merge takes in whole tickets and reports whether any object changed. Tickets
// that are no longer in force for any object are dropped.
func (s *State) Merge(records ...Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, r := range records {
		if s.mergeOne(r) {
			changed = true
		}
	}
	return changed
}

func (s *State) mergeOne(r Record) bool {
	s.newest = max(s.newest, r.Number)
	if s.live[r.Number] != nil {
		return false
	}
	added := &liveRecord{Record: r, fault: faultOf(r)}
	for _, o := range r.Objects {
		if r.Number > s.winners[o.Key] {
			s.supersede(o.Key, added)
		}
	}
	if added.wins == 0 {
		return false
	}
	s.live[r.Number] = added
	s.sum ^= recordSum(r)
	return true
}

// supersede makes a ticket the one in force for an object and drops the earlier
// ticket when it is in force for nothing else.
func (s *State) supersede(k Key, by *liveRecord) {
	earlier := s.live[s.winners[k]]
	s.winners[k] = by.Number
	by.wins++
	if by.fault == nil {
		delete(s.held, k)
	}
	if earlier == nil {
		return
	}
	if by.fault != nil && earlier.fault == nil {
		s.held[k] = heldObject{ticket: earlier.Number, object: earlier.object(k)}
	}
	earlier.wins--
	if earlier.wins == 0 {
		delete(s.live, earlier.Number)
		s.sum ^= recordSum(earlier.Record)
	}
}

func (r *liveRecord) object(k Key) Object {
	for _, o := range r.Objects {
		if o.Key == k {
			return o
		}
	}
	return Object{Key: k, Removed: true}
}

// recordSum is the part of one ticket in the sum of the state.
func recordSum(r Record) uint64 {
	return xxhash.Sum64String(r.Content + strconv.FormatUint(r.Number, 10))
}

// Sum is a hash of the tickets in force. Equal states have equal sums.
func (s *State) Sum() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sum
}

// Ticket returns the number of the ticket in force for an object, or 0.
func (s *State) Ticket(k Key) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.winners[k]
}

// Newest returns the largest ticket number known, or 0.
func (s *State) Newest() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.newest
}

// Record returns one ticket that is in force for at least one object.
func (s *State) Record(number uint64) (Record, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if r := s.live[number]; r != nil {
		return r.Record, true
	}
	return Record{}, false
}

// Numbers returns the numbers of the tickets in force, in increasing order.
func (s *State) Numbers() []uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.numbers()
}

func (s *State) numbers() []uint64 {
	return slices.Sorted(maps.Keys(s.live))
}

// Fault is a ticket that cannot be put into force on this node.
type Fault struct {
	Ticket uint64 `json:"ticket"`
	Error  string `json:"error"`
}

// Faults lists the tickets whose objects cannot be decoded, in order of number.
// Their objects keep the last usable form.
func (s *State) Faults() []Fault {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var faults []Fault
	for _, n := range s.numbers() {
		if err := s.live[n].fault; err != nil {
			faults = append(faults, Fault{Ticket: n, Error: err.Error()})
		}
	}
	return faults
}

// Each calls f for every object in force that is not removed, in order of ticket
// number. f must not call the state.
func (s *State) Each(f func(ticket uint64, o Object)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, n := range s.numbers() {
		r := s.live[n]
		for _, o := range r.Objects {
			if s.winners[o.Key] != n {
				continue
			}
			ticket := n
			if r.fault != nil {
				held := s.held[o.Key]
				ticket, o = held.ticket, held.object
			}
			if !o.Removed && ticket > 0 {
				f(ticket, o)
			}
		}
	}
}
