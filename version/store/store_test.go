package store

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
	"quetzalknot/platform/memory"
	"quetzalknot/version/state"
	"quetzalknot/version/ticket"
)

// faultyTable forwards calls and lets a test make individual commits fail.
type faultyTable struct {
	platform.Table
	// before and after run before and after a commit. An error returned by them replaces
	// the result of the commit.
	before, after func() error
}

func (f *faultyTable) Commit(ctx context.Context, c []platform.Condition, w []platform.Write) (int64, error) {
	if f.before != nil {
		if err := f.before(); err != nil {
			return 0, err
		}
	}
	revision, err := f.Table.Commit(ctx, c, w)
	if f.after != nil && err == nil {
		err = f.after()
	}
	return revision, err
}

func record(t testing.TB, number uint64, operator string, hosts ...string) state.Record {
	t.Helper()
	text := fmt.Sprintf("number = %d\noperator = %q\n", number, operator)
	for _, h := range hosts {
		text += fmt.Sprintf("[[leaving]]\nkind = \"host\"\nname = %q\n", h)
	}
	parsed, err := ticket.Parse([]byte(text), ticket.FormatTOML)
	if err != nil {
		t.Fatal(err)
	}
	r, err := parsed.Record(time.Unix(int64(number), 0).UTC())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// failOnce returns a function that returns err on its first call only.
func failOnce(err error) func() error {
	return func() error {
		e := err
		err = nil
		return e
	}
}

func TestLostResponseIsReadBack(t *testing.T) {
	for _, lost := range []error{platform.ErrUnknownOutcome, context.DeadlineExceeded, errors.New("malformed response")} {
		s := New(&faultyTable{Table: &memory.Table{}, after: failOnce(lost)})
		got, err := s.Submit(t.Context(), record(t, 1, "anna", "h1"))
		if err != nil || got.Number != 1 {
			t.Errorf("%v: got %v, %v", lost, got, err)
		}
	}
}

// A write whose response was lost can take effect after the read-back did not find it.
func TestLateWriteIsAcceptedOnce(t *testing.T) {
	table := &memory.Table{}
	first := record(t, 1, "anna", "h1")
	attempts := 0
	f := &faultyTable{Table: table}
	f.before = func() error {
		attempts++
		if attempts == 1 {
			return platform.ErrUnknownOutcome
		}
		if attempts == 2 {
			_, err := New(table).Submit(t.Context(), first)
			return err
		}
		return nil
	}
	if _, err := New(f).Submit(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	records, _, err := New(table).Accepted(t.Context(), 0)
	if err != nil || len(records) != 1 {
		t.Fatalf("got %d tickets, %v", len(records), err)
	}
}

func TestUnknownOutcomeIsReported(t *testing.T) { synctest.Test(t, testUnknownOutcomeIsReported) }

func testUnknownOutcomeIsReported(t *testing.T) {
	f := &faultyTable{Table: &memory.Table{}, before: func() error { return platform.ErrUnknownOutcome }}
	if _, err := New(f).Submit(t.Context(), record(t, 1, "anna", "h1")); !errors.Is(err, platform.ErrUnknownOutcome) {
		t.Fatalf("got %v", err)
	}
	f.before = func() error { return platform.ErrUnavailable }
	if _, err := New(f).Submit(t.Context(), record(t, 1, "anna", "h1")); errors.Is(err, platform.ErrUnknownOutcome) {
		t.Fatalf("a failed write is reported as unknown: %v", err)
	}
}

func TestRaceNamesWinnerAndObject(t *testing.T) {
	table := &memory.Table{}
	f := &faultyTable{Table: table}
	f.before = func() error {
		f.before = nil
		_, err := New(table).Submit(t.Context(), record(t, 7, "bjorn", "h1"))
		return err
	}
	_, err := New(f).Submit(t.Context(), record(t, 5, "anna", "h1", "h2"))
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Winner != 7 || conflict.Object != "leaving/host/h1" {
		t.Fatalf("got %v", err)
	}
	if rows, _ := table.Changes(t.Context(), "object/leaving/host/h2", 0, 0); len(rows.Rows) != 0 {
		t.Fatal("the conflicting ticket wrote an object")
	}
}

// Regression: a resubmission that read the ticket's row just before the first
// submission was accepted reported a conflict of the ticket with itself.
func TestResubmissionDuringAcceptanceSucceeds(t *testing.T) {
	table := &memory.Table{}
	r := record(t, 1, "anna", "h1")
	f := &hookedTable{Table: table}
	f.beforeObject = func() {
		f.beforeObject = func() {}
		if _, err := New(table).Submit(t.Context(), r); err != nil {
			t.Error(err)
		}
	}
	if _, err := New(f).Submit(t.Context(), r); err != nil {
		t.Fatal(err)
	}
}

// hookedTable runs a function before an object's row is read.
type hookedTable struct {
	platform.Table
	beforeObject func()
}

func (f *hookedTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if strings.HasPrefix(key, objectPrefix) {
		f.beforeObject()
	}
	return f.Table.Get(ctx, key)
}

// A smaller ticket that commits first is superseded and does not cause a conflict.
func TestRaceIsRetriedAfterSmallerTicket(t *testing.T) {
	table := &memory.Table{}
	f := &faultyTable{Table: table}
	f.before = func() error {
		f.before = nil
		_, err := New(table).Submit(t.Context(), record(t, 3, "bjorn", "h1"))
		return err
	}
	got, err := New(f).Submit(t.Context(), record(t, 5, "anna", "h1"))
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Previous) != 1 || got.Previous[0].Ticket != 3 {
		t.Fatalf("previous = %v, want ticket 3", got.Previous)
	}
}

func TestRepeatedSubmission(t *testing.T) {
	s := New(&memory.Table{})
	first, err := s.Submit(t.Context(), record(t, 1, "anna", "h1"))
	if err != nil {
		t.Fatal(err)
	}
	again := record(t, 1, "anna", "h1")
	again.AcceptedAt = again.AcceptedAt.Add(time.Hour)
	second, err := s.Submit(t.Context(), again)
	if err != nil || !second.AcceptedAt.Equal(first.AcceptedAt) {
		t.Fatalf("accepted at %v, then %v, %v", first.AcceptedAt, second.AcceptedAt, err)
	}
	var conflict *ConflictError
	if _, err := s.Submit(t.Context(), record(t, 1, "bjorn", "h1")); !errors.As(err, &conflict) || conflict.Object != "" {
		t.Fatalf("other content: got %v", err)
	}
}

// Of concurrently submitted tickets that change the same object, each is accepted or
// gets a conflict, and the largest accepted number is in force for the object.
func TestRacingOperators(t *testing.T) { synctest.Test(t, testRacingOperators) }

func testRacingOperators(t *testing.T) {
	table := &memory.Table{}
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := uint64(0)
	for n := uint64(1); n <= 12; n++ {
		wg.Go(func() {
			_, err := New(table).Submit(context.Background(), record(t, n, "anna", "h1", fmt.Sprint("h", 2+n%3)))
			var conflict *ConflictError
			if err != nil && !errors.As(err, &conflict) && !errors.Is(err, platform.ErrConflict) {
				t.Errorf("ticket %d: %v", n, err)
			}
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				accepted = max(accepted, n)
			}
		})
	}
	wg.Wait()
	row, err := table.Get(t.Context(), "object/leaving/host/h1")
	if err != nil || string(row.Value) != fmt.Sprint(accepted) {
		t.Fatalf("h1 has ticket %s, want %d, %v", row.Value, accepted, err)
	}
}

