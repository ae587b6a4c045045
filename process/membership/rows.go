package membership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
)

const (
	hostPrefix = "host/"
	// RenewInterval is the mean time between two writes of a process's row. With it,
	// 910 hosts write about 3 rows a second.
	RenewInterval = 5 * time.Minute
	// leavingRenewInterval is RenewInterval for a process that leaves. It is shorter so that the
	// row expires soon after the process has ended.
	leavingRenewInterval = 20 * time.Second
	// renewalsPerTerm is how many times RenewInterval a row is valid.
	renewalsPerTerm = 3
	// RowLeaseTerm is how long a row is valid after it was written, unless the process leaves.
	RowLeaseTerm = renewalsPerTerm * RenewInterval
	// expiredRowRetention is how long an expired row is kept before it is deleted.
	expiredRowRetention = 24 * time.Hour
	// maxDeletesPerRead bounds the rows that one call of Changed deletes.
	maxDeletesPerRead = 20
)

// ErrSuperseded reports that a process with a larger incarnation has written the row
// of this host.
var ErrSuperseded = errors.New("another process runs as this host")

// Row is the record of a process in the table service.
type Row struct {
	Member
	// LeaseUntil is when the row expires unless it is renewed.
	LeaseUntil time.Time `json:"lease_until"`
}

// Rows reads and writes the rows of processes in the table service.
type Rows struct {
	table platform.Table
}

// RowRenewInterval returns the mean time between two writes of the row of a process.
func RowRenewInterval(m Member) time.Duration {
	if m.Leaving {
		return leavingRenewInterval
	}
	return RenewInterval
}

// NewRows returns a Rows that uses the given table.
func NewRows(table platform.Table) *Rows { return &Rows{table: table} }

// NextIncarnation returns an incarnation larger than that of every earlier process of the
// host in the table service. While the table service is unavailable it is derived
// from the clock alone.
func (r *Rows) NextIncarnation(ctx context.Context, host string, now time.Time) uint64 {
	incarnation := uint64(now.UnixMilli())
	row, _, err := r.read(ctx, host)
	if err != nil {
		return incarnation
	}
	return max(incarnation, row.Incarnation+1)
}

func (r *Rows) read(ctx context.Context, host string) (Row, int64, error) {
	stored, err := r.table.Get(ctx, hostPrefix+host)
	if errors.Is(err, platform.ErrNotFound) {
		return Row{}, 0, nil
	}
	if err != nil {
		return Row{}, 0, err
	}
	var row Row
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return Row{}, stored.Revision, nil // a row that cannot be decoded is replaced
	}
	return row, stored.Revision, nil
}

// Announce writes the row of this process. It returns ErrSuperseded when a process
// with a larger incarnation has written the row. After any other error the row may or
// may not have been written.
func (r *Rows) Announce(ctx context.Context, self Member, now time.Time) error {
	row, revision, err := r.read(ctx, self.Host)
	if err != nil {
		return errors.Wrap(err, "read own member row")
	}
	if row.Incarnation > self.Incarnation {
		return errors.Wrapf(ErrSuperseded, "host %s: the row has incarnation %d, larger than own incarnation %d", self.Host, row.Incarnation, self.Incarnation)
	}
	data, err := json.Marshal(Row{Member: self, LeaseUntil: now.Add(renewalsPerTerm * RowRenewInterval(self))})
	if err != nil {
		return err
	}
	condition := platform.Condition{Key: hostPrefix + self.Host, Revision: revision}
	_, err = r.table.Commit(ctx, []platform.Condition{condition}, []platform.Write{{Key: condition.Key, Value: data}})
	return errors.Wrap(err, "write own member row")
}

// Changed reads a page of the rows written after a revision and returns those that have
// not expired, and the revision to continue from. It deletes rows
// that expired more than expiredRowRetention ago.
func (r *Rows) Changed(ctx context.Context, after int64, limit int, now time.Time) (rows []Row, next int64, more bool, err error) {
	page, err := r.table.Changes(ctx, hostPrefix, after, limit)
	if err != nil {
		return nil, after, false, errors.Wrap(err, "read member rows")
	}
	deleted := 0
	for _, stored := range page.Rows {
		var row Row
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			continue // cannot be decoded; the process replaces it at its next renewal
		}
		if row.LeaseUntil.After(now) {
			rows = append(rows, row)
			continue
		}
		if now.Sub(row.LeaseUntil) > expiredRowRetention && deleted < maxDeletesPerRead {
			deleted++
			condition := platform.Condition{Key: stored.Key, Revision: stored.Revision}
			// If the delete fails, a later call deletes the row.
			_, _ = r.table.Commit(ctx, []platform.Condition{condition}, []platform.Write{{Key: stored.Key, Delete: true}})
		}
	}
	return rows, page.Next, page.More, nil
}
