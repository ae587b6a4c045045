package mirror

import "testing"

const (
	testTable = "op"
	testKey   = "config"
)

// snapshotOf returns a snapshot of the test table with one record at its last revision.
func snapshotOf(era, revision uint64, value string) Delta {
	d := changeOf(era, revision, value)
	d.Whole = true
	return d
}

// changeOf returns one change of the test table.
func changeOf(era, revision uint64, value string) Delta {
	return Delta{Table: testTable, Era: era, UpTo: revision, Records: []Record{{Key: testKey, Revision: revision, Value: []byte(value)}}}
}

// TestEmptyCopyKeepsEra: a copy without rows starts an era too; records of the era before must not
// come back from a partner.
func TestEmptyCopyKeepsEra(t *testing.T) {
	m := New()
	m.Apply(snapshotOf(1, 3, "10"))
	m.Apply(Delta{Table: testTable, Era: 2, Whole: true})
	if !m.Apply(changeOf(1, 3, "10")).Refused {
		t.Errorf("a record of era 1 was taken in era 2; position %+v", m.Position(testTable))
	}
}
