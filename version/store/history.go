package store

import (
	"context"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
	"quetzalknot/version/state"
)

// Page is a part of the accepted tickets, in the order of acceptance.
type Page struct {
	Records []state.Record
	// Unreadable names the rows that could not be decoded.
	Unreadable []string
	// Next is the table revision to continue from.
	Next int64
	// More is true when further tickets follow.
	More bool
}

// Page reads about limit tickets accepted after a table revision. A row that
// cannot be decoded is named and does not keep the others back.
func (s *Store) Page(ctx context.Context, after int64, limit int) (Page, error) {
	changes, err := s.table.Changes(ctx, ticketPrefix, after, limit)
	if err != nil {
		return Page{}, err
	}
	page := Page{Next: changes.Next, More: changes.More}
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

// Accepted reads all tickets accepted after a table revision, page by page, and
// the revision to continue from.
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

// ObjectChange is what a ticket did to one object.
type ObjectChange struct {
	// Ticket is the number of the ticket that gave the earlier state, or 0.
	Ticket uint64 `json:"previous_ticket"`
	// Before is the earlier state; nil when the object did not exist.
	Before *state.Object `json:"before,omitempty"`
	After  state.Object  `json:"after"`
}

// Diff tells what an accepted ticket changed: each object before and after.
func (s *Store) Diff(ctx context.Context, number uint64) ([]ObjectChange, error) {
	r, err := s.Ticket(ctx, number)
	if err != nil {
		return nil, err
	}
	earlier := make(map[uint64]state.Record)
	changes := make([]ObjectChange, len(r.Objects))
	for i, o := range r.Objects {
		changes[i].After = o
		if i >= len(r.Previous) || r.Previous[i].Ticket == 0 {
			continue
		}
		changes[i].Ticket = r.Previous[i].Ticket
		previous, known := earlier[changes[i].Ticket]
		if !known {
			previous, err = s.Ticket(ctx, changes[i].Ticket)
			if err != nil && !errors.Is(err, platform.ErrNotFound) {
				return nil, err
			}
			earlier[changes[i].Ticket] = previous
		}
		changes[i].Before = find(previous, o.Key)
	}
	return changes, nil
}

func find(r state.Record, k state.Key) *state.Object {
	for i := range r.Objects {
		if r.Objects[i].Key == k {
			return &r.Objects[i]
		}
	}
	return nil
}
