package store

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
	"quetzalknot/version/state"
)

const (
	snapshotPrefix = "state/"
	// snapshotFormat is the version of the snapshot encoding.
	snapshotFormat = 1
	// maxSnapshots is the number of snapshots kept in the object store.
	maxSnapshots = 3
)

// ErrCorrupt reports a snapshot whose content differs from the content that was written.
var ErrCorrupt = errors.New("snapshot is corrupt")

// Snapshot holds the tickets in force at a table revision.
type Snapshot struct {
	// Era is the era of the table to which Revision belongs.
	Era uint64
	// Revision is the table revision up to which all tickets have been merged.
	Revision int64
	Records  []state.Record
}

// snapshotHeader is the first line of a snapshot; the records follow as JSON.
type snapshotHeader struct {
	Format   int    `json:"format"`
	Era      uint64 `json:"era,omitempty"`
	Revision int64  `json:"revision"`
	SHA256   string `json:"sha256"`
}

// Snapshots stores the merged state in the object store, so that a starting host needs
// to read only a few rows.
type Snapshots struct {
	objects platform.Objects
}

// NewSnapshots returns a Snapshots that uses the given object store.
func NewSnapshots(objects platform.Objects) *Snapshots { return &Snapshots{objects: objects} }

// Write stores a snapshot and deletes the oldest ones beyond maxSnapshots.
func (s *Snapshots) Write(ctx context.Context, snap Snapshot) error {
	data, err := encodeSnapshot(snap)
	if err != nil {
		return err
	}
	if err := s.objects.Put(ctx, snapshotKey(snap.Era, snap.Revision), data); err != nil {
		return errors.Wrap(err, "write state snapshot")
	}
	keys, err := s.objects.List(ctx, snapshotPrefix)
	if err != nil {
		return errors.Wrap(err, "list state snapshots")
	}
	for _, key := range keys[:max(0, len(keys)-maxSnapshots)] {
		if err := s.objects.Delete(ctx, key); err != nil {
			return errors.Wrap(err, "delete state snapshot")
		}
	}
	return nil
}

// Read returns the newest valid snapshot, or platform.ErrNotFound if there is none. It
// calls onInvalid for each newer snapshot that was skipped because it is corrupt or has
// an unsupported format.
func (s *Snapshots) Read(ctx context.Context, onInvalid func(key string, err error)) (Snapshot, error) {
	keys, err := s.objects.List(ctx, snapshotPrefix)
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "list state snapshots")
	}
	slices.Reverse(keys)
	for _, key := range keys {
		data, err := s.objects.Get(ctx, key)
		if errors.Is(err, platform.ErrNotFound) {
			continue // deleted concurrently
		}
		if err != nil {
			return Snapshot{}, errors.Wrapf(err, "read %s", key)
		}
		snap, err := decodeSnapshot(data)
		if err == nil {
			return snap, nil
		}
		onInvalid(key, err)
	}
	return Snapshot{}, platform.ErrNotFound
}

// snapshotKey returns the key of a snapshot. Keys are in the order of the era, then of the
// revision: the first era is left out, and all others have a letter before it.
func snapshotKey(era uint64, revision int64) string {
	if era == 0 {
		return fmt.Sprintf("%s%020d", snapshotPrefix, revision)
	}
	return fmt.Sprintf("%se%020d-%020d", snapshotPrefix, era, revision)
}

func encodeSnapshot(snap Snapshot) ([]byte, error) {
	body, err := json.Marshal(snap.Records)
	if err != nil {
		return nil, err
	}
	header, err := json.Marshal(snapshotHeader{Format: snapshotFormat, Era: snap.Era, Revision: snap.Revision, SHA256: checksum(body)})
	if err != nil {
		return nil, err
	}
	return slices.Concat(header, []byte("\n"), body), nil
}

func checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func decodeSnapshot(data []byte) (Snapshot, error) {
	first, body, found := bytes.Cut(data, []byte("\n"))
	var header snapshotHeader
	if err := json.Unmarshal(first, &header); err != nil || !found {
		return Snapshot{}, errors.Wrap(ErrCorrupt, "invalid header")
	}
	if header.Format != snapshotFormat {
		return Snapshot{}, errors.Newf("unsupported snapshot format %d; this release supports %d", header.Format, snapshotFormat)
	}
	if got := checksum(body); got != header.SHA256 {
		return Snapshot{}, errors.Wrapf(ErrCorrupt, "checksum %s, want %s", got, header.SHA256)
	}
	snap := Snapshot{Era: header.Era, Revision: header.Revision}
	if err := json.Unmarshal(body, &snap.Records); err != nil {
		return Snapshot{}, errors.Wrapf(ErrCorrupt, "records: %v", err)
	}
	return snap, nil
}
