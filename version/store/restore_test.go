package store

import (
	"testing"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
	"quetzalknot/platform/memory"
)

// A lost ticket is written again for the objects that have no larger ticket, once.
func TestWriteAgainKeepsLargerTickets(t *testing.T) {
	table := &memory.Table{}
	s := New(table)
	older := table.Copy()
	lost, err := s.Submit(t.Context(), record(t, 5, "anna", "h1", "h2"))
	if err != nil {
		t.Fatal(err)
	}
	table.Restore(older)
	if _, err := s.Submit(t.Context(), record(t, 6, "bjorn", "h1")); err != nil {
		t.Fatal(err)
	}
	for i, want := range []bool{true, false} {
		if written, err := s.WriteAgain(t.Context(), lost); written != want || err != nil {
			t.Fatalf("call %d: written %v, %v; want %v", i, written, err, want)
		}
	}
	for object, want := range map[string]string{"h1": "6", "h2": "5"} {
		row, err := table.Get(t.Context(), "object/leaving/host/"+object)
		if err != nil || string(row.Value) != want {
			t.Errorf("%s has ticket %s, %v; want %s", object, row.Value, err, want)
		}
	}
	stored, err := s.Ticket(t.Context(), 5)
	if err != nil || !stored.AcceptedAt.Equal(lost.AcceptedAt) || stored.Content != lost.Content {
		t.Errorf("got ticket %+v, %v", stored, err)
	}
}

// A lost ticket is not written when all its objects have larger tickets, or when its number was
// given to another one.
func TestWriteAgainRefused(t *testing.T) {
	table := &memory.Table{}
	s := New(table)
	if _, err := s.Submit(t.Context(), record(t, 6, "bjorn", "h1")); err != nil {
		t.Fatal(err)
	}
	if written, err := s.WriteAgain(t.Context(), record(t, 5, "anna", "h1")); written || err != nil {
		t.Errorf("a ticket with larger ones for its objects: written %v, %v", written, err)
	}
	var conflict *ConflictError
	if written, err := s.WriteAgain(t.Context(), record(t, 6, "anna", "h2")); written || !errors.As(err, &conflict) {
		t.Errorf("a number that is taken: written %v, %v", written, err)
	}
}

// A ticket that is accepted between the reads and the write of a lost one is not replaced.
func TestWriteAgainLosesRace(t *testing.T) {
	table := &memory.Table{}
	f := &faultyTable{Table: table}
	f.before = func() error {
		f.before = nil
		_, err := New(table).Submit(t.Context(), record(t, 7, "bjorn", "h1"))
		return err
	}
	if _, err := New(f).WriteAgain(t.Context(), record(t, 5, "anna", "h1")); !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("got %v", err)
	}
	if row, err := table.Get(t.Context(), "object/leaving/host/h1"); err != nil || string(row.Value) != "7" {
		t.Fatalf("h1 has ticket %s, %v; want 7", row.Value, err)
	}
}
