// Package state merges accepted tickets into the state of a node.
//
// The state is a map from object to the state given by the largest ticket that
// touches it. Merging is commutative, associative and idempotent, so the order,
// repetition and source of deliveries do not matter, and no object steps back.
package state

import (
	"encoding/json"
	"time"
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

// Record is an accepted ticket. It is the unit of storage and of delivery, so
// that a node always takes in a ticket as a whole.
type Record struct {
	Number     uint64    `json:"number"`
	Operator   string    `json:"operator"`
	Note       string    `json:"note,omitempty"`
	AcceptedAt time.Time `json:"accepted_at"`
	// Content is the hexadecimal SHA-256 of the ticket's objects; it tells a
	// repeated submission from another ticket with the same number.
	Content string   `json:"content"`
	Objects []Object `json:"objects"`
}

// State is the merged state of a node. It is not safe for concurrent use.
type State struct {
	winners map[Key]uint64
	records map[uint64]Record
}

// New returns an empty state.
func New() *State {
	return &State{winners: make(map[Key]uint64), records: make(map[uint64]Record)}
}

// Merge takes in whole tickets and reports whether any object changed.
func (s *State) Merge(records ...Record) bool {
	changed := false
	for _, r := range records {
		if s.mergeOne(r) {
			changed = true
		}
	}
	return changed
}

func (s *State) mergeOne(r Record) bool {
	if _, known := s.records[r.Number]; known {
		return false
	}
	won := false
	for _, o := range r.Objects {
		if r.Number > s.winners[o.Key] {
			s.winners[o.Key] = r.Number
			won = true
		}
	}
	s.records[r.Number] = r
	return won
}

// Ticket returns the number of the ticket in force for an object, or 0.
func (s *State) Ticket(k Key) uint64 { return s.winners[k] }

// Newest returns the largest ticket number known, or 0.
func (s *State) Newest() uint64 {
	var newest uint64
	for n := range s.records {
		newest = max(newest, n)
	}
	return newest
}

// Record returns one accepted ticket.
func (s *State) Record(number uint64) (Record, bool) {
	r, ok := s.records[number]
	return r, ok
}

// Each calls f for every object in force that is not removed.
func (s *State) Each(f func(ticket uint64, o Object)) {
	for k, n := range s.winners {
		for _, o := range s.records[n].Objects {
			if o.Key == k && !o.Removed {
				f(n, o)
			}
		}
	}
}
