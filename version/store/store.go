// Package store accepts tickets into the platform's table service and reads
// accepted tickets back.
package store

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"quetzalknot/platform"
	"quetzalknot/version/state"
)

const (
	ticketPrefix = "ticket/"
	objectPrefix = "object/"
	// pageRows is how many rows one read asks for.
	pageRows = 200
	// maxAttempts bounds the transactions of one submission.
	maxAttempts = 8
	// readsAtOnce bounds the concurrent reads of one submission.
	readsAtOnce = 8
	// retryPause is the mean pause before the second attempt; it doubles each time.
	retryPause = 20 * time.Millisecond
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

// Submit accepts the ticket in one transaction, or returns a RefusedError that
// names the ticket and object that stand against it. A lost race is tried again,
// and a write whose answer was lost is looked up. Submitting an accepted ticket
// again succeeds and returns the accepted record.
//
// With platform.ErrUnavailable the ticket is not accepted. With
// platform.ErrUnknownOutcome it may be; submit the same ticket again.
func (s *Store) Submit(ctx context.Context, r state.Record) (state.Record, error) {
	written := false
	var last error
	for attempt := range maxAttempts {
		if attempt > 0 && !pause(ctx, attempt) {
			break
		}
		accepted, err := s.attempt(ctx, r)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) {
			return accepted, err
		}
		last = err
		switch {
		case errors.Is(err, platform.ErrConflict):
		case errors.Is(err, platform.ErrUnknownOutcome):
			written = true
		case !written:
			return state.Record{}, err
		}
	}
	if written {
		return state.Record{}, errors.Mark(errors.Wrapf(last, "ticket %d may be accepted", r.Number), platform.ErrUnknownOutcome)
	}
	return state.Record{}, errors.Wrapf(last, "ticket %d", r.Number)
}

// pause waits before a further attempt, with jitter, and reports whether the context still runs.
func pause(ctx context.Context, attempt int) bool {
	mean := retryPause << attempt
	select {
	case <-ctx.Done():
		return false
	case <-time.After(mean/2 + rand.N(mean)):
		return true
	}
}

// attempt runs one transaction. An error after which the write may have happened
// is marked with platform.ErrUnknownOutcome.
func (s *Store) attempt(ctx context.Context, r state.Record) (state.Record, error) {
	known, err := s.Ticket(ctx, r.Number)
	if err == nil {
		return sameContent(known, r)
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return state.Record{}, err
	}
	rows, err := s.objectRows(ctx, r)
	if err != nil {
		return state.Record{}, err
	}
	r.Previous = make([]state.Previous, len(rows))
	conditions := []platform.Condition{{Key: ticketKey(r.Number)}}
	var writes []platform.Write
	for i, o := range r.Objects {
		r.Previous[i] = state.Previous{Key: o.Key, Ticket: rows[i].ticket}
		conditions = append(conditions, platform.Condition{Key: objectKey(o.Key), Revision: rows[i].revision})
		writes = append(writes, platform.Write{Key: objectKey(o.Key), Value: strconv.AppendUint(nil, r.Number, 10)})
	}
	data, err := json.Marshal(r)
	if err != nil {
		return state.Record{}, err
	}
	writes = append(writes, platform.Write{Key: ticketKey(r.Number), Value: data})
	if _, err := s.table.Commit(ctx, conditions, writes); err != nil {
		return state.Record{}, commitError(err)
	}
	return r, nil
}

// commitError marks every error of a commit that does not say that nothing was written.
func commitError(err error) error {
	refused := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable)
	if refused && !errors.Is(err, platform.ErrUnknownOutcome) {
		return err
	}
	return errors.Mark(err, platform.ErrUnknownOutcome)
}

func sameContent(known, r state.Record) (state.Record, error) {
	if known.Content != r.Content {
		return state.Record{}, &RefusedError{Number: r.Number, Winner: r.Number}
	}
	return known, nil
}

// objectRow is the row of one object: the ticket in force and the row's revision.
type objectRow struct {
	ticket   uint64
	revision int64
}

// objectRows reads the rows of all objects of a ticket, in their order. It
// returns a RefusedError when one has a larger ticket number.
func (s *Store) objectRows(ctx context.Context, r state.Record) ([]objectRow, error) {
	rows := make([]objectRow, len(r.Objects))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(readsAtOnce)
	for i, o := range r.Objects {
		group.Go(func() error {
			row, err := s.objectRow(ctx, o.Key)
			if err != nil {
				return err
			}
			if row.ticket >= r.Number {
				return &RefusedError{Number: r.Number, Winner: row.ticket, Object: o.Key.String()}
			}
			rows[i] = row
			return nil
		})
	}
	return rows, group.Wait()
}

func (s *Store) objectRow(ctx context.Context, k state.Key) (objectRow, error) {
	row, err := s.table.Get(ctx, objectKey(k))
	if errors.Is(err, platform.ErrNotFound) {
		return objectRow{}, nil
	}
	if err != nil {
		return objectRow{}, err
	}
	ticket, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return objectRow{}, errors.Wrapf(err, "row %s", row.Key)
	}
	return objectRow{ticket: ticket, revision: row.Revision}, nil
}

// Ticket reads one accepted ticket, or platform.ErrNotFound.
func (s *Store) Ticket(ctx context.Context, number uint64) (state.Record, error) {
	row, err := s.table.Get(ctx, ticketKey(number))
	if err != nil {
		return state.Record{}, err
	}
	return decodeRecord(row)
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
