package mirror

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// eras is a store's history in eras: the full table at each revision of each era.
type eras struct {
	// tables holds the records by era and revision; the index of an era is its number less 1.
	tables [][]map[string]Record
}

// drawEras draws a store that is written to and restored from copies.
func drawEras(t *rapid.T) eras {
	e := eras{tables: [][]map[string]Record{{{}}}}
	writes := 0
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		current := e.tables[len(e.tables)-1]
		if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
			copied := rapid.IntRange(0, len(current)-1).Draw(t, "copy")
			e.tables = append(e.tables, append([]map[string]Record{}, current[:copied+1]...))
			continue
		}
		next := make(map[string]Record)
		for key, r := range current[len(current)-1] {
			next[key] = r
		}
		writes++
		key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
		r := Record{Key: key, Revision: uint64(len(current)), Value: []byte(fmt.Sprint(writes))}
		if rapid.Bool().Draw(t, "remove") {
			r.Removed, r.Value = true, nil
		}
		next[key] = r
		e.tables[len(e.tables)-1] = append(current, next)
	}
	return e
}

// snapshot returns the full table at a revision of an era.
func (e eras) snapshot(era, revision int) Delta {
	d := Delta{Table: "t", Era: uint64(era), UpTo: uint64(revision), Whole: true}
	for _, r := range e.tables[era-1][revision] {
		if !r.Removed {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// feed returns the records of an era that are newer than a revision.
func (e eras) feed(era int, after uint64) Delta {
	newest := e.tables[era-1][len(e.tables[era-1])-1]
	d := Delta{Table: "t", Era: uint64(era), UpTo: uint64(len(e.tables[era-1]) - 1)}
	for _, r := range newest {
		if r.Revision > after {
			d.Records = append(d.Records, r)
		}
	}
	return d
}

// TestReplicasFollowRestoredStore: replicas that read a store which is restored from copies, at
// any time, and pull from each other in any order, must end with the store's table once each has
// pulled from one that has read it.
func TestReplicasFollowRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEras(t)
		replicas := []*Mirror{New(), New(), New()}
		pick := func(label string) *Mirror { return replicas[rapid.IntRange(0, 2).Draw(t, label)] }
		for range rapid.IntRange(0, 40).Draw(t, "reads") {
			era := rapid.IntRange(1, len(e.tables)).Draw(t, "era")
			revision := rapid.IntRange(0, len(e.tables[era-1])-1).Draw(t, "revision")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				pick("reader").Apply(e.snapshot(era, revision))
			case 1:
				r := pick("follower")
				if p := r.Position("t"); p.Era == uint64(era) && p.Revision <= uint64(len(e.tables[era-1])-1) {
					r.Apply(e.feed(era, p.Revision))
				}
			default:
				from, to := pick("from"), pick("to")
				to.Apply(from.DeltaSince("t", to.Position("t")))
			}
		}
		last := len(e.tables)
		want := e.snapshot(last, len(e.tables[last-1])-1)
		replicas[0].Apply(want)
		for _, r := range replicas[1:] {
			r.Apply(replicas[0].DeltaSince("t", r.Position("t")))
		}
		for i, r := range replicas {
			if !sameValues(r.All("t"), want.Records) {
				t.Fatalf("replica %d holds %v, the store %v", i, r.All("t"), want.Records)
			}
		}
	})
}

// sameValues reports whether two sets of records hold the same values by key.
func sameValues(a, b []Record) bool {
	values := make(map[string]string)
	for _, r := range a {
		values[r.Key] = string(r.Value)
	}
	for _, r := range b {
		if values[r.Key] != string(r.Value) {
			return false
		}
	}
	return len(a) == len(b)
}