func TestDiffShowsPreviousState(t *testing.T) {
	s := New(&memory.Table{})
	for n := uint64(1); n <= 2; n++ {
		if _, err := s.Submit(t.Context(), record(t, n, "anna", "h1", fmt.Sprint("h", n+1))); err != nil {
			t.Fatal(err)
		}
	}
	changes, err := s.Diff(t.Context(), 2)
	if err != nil || len(changes) != 2 {
		t.Fatalf("got %v, %v", changes, err)
	}
	if changes[0].PreviousTicket != 1 || changes[0].Before == nil || changes[1].Before != nil {
		t.Fatalf("got %+v", changes)
	}
}

func TestUnreadableRowDoesNotBlockOthers(t *testing.T) {
	table := &memory.Table{}
	if _, err := table.Commit(t.Context(), nil, []platform.Write{{Key: ticketKey(1), Value: []byte("{")}}); err != nil {
		t.Fatal(err)
	}
	s := New(table)
	if _, err := s.Submit(t.Context(), record(t, 2, "anna", "h1")); err != nil {
		t.Fatal(err)
	}
	page, err := s.Page(t.Context(), 0, 1)
	if err != nil || !page.More || len(page.Unreadable) != 1 || !strings.HasSuffix(page.Unreadable[0], "1") {
		t.Fatalf("got %+v, %v", page, err)
	}
	records, _, err := s.Accepted(t.Context(), 0)
	if err != nil || len(records) != 1 {
		t.Fatalf("got %d tickets, %v", len(records), err)
	}
}
