package mirror

import "testing"

// TestUnknownEraDoesNotRevertLaterEra: a host of an earlier release states no era and has the numbers
// of the store before the restore.
func TestUnknownEraDoesNotRevertLaterEra(t *testing.T) {
	m := New()
	m.Apply(Delta{Table: "op", Era: 1, UpTo: 45, Whole: true, Records: []Record{{Key: "config", Revision: 45, Value: []byte("10")}}})
	m.Apply(Delta{Table: "op", Era: 2, UpTo: 44, Whole: true, Records: []Record{{Key: "config", Revision: 44, Value: []byte("10")}}})
	m.Apply(Delta{Table: "op", UpTo: 45, Records: []Record{{Key: "config", Revision: 45, Value: []byte("10")}}}) // earlier release
	m.Apply(Delta{Table: "op", Era: 2, UpTo: 45, Records: []Record{{Key: "config", Revision: 45, Value: []byte("12")}}})
	if r, _ := m.Get("op", "config"); string(r.Value) != "12" {
		t.Errorf("config %s, want 12", r.Value)
	}
}

// TestTableOfUnknownEraEntersEra: the tables came from a host of an earlier release, so their era is
// not known; the first read of the restored store must be taken.
func TestTableOfUnknownEraEntersEra(t *testing.T) {
	m := New()
	m.Apply(Delta{Table: "op", UpTo: 45, Whole: true, Records: []Record{{Key: "config", Revision: 45, Value: []byte("10")}}})
	m.Apply(Delta{Table: "op", Era: 2, UpTo: 44, Whole: true, Records: []Record{{Key: "config", Revision: 44, Value: []byte("12")}}})
	if r, _ := m.Get("op", "config"); string(r.Value) != "12" {
		t.Errorf("config %s, want 12; position %v", r.Value, m.Position("op"))
	}
}
