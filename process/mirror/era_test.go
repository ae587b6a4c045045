package mirror

import "testing"

// TestEarlierEraDoesNotReturn: what an earlier era left behind must not change a replica, however
// high its revisions are, and changes of a later era are taken only with a snapshot.
func TestEarlierEraDoesNotReturn(t *testing.T) {
	m := New()
	m.Apply(Delta{Table: "t", Era: 1, UpTo: 9, Whole: true, Records: []Record{{Key: "a", Revision: 9, Value: []byte("lost")}}})
	if change := m.Apply(Delta{Table: "t", Era: 2, UpTo: 12, Records: []Record{{Key: "b", Revision: 12}}}); len(change.Records) > 0 {
		t.Errorf("changes of a later era without a snapshot changed %v", change.Records)
	}
	change := m.Apply(Delta{Table: "t", Era: 2, UpTo: 5, Whole: true, Records: []Record{{Key: "b", Revision: 5, Value: []byte("kept")}}})
	if !change.Restored || len(change.Records) != 2 {
		t.Errorf("a snapshot of a later era changed %+v, want a lost and a new record", change)
	}
	m.Apply(Delta{Table: "t", Era: 1, UpTo: 30, Whole: true, Records: []Record{{Key: "a", Revision: 30, Value: []byte("old")}}})
	if all := m.All("t"); len(all) != 1 || all[0].Key != "b" {
		t.Errorf("the table holds %v after a snapshot of an earlier era", all)
	}
	if got, want := m.Position("t"), (Position{Era: 2, Revision: 5}); got != want {
		t.Errorf("position %v, want %v", got, want)
	}
}
