package spread

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"quetzalknot/version/state"
)

// digestNumbers is how many ticket numbers one digest names. With more tickets in
// force, each digest covers one of several parts.
const digestNumbers = 1500

// recordCoding keeps the nanoseconds and the zone of times.
var recordCoding, _ = cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()

// Tickets is the topic of the accepted tickets in force.
type Tickets struct {
	state *state.State
	// merged is called after tickets changed the state.
	merged func()

	mu sync.Mutex
	// unreadable holds the keys of ticket rows that could not be decoded.
	unreadable map[string]bool
}

// NewTickets returns the topic over a state. merged is called after each change,
// from several goroutines at once; it puts the state into force.
func NewTickets(s *state.State, merged func()) *Tickets {
	return &Tickets{state: s, merged: merged, unreadable: make(map[string]bool)}
}

// Unreadable returns the keys of the ticket rows that this host read and could
// not decode, in order.
func (t *Tickets) Unreadable() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.unreadable))
}

// noteUnreadable keeps the key of a row and reports whether it is new.
func (t *Tickets) noteUnreadable(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.unreadable[key]
	t.unreadable[key] = true
	return !known
}

// EncodeRecords returns the delta of some tickets.
func EncodeRecords(records ...state.Record) ([]byte, error) { return recordCoding.Marshal(records) }

// Add takes in tickets from the table service and returns the delta of those that
// were new, or nil.
func (t *Tickets) Add(records ...state.Record) []byte {
	var fresh []state.Record
	for _, r := range records {
		if t.state.Merge(r) {
			fresh = append(fresh, r)
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	t.merged()
	delta, err := EncodeRecords(fresh...)
	if err != nil {
		return nil // the exchanges spread them
	}
	return delta
}

// Sum implements Topic.
func (t *Tickets) Sum() uint64 { return t.state.Sum() }

// Digest implements Topic: the number of parts, the part, and the differences of
// the ticket numbers of that part in increasing order.
func (t *Tickets) Digest() []byte {
	numbers := t.state.Numbers()
	parts := uint64(len(numbers)/digestNumbers + 1)
	part := rand.Uint64N(parts)
	digest := binary.AppendUvarint(nil, parts)
	digest = binary.AppendUvarint(digest, part)
	last := uint64(0)
	for _, n := range numbers {
		if n%parts == part {
			digest = binary.AppendUvarint(digest, n-last)
			last = n
		}
	}
	return digest
}

// Delta implements Topic.
func (t *Tickets) Delta(digest []byte, limit int) []byte {
	parts, part, theirs, ok := decodeDigest(digest)
	if !ok {
		return nil
	}
	var records []cbor.RawMessage
	size := 0
	for _, n := range t.state.Numbers() {
		if n%parts != part || theirs[n] {
			continue
		}
		r, known := t.state.Record(n)
		if !known {
			continue // superseded in between
		}
		data, err := recordCoding.Marshal(r)
		if err != nil {
			continue
		}
		size += len(data)
		if size > limit && len(records) > 0 {
			break
		}
		records = append(records, data)
	}
	if len(records) == 0 {
		return nil
	}
	delta, err := cbor.Marshal(records)
	if err != nil {
		return nil
	}
	return delta
}

func decodeDigest(digest []byte) (parts, part uint64, numbers map[uint64]bool, ok bool) {
	next := func() (uint64, bool) {
		v, n := binary.Uvarint(digest)
		if n <= 0 {
			return 0, false
		}
		digest = digest[n:]
		return v, true
	}
	parts, ok1 := next()
	part, ok2 := next()
	if !ok1 || !ok2 || parts == 0 || part >= parts {
		return 0, 0, nil, false
	}
	numbers = make(map[uint64]bool)
	last := uint64(0)
	for len(digest) > 0 {
		v, ok := next()
		if !ok {
			return 0, 0, nil, false
		}
		last += v
		numbers[last] = true
	}
	return parts, part, numbers, true
}

// Merge implements Topic.
func (t *Tickets) Merge(delta []byte) (bool, error) {
	var records []state.Record
	if err := cbor.Unmarshal(delta, &records); err != nil {
		return false, errors.Wrap(err, "tickets")
	}
	for _, r := range records {
		if r.Number == 0 || r.Content == "" || len(r.Objects) == 0 {
			return false, errors.Newf("tickets: ticket %d has no number, content or object", r.Number)
		}
	}
	if !t.state.Merge(records...) {
		return false, nil
	}
	t.merged()
	return true, nil
}
