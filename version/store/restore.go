package store

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
	"quetzalknot/version/state"
)

// WriteAgain writes an accepted ticket that a restored table lacks, in one transaction. An
// object for which the table has a larger ticket keeps that one. WriteAgain reports whether it
// wrote the ticket: it does not if the table has it, or has a larger ticket for each of its
// objects. It returns a ConflictError if the number is taken by a ticket with other content.
// After any other error the ticket may or may not have been written; call it again.
func (s *Store) WriteAgain(ctx context.Context, r state.Record) (bool, error) {
	stored, err := s.Ticket(ctx, r.Number)
	if err == nil {
		_, err = sameContent(stored, r)
		return false, err
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return false, err
	}
	rows, err := s.objectRows(ctx, r, func(int, objectRow) error { return nil })
	if err != nil {
		return false, err
	}
	conditions := []platform.Condition{{Key: ticketKey(r.Number)}}
	var writes []platform.Write
	for i, o := range r.Objects {
		conditions = append(conditions, platform.Condition{Key: objectKey(o.Key), Revision: rows[i].revision})
		if rows[i].ticket <= r.Number {
			writes = append(writes, platform.Write{Key: objectKey(o.Key), Value: strconv.AppendUint(nil, r.Number, 10)})
		}
	}
	if len(writes) == 0 {
		return false, nil
	}
	data, err := json.Marshal(r)
	if err != nil {
		return false, err
	}
	writes = append(writes, platform.Write{Key: ticketKey(r.Number), Value: data})
	if _, err := s.table.Commit(ctx, conditions, writes); err != nil {
		return false, commitError(err)
	}
	return true, nil
}
