package mirror

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestReplicasConvergeInAnyOrder: replicas must converge to the table whatever the order
// and repetition of its deltas, and however many stale snapshots arrive between them.
func TestReplicasConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		m := New()
		order := rapid.Permutation(indices(len(history))).Draw(t, "order")
		for _, i := range order {
			m.Apply(Delta{Table: "t", Records: history[i : i+1]})
			if rapid.Bool().Draw(t, "stale whole read") {
				upTo := rapid.IntRange(0, len(history)).Draw(t, "up to")
				m.Apply(Delta{Table: "t", Records: tableAt(history, upTo), UpTo: uint64(upTo), Whole: true})
			}
		}
		want := tableAt(history, len(history))
		m.Apply(Delta{Table: "t", Records: want, UpTo: uint64(len(history)), Whole: true})
		requireSameRevisions(t, m.All("t"), want)
	})
}

// TestRevisionsNeverDecrease: the revision of a key must never decrease, whatever arrives.
func TestRevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		m := New()
		newest := make(map[string]uint64)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			upTo := rapid.IntRange(0, len(history)).Draw(t, "up to")
			d := Delta{Table: "t", UpTo: uint64(upTo)}
			if rapid.Bool().Draw(t, "whole") {
				d.Whole, d.Records = true, tableAt(history, upTo)
			} else if upTo > 0 {
				d.Records = history[upTo-1 : upTo]
			}
			m.Apply(d)
			for _, r := range m.All("t") {
				if r.Revision < newest[r.Key] {
					t.Fatalf("revision of key %s decreased from %d to %d", r.Key, newest[r.Key], r.Revision)
				}
				newest[r.Key] = r.Revision
			}
		}
	})
}

// TestHostThatIsBehindCatchesUp: a replica that is behind must catch up from another one,
// also after the tombstones that it needs were pruned.
func TestHostThatIsBehindCatchesUp(t *testing.T) {
	ahead, behind := New(), New()
	behind.Apply(Delta{Table: "t", Records: []Record{{Key: "old", Revision: 1}}, UpTo: 1})
	ahead.Apply(Delta{Table: "t", Records: []Record{{Key: "old", Revision: 1}}, UpTo: 1})
	for i := range 3 * maxTombstones {
		revision := uint64(i + 2)
		ahead.Apply(Delta{Table: "t", Records: []Record{{Key: fmt.Sprint(i), Revision: revision}}, UpTo: revision})
	}
	last := uint64(3*maxTombstones + 2)
	ahead.Apply(Delta{Table: "t", Records: []Record{{Key: "new", Revision: last}}, UpTo: last, Whole: true})
	d := ahead.DeltaSince("t", behind.Position("t"))
	if !d.Whole {
		t.Error("tombstones were pruned, but the delta is not a snapshot")
	}
	behind.Apply(d)
	requireSameRevisions(t, behind.All("t"), ahead.All("t"))
	if got := behind.Revision("t"); got != last {
		t.Errorf("revision %d, want %d", got, last)
	}
}

// TestSnapshotDoesNotHideRemovals: a replica that pulls from one which learned of a removal only by a
// snapshot must not keep the removed record.
func TestSnapshotDoesNotHideRemovals(t *testing.T) {
	ahead, behind := New(), New()
	behind.Apply(Delta{Table: "t", Records: []Record{{Key: "left", Revision: 5}, {Key: "kept", Revision: 6}}, UpTo: 7, Whole: true})
	ahead.Apply(Delta{Table: "t", Records: []Record{{Key: "kept", Revision: 6}}, UpTo: 9, Whole: true})
	behind.Apply(ahead.DeltaSince("t", behind.Position("t")))
	requireSameRevisions(t, behind.All("t"), ahead.All("t"))
}

// failer is the part of testing.T and rapid.T that comparisons need.
type failer interface{ Fatalf(string, ...any) }

// requireSameRevisions fails unless both lists hold the same keys at the same revisions.
func requireSameRevisions(t failer, got, want []Record) {
	if len(got) != len(want) {
		t.Fatalf("%d records, want %d: %v and %v", len(got), len(want), got, want)
	}
	byKey := make(map[string]uint64)
	for _, r := range want {
		byKey[r.Key] = r.Revision
	}
	for _, r := range got {
		if byKey[r.Key] != r.Revision {
			t.Fatalf("key %s has revision %d, want %d", r.Key, r.Revision, byKey[r.Key])
		}
	}
}

// drawHistory returns changes of a few keys; the change with revision i is at index i-1.
func drawHistory(t *rapid.T) []Record {
	history := make([]Record, rapid.IntRange(1, 30).Draw(t, "changes"))
	for i := range history {
		history[i] = Record{
			Key:      rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"),
			Revision: uint64(i + 1),
			Removed:  rapid.Bool().Draw(t, "removed"),
		}
	}
	return history
}

// tableAt returns the table as of a revision.
func tableAt(history []Record, upTo int) []Record {
	rows := make(map[string]Record)
	for _, r := range history[:upTo] {
		rows[r.Key] = r
	}
	var all []Record
	for _, r := range rows {
		if !r.Removed {
			all = append(all, r)
		}
	}
	return all
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestLastChangeCoversAllDeltas: a replica that is complete up to the last change of another one must be
// given no records and no snapshot by it, and one that is behind it must be.
func TestLastChangeCoversAllDeltas(t *testing.T) {
	m := New()
	apply := func(d Delta) {
		d.Table, d.Era = "t", max(d.Era, 1)
		m.Apply(d)
	}
	check := func(step string) {
		t.Helper()
		position, last := m.Progress("t")
		era := position.Era
		if d := m.DeltaSince("t", Position{Era: era, Revision: last}); last == 0 || d.Whole || len(d.Records) > 0 {
			t.Errorf("%s: after the last change %d there is %+v", step, last, d)
		}
		if d := m.DeltaSince("t", Position{Era: era, Revision: last - 1}); !d.Whole && len(d.Records) == 0 {
			t.Errorf("%s: nothing changed at the last change %d", step, last)
		}
	}
	apply(Delta{Whole: true, UpTo: 5, Records: []Record{{Key: "a", Revision: 2}}})
	check("snapshot")
	apply(Delta{UpTo: 9})
	check("advanced number")
	apply(Delta{UpTo: 12, Records: []Record{{Key: "a", Revision: 11, Removed: true}}})
	check("removal")
	apply(Delta{UpTo: 12, Records: []Record{{Key: "b", Revision: 20}}})
	check("record beyond the position")
	apply(Delta{Era: 2, Whole: true, UpTo: 3, Records: []Record{{Key: "b", Revision: 1}}})
	check("restored store")
}
