package lookup_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"quetzalknot/version/lookup"
)

// memoryReader is a lookup.RangeReader of bytes in memory. Every failEvery-th read fails.
type memoryReader struct {
	data      []byte
	max       int64
	failEvery int
	reads     int
}

var errOutage = errors.New("outage")

func (o *memoryReader) MaxRange() int64 { return o.max }

func (o *memoryReader) ReadRange(_ context.Context, offset, length int64) ([]byte, error) {
	o.reads++
	if o.failEvery > 0 && o.reads%o.failEvery == 0 {
		return nil, errOutage
	}
	size := int64(len(o.data))
	return o.data[min(offset, size):min(offset+length, size)], nil
}

func stored(t *testing.T, seed uint64, n int) (*lookup.Table, []byte) {
	t.Helper()
	table, err := new(lookup.Table).Apply(smallChanges(rand.New(rand.NewPCG(seed, 0)), n, 0, nil))
	if err != nil {
		t.Fatal(err)
	}
	data, err := lookup.Encode(table)
	if err != nil {
		t.Fatal(err)
	}
	return table, data
}

func content(table *lookup.Table) (blocks []lookup.Change) {
	for p, a := range table.All() {
		blocks = append(blocks, lookup.Change{Prefix: p, Assignment: a})
	}
	return blocks
}

// TestSnapshotLoadResumesAndIsServed loads a snapshot from a source with failures, which must
// not restart it, and then loads it again from the loaded snapshot.
func TestSnapshotLoadResumesAndIsServed(t *testing.T) {
	table, data := stored(t, 1, 30_000)
	loader := lookup.NewLoader(sha256.Sum256(data))
	source := &memoryReader{data: data, max: 20_000, failEvery: 3}
	snap, err := loader.Read(t.Context(), source)
	for errors.Is(err, errOutage) {
		snap, err = loader.Read(t.Context(), source)
	}
	if err != nil {
		t.Fatal(err)
	}
	if limit := len(data)/10_000 + 6; source.reads > 2*limit {
		t.Errorf("%d reads for %d bytes: it did not resume", source.reads, len(data))
	}
	again, err := lookup.NewLoader(snap.Sum).Read(t.Context(), snap)
	if err != nil {
		t.Fatal(err)
	}
	for _, got := range []*lookup.Table{snap.Table, again.Table} {
		if !reflect.DeepEqual(content(got), content(table)) {
			t.Errorf("loaded %d blocks, want the same %d", got.Len(), table.Len())
		}
	}
}

// TestCorruptSnapshotIsRejected changes or inserts a byte or truncates the data at random
// offsets. Each time loading must fail with a *lookup.FormatError.
func TestCorruptSnapshotIsRejected(t *testing.T) {
	_, data := stored(t, 2, 6000)
	sum := sha256.Sum256(data)
	rnd := rand.New(rand.NewPCG(2, 2))
	for i := range 400 {
		bad := slices.Clone(data)
		at := rnd.IntN(len(bad))
		switch i % 4 {
		case 0, 1:
			bad[at] ^= byte(1 + rnd.IntN(255))
		case 2:
			bad = bad[:at]
		case 3:
			bad = slices.Insert(bad, at, byte(rnd.Uint32()))
		}
		_, err := lookup.NewLoader(sum).Read(t.Context(), &memoryReader{data: bad, max: 1 << 20})
		var format *lookup.FormatError
		if !errors.As(err, &format) {
			t.Fatalf("case %d at byte %d: got %v", i, at, err)
		}
	}
	if _, err := lookup.NewLoader(lookup.Sum{1}).Read(t.Context(), &memoryReader{data: data, max: 1 << 20}); err == nil {
		t.Error("a table with another sum was accepted")
	}
}

// TestDelta applies a stored delta to its base. Deltas with another base and corrupt or
// truncated deltas must be rejected.
func TestDelta(t *testing.T) {
	table, data := stored(t, 3, 6000)
	base := lookup.Sum(sha256.Sum256(data))
	rnd := rand.New(rand.NewPCG(4, 4))
	changes := smallChanges(rnd, 500, 0, naiveTable(content(table)))
	want, err := table.Apply(slices.Clone(changes))
	if err != nil {
		t.Fatal(err)
	}
	bytes, err := lookup.EncodeDelta(base, changes)
	if err != nil {
		t.Fatal(err)
	}
	delta, err := lookup.DecodeDelta(bytes)
	if err != nil {
		t.Fatal(err)
	}
	got, err := table.ApplyDelta(base, delta)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(content(got), content(want)) {
		t.Error("the delta and its changes resulted in different tables")
	}
	if _, err := table.ApplyDelta(delta.Sum, delta); err == nil {
		t.Error("a delta with another base was accepted")
	}
	for i := range bytes {
		bad := slices.Clone(bytes)
		bad[i] ^= 0x10
		if d, err := lookup.DecodeDelta(bad); err == nil && d.Sum == delta.Sum {
			t.Fatalf("byte %d changed: accepted as the same delta", i)
		}
		if _, err := lookup.DecodeDelta(bytes[:i]); err == nil {
			t.Fatalf("truncated after %d bytes: accepted", i)
		}
	}
}
