// Package store accepts tickets into the platform's table service and reads
// accepted tickets back.
package store

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
	"quetzalknot/version/state"
)

const (
	ticketPrefix = "ticket/"
	objectPrefix = "object/"
	// pageRows is how many rows one read asks for.
	pageRows = 200
)

// RefusedError reports a ticket that lost against an accepted one.
type RefusedError struct {
	Number uint64
	// Winner is the accepted ticket that stands against it.
	Winner uint64
	// Object is the object that both touch, empty when the number itself is taken.
	Object string
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	if e.Object == "" {
		return fmt.Sprintf("ticket %d is refused: the number is taken by a ticket with other content", e.Number)
	}
	return fmt.Sprintf("ticket %d is refused: ticket %d is in force for %s", e.Number, e.Winner, e.Object)
}

// Store reads and writes accepted tickets.
type Store struct {
	table platform.Table
}

// New returns a store over the table service.
func New(table platform.Table) *Store { return &Store{table: table} }

// Submit accepts the ticket in one transaction, or returns a RefusedError.
// Submitting an accepted ticket again succeeds and returns the accepted record.
// After platform.ErrUnknownOutcome the caller submits the same ticket again.
func (s *Store) Submit(ctx context.Context, r state.Record) (state.Record, error) {
	known, err := s.Ticket(ctx, r.Number)
	if err == nil {
		return sameContent(known, r)
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return state.Record{}, err
	}
	conditions := []platform.Condition{{Key: ticketKey(r.Number)}}
	writes := make([]platform.Write, 0, len(r.Objects)+1)
	for _, o := range r.Objects {
		condition, err := s.objectCondition(ctx, r.Number, o.Key)
		if err != nil {
			return state.Record{}, err
		}
		conditions = append(conditions, condition)
		writes = append(writes, platform.Write{Key: objectKey(o.Key), Value: strconv.AppendUint(nil, r.Number, 10)})
	}
	data, err := json.Marshal(r)
	if err != nil {
		return state.Record{}, err
	}
	writes = append(writes, platform.Write{Key: ticketKey(r.Number), Value: data})
	if _, err := s.table.Commit(ctx, conditions, writes); err != nil {
		return state.Record{}, err
	}
	return r, nil
}

func sameContent(known, r state.Record) (state.Record, error) {
	if known.Content != r.Content {
		return state.Record{}, &RefusedError{Number: r.Number, Winner: r.Number}
	}
	return known, nil
}

// objectCondition requires that the object still has the smaller ticket number it has now.
func (s *Store) objectCondition(ctx context.Context, number uint64, k state.Key) (platform.Condition, error) {
	row, err := s.table.Get(ctx, objectKey(k))
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Condition{Key: objectKey(k)}, nil
	}
	if err != nil {
		return platform.Condition{}, err
	}
	winner, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return platform.Condition{}, errors.Wrapf(err, "row %s", row.Key)
	}
	if winner >= number {
		return platform.Condition{}, &RefusedError{Number: number, Winner: winner, Object: k.String()}
	}
	return platform.Condition{Key: row.Key, Revision: row.Revision}, nil
}

// Ticket reads one accepted ticket, or platform.ErrNotFound.
func (s *Store) Ticket(ctx context.Context, number uint64) (state.Record, error) {
	row, err := s.table.Get(ctx, ticketKey(number))
	if err != nil {
		return state.Record{}, err
	}
	return decodeRecord(row)
}

// Accepted reads the tickets accepted after a table revision, and the revision to continue from.
func (s *Store) Accepted(ctx context.Context, after int64) ([]state.Record, int64, error) {
	var records []state.Record
	for {
		page, err := s.table.Changes(ctx, ticketPrefix, after, pageRows)
		if err != nil {
			return nil, 0, err
		}
		for _, row := range page.Rows {
			r, err := decodeRecord(row)
			if err != nil {
				return nil, 0, err
			}
			records = append(records, r)
		}
		after = page.Next
		if !page.More {
			return records, after, nil
		}
	}
}

func decodeRecord(row platform.Row) (state.Record, error) {
	var r state.Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return state.Record{}, errors.Wrapf(err, "row %s", row.Key)
	}
	return r, nil
}

func ticketKey(number uint64) string { return fmt.Sprintf("%s%020d", ticketPrefix, number) }

func objectKey(k state.Key) string { return objectPrefix + k.String() }
