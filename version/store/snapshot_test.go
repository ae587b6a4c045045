package store

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
	"quetzalknot/platform/memory"
	"quetzalknot/version/state"
)

func TestCorruptSnapshotFallsBackToPrevious(t *testing.T) {
	objects := &memory.Objects{}
	s := NewSnapshots(objects)
	for revision := int64(1); revision <= 5; revision++ {
		r := record(t, uint64(revision), "anna", "h1")
		if err := s.Write(t.Context(), Snapshot{Revision: revision, Records: []state.Record{r}}); err != nil {
			t.Fatal(err)
		}
	}
	keys, _ := objects.List(t.Context(), snapshotPrefix)
	if len(keys) != maxSnapshots {
		t.Fatalf("%d snapshots are stored, want %d", len(keys), maxSnapshots)
	}
	corrupt(t, objects, snapshotKey(0, 5), func(data string) string { return strings.Replace(data, "anna", "onna", 1) })
	corrupt(t, objects, snapshotKey(0, 4), func(data string) string { return data[:len(data)/2] })
	var invalid []string
	snap, err := s.Read(t.Context(), func(key string, err error) {
		if !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v", key, err)
		}
		invalid = append(invalid, key)
	})
	if err != nil || snap.Revision != 3 || len(invalid) != 2 {
		t.Fatalf("got revision %d, invalid %v, %v", snap.Revision, invalid, err)
	}
}

func corrupt(t *testing.T, objects *memory.Objects, key string, change func(string) string) {
	t.Helper()
	data, err := objects.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	if err := objects.Put(context.Background(), key, []byte(change(string(data)))); err != nil {
		t.Fatal(err)
	}
}

func TestSnapshotOfNewerFormatIsRejected(t *testing.T) {
	objects := &memory.Objects{}
	s := NewSnapshots(objects)
	if err := s.Write(t.Context(), Snapshot{Revision: 1}); err != nil {
		t.Fatal(err)
	}
	corrupt(t, objects, snapshotKey(0, 1), func(data string) string { return strings.Replace(data, `"format":1`, `"format":2`, 1) })
	invalid := 0
	_, err := s.Read(t.Context(), func(string, error) { invalid++ })
	if !errors.Is(err, platform.ErrNotFound) || invalid != 1 {
		t.Fatalf("%d invalid snapshots, %v", invalid, err)
	}
}

// A snapshot of a later era is newer than those of earlier ones, whatever their revisions.
func TestSnapshotOfLaterEraIsNewest(t *testing.T) {
	s := NewSnapshots(&memory.Objects{})
	for _, snap := range []Snapshot{{Revision: 7}, {Revision: 8}, {Revision: 9}, {Era: 1, Revision: 3}, {Era: 2, Revision: 2}} {
		if err := s.Write(t.Context(), snap); err != nil {
			t.Fatal(err)
		}
	}
	snap, err := s.Read(t.Context(), func(key string, err error) { t.Errorf("%s: %v", key, err) })
	if err != nil || snap.Era != 2 || snap.Revision != 2 {
		t.Fatalf("got revision %d of era %d, %v", snap.Revision, snap.Era, err)
	}
}
