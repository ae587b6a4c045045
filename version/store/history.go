package store

import (
	"context"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
	"quetzalknot/version/state"
)

// Page is one page of the accepted tickets, in the order of acceptance.
type Page struct {
	Records []state.Record
	// Unreadable lists the keys of the rows that could not be decoded.
	Unreadable []string
	// Next is the table revision after which the next page begins.
	Next int64
	// More is true if further tickets follow.
	More bool
	// Era is the era of the table to which Next belongs.
	Era uint64
}

// Page reads about limit tickets accepted after a table revision. A row that cannot
// be decoded is listed in Unreadable and does not block the others.
func (s *Store) Page(ctx context.Context, after int64, limit int) (Page, error) {
	changes, err := s.table.Changes(ctx, ticketPrefix, after, limit)
	if err != nil {
		return Page{}, err
	}
	page := Page{Next: changes.Next, More: changes.More, Era: changes.Era}
	for _, row := range changes.Rows {
		r, err := decodeRecord(row)
		if err != nil {
			page.Unreadable = append(page.Unreadable, row.Key)
			continue
		}
		page.Records = append(page.Records, r)
	}
	return page, nil
}

// Accepted reads all tickets accepted after a table revision, page by page. It returns
// them and the revision from which to continue.
func (s *Store) Accepted(ctx context.Context, after int64) ([]state.Record, int64, error) {
	var records []state.Record
	for {
		page, err := s.Page(ctx, after, pageRows)
		if err != nil {
			return nil, 0, err
		}
		records = append(records, page.Records...)
		after = page.Next
		if !page.More {
			return records, after, nil
		}
	}
}

// ObjectChange is the change of one object by a ticket.
type ObjectChange struct {
	// PreviousTicket is the number of the ticket that set the previous state, or 0.
	PreviousTicket uint64 `json:"previous_ticket"`
	// Before is the previous state; nil if the object did not exist.
	Before *state.Object `json:"before,omitempty"`
	After  state.Object  `json:"after"`
}

// Diff returns the state before and after an accepted ticket of each object that it
// changed.
func (s *Store) Diff(ctx context.Context, number uint64) ([]ObjectChange, error) {
	r, err := s.Ticket(ctx, number)
	if err != nil {
		return nil, err
	}
	records := make(map[uint64]state.Record)
	changes := make([]ObjectChange, len(r.Objects))
	for i, o := range r.Objects {
		changes[i].After = o
		if i >= len(r.Previous) || r.Previous[i].Ticket == 0 {
			continue
		}
		changes[i].PreviousTicket = r.Previous[i].Ticket
		previous, cached := records[changes[i].PreviousTicket]
		if !cached {
			previous, err = s.Ticket(ctx, changes[i].PreviousTicket)
			if err != nil && !errors.Is(err, platform.ErrNotFound) {
				return nil, err
			}
			records[changes[i].PreviousTicket] = previous
		}
		changes[i].Before = findObject(previous, o.Key)
	}
	return changes, nil
}

func findObject(r state.Record, k state.Key) *state.Object {
	for i := range r.Objects {
		if r.Objects[i].Key == k {
			return &r.Objects[i]
		}
	}
	return nil
}
