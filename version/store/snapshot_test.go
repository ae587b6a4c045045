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

func TestDamagedSnapshotIsRefusedAndTheOneBeforeUsed(t *testing.T) {
	objects := &memory.Objects{}
	s := NewSnapshots(objects)
	for revision := int64(1); revision <= 5; revision++ {
		r := record(t, uint64(revision), "anna", "h1")
		if err := s.Write(t.Context(), Snapshot{Revision: revision, Records: []state.Record{r}}); err != nil {
			t.Fatal(err)
		}
	}
	keys, _ := objects.List(t.Context(), snapshotPrefix)
	if len(keys) != snapshotsKept {
		t.Fatalf("%d snapshots are kept, want %d", len(keys), snapshotsKept)
	}
	damage(t, objects, snapshotKey(5), func(data string) string { return strings.Replace(data, "anna", "onna", 1) })
	damage(t, objects, snapshotKey(4), func(data string) string { return data[:len(data)/2] })
	var refused []string
	snap, err := s.Read(t.Context(), func(key string, err error) {
		if !errors.Is(err, ErrDamaged) {
			t.Errorf("%s: %v", key, err)
		}
		refused = append(refused, key)
	})
	if err != nil || snap.Revision != 3 || len(refused) != 2 {
		t.Fatalf("got revision %d, refused %v, %v", snap.Revision, refused, err)
	}
}

func damage(t *testing.T, objects *memory.Objects, key string, change func(string) string) {
	t.Helper()
	data, err := objects.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	if err := objects.Put(context.Background(), key, []byte(change(string(data)))); err != nil {
		t.Fatal(err)
	}
}

func TestSnapshotOfALaterFormatIsRefused(t *testing.T) {
	objects := &memory.Objects{}
	s := NewSnapshots(objects)
	if err := s.Write(t.Context(), Snapshot{Revision: 1}); err != nil {
		t.Fatal(err)
	}
	damage(t, objects, snapshotKey(1), func(data string) string { return strings.Replace(data, `"format":1`, `"format":2`, 1) })
	refused := 0
	_, err := s.Read(t.Context(), func(string, error) { refused++ })
	if !errors.Is(err, platform.ErrNotFound) || refused != 1 {
		t.Fatalf("refused %d, %v", refused, err)
	}
}
