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

// maxDigestNumbers is the number of ticket numbers that one digest lists. With more
// tickets in force, each digest covers one of several parts.
const maxDigestNumbers = 1500

// recordEncoding preserves the nanoseconds and the time zone of times.
var recordEncoding, _ = cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()

// Tickets is the topic of the accepted tickets in force.
type Tickets struct {
	state *state.State
	// onMerge is called after tickets have changed the state.
	onMerge func()

	mu sync.Mutex
	// unreadable holds the keys of ticket rows that could not be decoded.
	unreadable map[string]bool
}

// NewTickets returns the topic for a state. onMerge is called after each change,
// possibly concurrently, and applies the merged state.
func NewTickets(s *state.State, onMerge func()) *Tickets {
	return &Tickets{state: s, onMerge: onMerge, unreadable: make(map[string]bool)}
}

// Unreadable returns the sorted keys of the ticket rows that this host read and could
// not decode.
func (t *Tickets) Unreadable() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.unreadable))
}

// addUnreadable records the key of a row and reports whether it is new.
func (t *Tickets) addUnreadable(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.unreadable[key]
	t.unreadable[key] = true
	return !known
}

// EncodeRecords returns a delta that contains the given tickets.
func EncodeRecords(records ...state.Record) ([]byte, error) { return recordEncoding.Marshal(records) }

// Add merges tickets from the table service and returns a delta of those that changed
// the state, or nil.
func (t *Tickets) Add(records ...state.Record) []byte {
	var added []state.Record
	for _, r := range records {
		if t.state.Merge(r) {
			added = append(added, r)
		}
	}
	if len(added) == 0 {
		return nil
	}
	t.onMerge()
	delta, err := EncodeRecords(added...)
	if err != nil {
		return nil // the exchanges deliver them
	}
	return delta
}

// Sum implements Topic.
func (t *Tickets) Sum() uint64 { return t.state.Sum() }

// Digest implements Topic. The digest holds the number of parts, the index of the
// part, and the delta-encoded ticket numbers of that part in increasing order, all as
// varints.
func (t *Tickets) Digest() []byte {
	numbers := t.state.Numbers()
	parts := uint64(len(numbers)/maxDigestNumbers + 1)
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
			continue // superseded concurrently
		}
		data, err := recordEncoding.Marshal(r)
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
	t.onMerge()
	return true, nil
}
