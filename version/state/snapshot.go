package state

import (
	"encoding/json"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"quetzalknot/version/config"
)

// Snapshot is one immutable configuration version. It is replaced as a whole.
type Snapshot struct {
	// Version is the largest ticket number taken in.
	Version uint64
	// Services, by name.
	Services map[string]*config.Service
	// Placements, by service.
	Placements map[string]*config.Placement
	// Shifts, by service.
	Shifts map[string][]*config.Shift
	// LeavingTargets holds service and target names of targets that take no new work.
	LeavingTargets map[TargetKey]bool
	// LeavingHosts holds the names of entry hosts that take no new work.
	LeavingHosts map[string]bool
	Blocks       []config.Block
	BlockTables  []config.BlockTable
}

// TargetKey identifies a target.
type TargetKey struct {
	Service string
	Target  string
}

// Snapshot decodes the state in force. A ticket that cannot be decoded is left
// out as a whole; Faults names it.
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

// faultOf returns why a ticket cannot be put into force, or nil.
func faultOf(r Record) error {
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

// Store puts a snapshot into force.
func (h *Holder) Store(s *Snapshot) { h.current.Store(s) }
