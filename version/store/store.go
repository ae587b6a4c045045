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
	"golang.org/x/time/rate"

	"quetzalknot/platform"
	"quetzalknot/version/state"
)

const (
	ticketPrefix = "ticket/"
	objectPrefix = "object/"
	// pageRows is the page size of reads.
	pageRows = 200
	// maxAttempts bounds the transactions attempted for one submission.
	maxAttempts = 8
	// objectReadsPerSecond and objectReadsBurst bound the rate of object reads for a
	// host's submissions, so that a ticket with many objects does not use up the capacity
	// for other readers.
	objectReadsPerSecond = 400
	objectReadsBurst     = 100
	// maxConcurrentReads bounds the concurrent reads of one submission.
	maxConcurrentReads = 8
	// baseBackoff is half the mean delay before the second attempt. The mean delay doubles
	// with each further attempt.
	baseBackoff = 20 * time.Millisecond
)

// ConflictError reports a ticket that conflicts with an accepted one.
type ConflictError struct {
	Number uint64
	// Winner is the number of the accepted ticket.
	Winner uint64
	// Object is an object that both tickets change, empty if they have the same number.
	Object string
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	if e.Object == "" {
		return fmt.Sprintf("ticket %d is refused: the number is taken by a ticket with other content", e.Number)
	}
	return fmt.Sprintf("ticket %d is refused: ticket %d is in force for %s", e.Number, e.Winner, e.Object)
}

// Store reads and writes accepted tickets.
type Store struct {
	table platform.Table
	reads *rate.Limiter
}

// New returns a Store that uses the given table service.
func New(table platform.Table) *Store {
	return &Store{table: table, reads: rate.NewLimiter(objectReadsPerSecond, objectReadsBurst)}
}

// Submit accepts the ticket in one transaction, or returns a ConflictError that names
// the accepted ticket and the object with which it conflicts. A transaction that loses
// a race is retried, and the outcome of a write whose response was lost is read back.
// Submitting an accepted ticket again succeeds and returns the accepted record.
//
// After platform.ErrUnavailable the ticket is not accepted. After
// platform.ErrUnknownOutcome it may have been accepted; submit the same ticket again.
func (s *Store) Submit(ctx context.Context, r state.Record) (state.Record, error) {
	maybeWritten := false
	var lastErr error
	for attempt := range maxAttempts {
		if attempt > 0 && !waitBackoff(ctx, attempt) {
			break
		}
		accepted, err := s.attempt(ctx, r)
		var conflict *ConflictError
		if err == nil || errors.As(err, &conflict) {
			return accepted, err
		}
		lastErr = err
		switch {
		case errors.Is(err, platform.ErrConflict):
		case errors.Is(err, platform.ErrUnknownOutcome):
			maybeWritten = true
		case !maybeWritten:
			return state.Record{}, err
		}
	}
	if maybeWritten {
		return state.Record{}, errors.Mark(errors.Wrapf(lastErr, "ticket %d may have been accepted", r.Number), platform.ErrUnknownOutcome)
	}
	return state.Record{}, errors.Wrapf(lastErr, "ticket %d", r.Number)
}

// waitBackoff waits before a retry, with exponential backoff and jitter. It returns
// false if the context ends first.
func waitBackoff(ctx context.Context, attempt int) bool {
	mean := baseBackoff << attempt
	select {
	case <-ctx.Done():
		return false
	case <-time.After(mean/2 + rand.N(mean)):
		return true
	}
}

// attempt runs one transaction. An error after which the write may have taken effect
// is marked with platform.ErrUnknownOutcome.
func (s *Store) attempt(ctx context.Context, r state.Record) (state.Record, error) {
	stored, err := s.Ticket(ctx, r.Number)
	if err == nil {
		return sameContent(stored, r)
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return state.Record{}, err
	}
	rows, err := s.objectRows(ctx, r, func(i int, row objectRow) error {
		if row.ticket >= r.Number {
			return &ConflictError{Number: r.Number, Winner: row.ticket, Object: r.Objects[i].Key.String()}
		}
		return nil
	})
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return s.confirmConflict(ctx, r, conflict)
	}
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

// confirmConflict reads the ticket again before a conflict is reported. The ticket may
// have been accepted since the first read, by another submission or by an earlier write
// of this one that took effect late. This can no longer happen once a larger ticket is
// in force.
func (s *Store) confirmConflict(ctx context.Context, r state.Record, conflict *ConflictError) (state.Record, error) {
	stored, err := s.Ticket(ctx, r.Number)
	switch {
	case err == nil:
		return sameContent(stored, r)
	case !errors.Is(err, platform.ErrNotFound):
		return state.Record{}, err
	default:
		return state.Record{}, conflict
	}
}

// commitError marks an error of a commit with platform.ErrUnknownOutcome unless the
// error guarantees that nothing was written.
func commitError(err error) error {
	notWritten := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable)
	if notWritten && !errors.Is(err, platform.ErrUnknownOutcome) {
		return err
	}
	return errors.Mark(err, platform.ErrUnknownOutcome)
}

func sameContent(stored, r state.Record) (state.Record, error) {
	if stored.Content != r.Content {
		return state.Record{}, &ConflictError{Number: r.Number, Winner: r.Number}
	}
	return stored, nil
}

// objectRow holds the number of the ticket in force for an object and the revision of
// the object's row.
type objectRow struct {
	ticket   uint64
	revision int64
}

// objectRows reads the rows of all objects of a ticket, in the same order. It returns the
// first error that check, which gets the index of the object, returns for one of them.
func (s *Store) objectRows(ctx context.Context, r state.Record, check func(i int, row objectRow) error) ([]objectRow, error) {
	rows := make([]objectRow, len(r.Objects))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for i, o := range r.Objects {
		group.Go(func() error {
			row, err := s.objectRow(ctx, o.Key)
			if err != nil {
				return err
			}
			rows[i] = row
			return check(i, row)
		})
	}
	return rows, group.Wait()
}

func (s *Store) objectRow(ctx context.Context, k state.Key) (objectRow, error) {
	if err := s.reads.Wait(ctx); err != nil {
		return objectRow{}, err
	}
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

// Ticket reads one accepted ticket. It returns platform.ErrNotFound if there is none
// with that number.
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
