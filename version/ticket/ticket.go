// Package ticket reads and checks change tickets.
//
// A ticket has a number, an operator and the whole new state of each object that
// it touches. Checking is pure and needs no other service.
package ticket

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

// MaxBytes is the largest accepted ticket, in bytes.
const MaxBytes = 4 << 20

// Format is the encoding of a ticket.
type Format uint8

// The formats of a ticket.
const (
	FormatTOML Format = iota
	FormatJSON
)

// Ticket is a change ticket as operators write it.
type Ticket struct {
	// Number orders tickets: for each object the larger number wins.
	Number   uint64 `toml:"number" json:"number"`
	Operator string `toml:"operator" json:"operator"`
	Note     string `toml:"note" json:"note,omitempty"`

	Services    []config.Service    `toml:"service" json:"service,omitempty"`
	Placements  []config.Placement  `toml:"placement" json:"placement,omitempty"`
	Shifts      []config.Shift      `toml:"shift" json:"shift,omitempty"`
	Leaving     []config.Leaving    `toml:"leaving" json:"leaving,omitempty"`
	Blocks      []config.Block      `toml:"block" json:"block,omitempty"`
	BlockTables []config.BlockTable `toml:"block_table" json:"block_table,omitempty"`
	// Remove lists objects that no longer exist.
	Remove []state.Key `toml:"remove" json:"remove,omitempty"`
}

// Parse reads a ticket. Unknown keys are errors.
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
		return &t, nil
	}
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(&t); err != nil {
		return nil, errors.Wrap(err, "ticket")
	}
	return &t, nil
}

// Record returns the stored form of the ticket, its objects in order of key.
func (t *Ticket) Record(acceptedAt time.Time) (state.Record, error) {
	b := &objectBuilder{}
	for _, c := range t.Services {
		b.add(state.KindService, c.Name, c)
	}
	for _, c := range t.Placements {
		b.add(state.KindPlacement, c.Service, c)
	}
	for _, c := range t.Shifts {
		b.add(state.KindShift, c.Name, c)
	}
	for _, c := range t.Leaving {
		b.add(state.KindLeaving, leavingName(c), c)
	}
	for _, c := range t.Blocks {
		b.add(state.KindBlock, c.Prefix, c)
	}
	for _, c := range t.BlockTables {
		b.add(state.KindBlockTable, c.Name, c)
	}
	for _, k := range t.Remove {
		b.objects = append(b.objects, state.Object{Key: k, Removed: true})
	}
	objects, err := b.sorted()
	if err != nil {
		return state.Record{}, err
	}
	return state.Record{
		Number: t.Number, Operator: t.Operator, Note: t.Note,
		AcceptedAt: acceptedAt, Content: contentHash(objects), Objects: objects,
	}, nil
}

func leavingName(c config.Leaving) string {
	if c.Kind == config.LeavingHost {
		return "host/" + c.Name
	}
	return "target/" + c.Service + "/" + c.Name
}

// objectBuilder collects encoded objects and the first error.
type objectBuilder struct {
	objects []state.Object
	err     error
}

func (b *objectBuilder) add(kind state.Kind, name string, body any) {
	data, err := json.Marshal(body)
	if err != nil && b.err == nil {
		b.err = err
	}
	key := state.Key{Kind: kind, Name: name}
	b.objects = append(b.objects, state.Object{Key: key, Body: data})
}

func (b *objectBuilder) sorted() ([]state.Object, error) {
	if b.err != nil {
		return nil, b.err
	}
	sort.Slice(b.objects, func(i, j int) bool {
		return b.objects[i].String() < b.objects[j].String()
	})
	for i := 1; i < len(b.objects); i++ {
		if b.objects[i].Key == b.objects[i-1].Key {
			return nil, errors.Newf("object %s is given twice", b.objects[i].Key)
		}
	}
	return b.objects, nil
}

func contentHash(objects []state.Object) string {
	h := sha256.New()
	enc := json.NewEncoder(h)
	for _, o := range objects {
		_ = enc.Encode(o) // a hash never fails to write
	}
	return hex.EncodeToString(h.Sum(nil))
}
