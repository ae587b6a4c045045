package state

import (
	"encoding/json"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"quetzalknot/version/config"
)

// Snapshot is one configuration version. It is immutable and is replaced atomically.
type Snapshot struct {
	// Version is the largest merged ticket number.
	Version uint64
	// Services maps names to services.
	Services map[string]*config.Service
	// Placements maps service names to placements.
	Placements map[string]*config.Placement
	// Shifts maps service names to shifts.
	Shifts map[string][]*config.Shift
	// LeavingTargets is the set of targets that get no new requests.
	LeavingTargets map[TargetKey]bool
	// LeavingHosts is the set of entry hosts, by name, that get no new requests.
	LeavingHosts map[string]bool
	Blocks       []config.Block
	BlockTables  []config.BlockTable
}

// TargetKey identifies a target.
type TargetKey struct {
	Service string
	Target  string
}

// Snapshot decodes the state in force. All objects of a ticket that cannot be decoded keep
// their last decodable state, and Faults lists the ticket.
func (s *State) Snapshot() (*Snapshot, error) {
	snap := newSnapshot()
	snap.Version = s.Newest()
	var firstErr error
	s.Each(func(ticket uint64, o Object) {
		if err := snap.add(o); err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "ticket %d: object %s", ticket, o.Key)
		}
	})
	return snap, firstErr
}

// checkDecodable returns an error if any object of a ticket cannot be decoded.
func checkDecodable(r Record) error {
	snap := newSnapshot()
	for _, o := range r.Objects {
		if o.Removed {
			continue
		}
		if err := snap.add(o); err != nil {
			return errors.Wrapf(err, "ticket %d: object %s", r.Number, o.Key)
		}
	}
	return nil
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		Services:       make(map[string]*config.Service),
		Placements:     make(map[string]*config.Placement),
		Shifts:         make(map[string][]*config.Shift),
		LeavingTargets: make(map[TargetKey]bool),
		LeavingHosts:   make(map[string]bool),
	}
}

func (s *Snapshot) add(o Object) error {
	switch o.Kind {
	case KindService:
		return decode(o.Body, func(c *config.Service) { s.Services[c.Name] = c })
	case KindPlacement:
		return decode(o.Body, func(c *config.Placement) { s.Placements[c.Service] = c })
	case KindShift:
		return decode(o.Body, func(c *config.Shift) { s.Shifts[c.Service] = append(s.Shifts[c.Service], c) })
	case KindLeaving:
		return decode(o.Body, s.addLeaving)
	case KindBlock:
		return decode(o.Body, func(c *config.Block) { s.Blocks = append(s.Blocks, *c) })
	case KindBlockTable:
		return decode(o.Body, func(c *config.BlockTable) { s.BlockTables = append(s.BlockTables, *c) })
	default:
		return errors.Newf("unknown kind %q", o.Kind)
	}
}

func (s *Snapshot) addLeaving(c *config.Leaving) {
	if c.Kind == config.LeavingHost {
		s.LeavingHosts[c.Name] = true
		return
	}
	s.LeavingTargets[TargetKey{Service: c.Service, Target: c.Name}] = true
}

func decode[T any](body []byte, keep func(*T)) error {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return err
	}
	keep(&v)
	return nil
}

// Holder holds the snapshot in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// Load returns the snapshot in force; before the first Store it is empty.
func (h *Holder) Load() *Snapshot {
	if s := h.current.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Store replaces the snapshot in force.
func (h *Holder) Store(s *Snapshot) { h.current.Store(s) }
