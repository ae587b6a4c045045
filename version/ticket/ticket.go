// Package ticket parses and validates change tickets.
//
// A ticket has a number, an operator and the complete new state of each object that it
// changes. Validation does no I/O.
package ticket

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

// MaxBytes is the maximum size of a ticket, in bytes.
const MaxBytes = 4 << 20

// Format is the encoding of a ticket.
type Format uint8

// Formats of a ticket.
const (
	FormatTOML Format = iota
	FormatJSON
)

// Ticket is a change ticket as operators write it.
type Ticket struct {
	// Number orders tickets: for each object the largest number is in force.
	Number   uint64 `toml:"number" json:"number"`
	Operator string `toml:"operator" json:"operator"`
	Note     string `toml:"note" json:"note,omitempty"`

	Services    []config.Service    `toml:"service" json:"service,omitempty"`
	Placements  []config.Placement  `toml:"placement" json:"placement,omitempty"`
	Shifts      []config.Shift      `toml:"shift" json:"shift,omitempty"`
	Leaving     []config.Leaving    `toml:"leaving" json:"leaving,omitempty"`
	Blocks      []config.Block      `toml:"block" json:"block,omitempty"`
	BlockTables []config.BlockTable `toml:"block_table" json:"block_table,omitempty"`
	// Remove lists the objects that the ticket removes.
	Remove []state.Key `toml:"remove" json:"remove,omitempty"`
}

// Parse decodes a ticket. It returns an error if there are unknown keys.
func Parse(data []byte, f Format) (*Ticket, error) {
	if len(data) > MaxBytes {
		return nil, errors.Newf("ticket has %d bytes; at most %d are allowed", len(data), MaxBytes)
	}
	var t Ticket
	if f == FormatJSON {
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&t); err != nil {
			return nil, errors.Wrap(err, "ticket")
		}
		if _, err := dec.Token(); err != io.EOF {
			return nil, errors.New("ticket: unexpected data after the JSON object")
		}
		return &t, nil
	}
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(&t); err != nil {
		return nil, errors.Wrap(err, "ticket")
	}
	return &t, nil
}

// fieldKey is the key of an object of a ticket and the path of the field that holds it.
type fieldKey struct {
	field string
	key   state.Key
}

// keys returns the keys of the objects that the ticket changes, in the order of its
// fields.
func (t *Ticket) keys() []fieldKey {
	var keys []fieldKey
	add := func(field string, i int, kind state.Kind, name string) {
		keys = append(keys, fieldKey{field: indexed(field, i), key: state.Key{Kind: kind, Name: name}})
	}
	for i, c := range t.Services {
		add("service", i, state.KindService, c.Name)
	}
	for i, c := range t.Placements {
		add("placement", i, state.KindPlacement, c.Service)
	}
	for i, c := range t.Shifts {
		add("shift", i, state.KindShift, c.Name)
	}
	for i, c := range t.Leaving {
		add("leaving", i, state.KindLeaving, leavingName(c))
	}
	for i, c := range t.Blocks {
		add("block", i, state.KindBlock, c.Prefix)
	}
	for i, c := range t.BlockTables {
		add("block_table", i, state.KindBlockTable, c.Name)
	}
	for i, k := range t.Remove {
		add("remove", i, k.Kind, k.Name)
	}
	return keys
}

// bodies returns the states of the objects in the order of keys; nil for a removed one.
func (t *Ticket) bodies() []any {
	var bodies []any
	for _, c := range t.Services {
		bodies = append(bodies, c)
	}
	for _, c := range t.Placements {
		bodies = append(bodies, c)
	}
	for _, c := range t.Shifts {
		bodies = append(bodies, c)
	}
	for _, c := range t.Leaving {
		bodies = append(bodies, c)
	}
	for _, c := range t.Blocks {
		bodies = append(bodies, c)
	}
	for _, c := range t.BlockTables {
		bodies = append(bodies, c)
	}
	return append(bodies, make([]any, len(t.Remove))...)
}

// Record returns the ticket in its stored form, with its objects sorted by key.
func (t *Ticket) Record(acceptedAt time.Time) (state.Record, error) {
	bodies := t.bodies()
	objects := make([]state.Object, len(bodies))
	for i, f := range t.keys() {
		objects[i] = state.Object{Key: f.key, Removed: bodies[i] == nil}
		if bodies[i] == nil {
			continue
		}
		data, err := json.Marshal(bodies[i])
		if err != nil {
			return state.Record{}, errors.Wrap(err, f.field)
		}
		objects[i].Body = data
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].String() < objects[j].String() })
	for i := 1; i < len(objects); i++ {
		if objects[i].Key == objects[i-1].Key {
			return state.Record{}, errors.Newf("duplicate object %s", objects[i].Key)
		}
	}
	r := state.Record{Number: t.Number, Operator: t.Operator, Note: t.Note, AcceptedAt: acceptedAt, Objects: objects}
	r.Content = contentHash(r)
	return r, nil
}

func leavingName(c config.Leaving) string {
	if c.Kind == config.LeavingHost {
		return "host/" + c.Name
	}
	return "target/" + c.Service + "/" + c.Name
}

// contentHash returns a hash of all fields that the operator sets except the number.
func contentHash(r state.Record) string {
	h := sha256.New()
	enc := json.NewEncoder(h)
	_ = enc.Encode([]string{r.Operator, r.Note}) // writing to a hash never fails
	for _, o := range r.Objects {
		_ = enc.Encode(o)
	}
	return hex.EncodeToString(h.Sum(nil))
}
