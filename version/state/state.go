// Package state merges accepted tickets into the state of a host.
//
// The state maps each object to the value set by the largest ticket number that changes
// it. Merging is commutative, associative and idempotent, so the order, repetition and
// source of deliveries do not matter, and no object reverts to an older value.
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

// Kinds of objects.
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

// String returns the key in the form kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is the complete state that one ticket sets for one object.
type Object struct {
	Key
	// Removed is true if the ticket removes the object.
	Removed bool `json:"removed,omitempty"`
	// Body is the JSON encoding of a type of package config; empty if removed.
	Body json.RawMessage `json:"body,omitempty"`
}

// Previous identifies the ticket that was in force for an object before another one
// changed it.
type Previous struct {
	Key
	// Ticket is 0 if the object did not exist.
	Ticket uint64 `json:"ticket"`
}

// Record is an accepted ticket. It is the unit of storage and of delivery, so that a
// host always merges a ticket atomically.
type Record struct {
	Number     uint64    `json:"number"`
	Operator   string    `json:"operator"`
	Note       string    `json:"note,omitempty"`
	AcceptedAt time.Time `json:"accepted_at"`
	// Content is the hexadecimal SHA-256 of the operator's input. It distinguishes a
	// repeated submission from a different ticket with the same number.
	Content string   `json:"content"`
	Objects []Object `json:"objects"`
	// Previous lists the previous ticket of each object, in the order of Objects.
	Previous []Previous `json:"previous,omitempty"`
}

// State is the merged state of a host. It is safe for concurrent use.
type State struct {
	mu sync.RWMutex
	// winners maps each object to the largest ticket number that changes it.
	winners map[Key]uint64
	// live holds the tickets that are in force for at least one object.
	live map[uint64]*liveRecord
	// fallbacks holds the last decodable state of objects whose newest state cannot be
	// decoded.
	fallbacks map[Key]fallbackObject
	newest    uint64
	sum       uint64
}

type liveRecord struct {
	Record
	// refs is the number of objects for which the ticket is in force.
	refs int
	// decodeErr is set if an object of the ticket cannot be decoded.
	decodeErr error
}

type fallbackObject struct {
	ticket uint64
	object Object
}

// New returns an empty state.
func New() *State {
	return &State{
		winners:   make(map[Key]uint64),
		live:      make(map[uint64]*liveRecord),
		fallbacks: make(map[Key]fallbackObject),
	}
}

// Merge merges tickets and reports whether any object changed. Tickets that are no
// longer in force for any object are dropped.
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
	added := &liveRecord{Record: r, decodeErr: checkDecodable(r)}
	for _, o := range r.Objects {
		if r.Number > s.winners[o.Key] {
			s.supersede(o.Key, added)
		}
	}
	if added.refs == 0 {
		return false
	}
	s.live[r.Number] = added
	s.sum ^= recordHash(r)
	return true
}

// supersede makes a ticket the one in force for an object and drops the previous
// ticket if it is not in force for any other object.
func (s *State) supersede(k Key, by *liveRecord) {
	previous := s.live[s.winners[k]]
	s.winners[k] = by.Number
	by.refs++
	if by.decodeErr == nil {
		delete(s.fallbacks, k)
	}
	if previous == nil {
		return
	}
	if by.decodeErr != nil && previous.decodeErr == nil {
		s.fallbacks[k] = fallbackObject{ticket: previous.Number, object: previous.object(k)}
	}
	previous.refs--
	if previous.refs == 0 {
		delete(s.live, previous.Number)
		s.sum ^= recordHash(previous.Record)
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

// recordHash is the hash of one ticket; the sum of the state is the XOR of these.
func recordHash(r Record) uint64 {
	return xxhash.Sum64String(r.Content + strconv.FormatUint(r.Number, 10))
}

// Sum returns a hash of the tickets in force. Equal states have equal sums.
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

// Newest returns the largest ticket number that was merged, or 0.
func (s *State) Newest() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.newest
}

// Record returns a ticket if it is in force for at least one object.
func (s *State) Record(number uint64) (Record, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if r := s.live[number]; r != nil {
		return r.Record, true
	}
	return Record{}, false
}

// Conflict describes an accepted ticket with which another one conflicts.
type Conflict struct {
	// Winner is the number of the accepted ticket.
	Winner uint64
	// Object is an object that both change. It is the zero Key if both have the same number
	// and the content differs.
	Object Key
}

// Conflict returns a ticket in force that has the number of r and other content, or a larger
// number for one of its objects. It returns false if there is none.
func (s *State) Conflict(r Record) (Conflict, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if same := s.live[r.Number]; same != nil {
		return Conflict{Winner: r.Number}, same.Content != r.Content
	}
	for _, o := range r.Objects {
		if s.winners[o.Key] > r.Number {
			return Conflict{Winner: s.winners[o.Key], Object: o.Key}, true
		}
	}
	return Conflict{}, false
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

// Fault describes a ticket that this host cannot put into force.
type Fault struct {
	Ticket uint64 `json:"ticket"`
	Error  string `json:"error"`
}

// Faults returns the tickets that cannot be decoded, in order of number. Their objects
// keep the last decodable state.
func (s *State) Faults() []Fault {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var faults []Fault
	for _, n := range s.numbers() {
		if err := s.live[n].decodeErr; err != nil {
			faults = append(faults, Fault{Ticket: n, Error: err.Error()})
		}
	}
	return faults
}

// Each calls f for every object in force that is not removed, in order of ticket
// number. f must not call methods of the State.
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
			if r.decodeErr != nil {
				fallback := s.fallbacks[o.Key]
				ticket, o = fallback.ticket, fallback.object
			}
			if !o.Removed && ticket > 0 {
				f(ticket, o)
			}
		}
	}
}
