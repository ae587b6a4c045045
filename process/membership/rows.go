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
	// RenewInterval is the mean time between two writes of a process's row: 910 hosts
	// write about 3 rows a second.
	RenewInterval = 5 * time.Minute
	// RowTerm is how long a row holds without renewal.
	RowTerm = 3 * RenewInterval
	// rowKept is how long a lapsed row stays before it is deleted.
	rowKept = 24 * time.Hour
	// maxDeleted bounds the rows that one read deletes.
	maxDeleted = 20
)

// ErrSuperseded reports that a later process has written the row of this host.
var ErrSuperseded = errors.New("another process runs as this host")

// Row is the row of a process in the table service.
type Row struct {
	Member
	// LeaseUntil is when the row lapses unless it is renewed.
	LeaseUntil time.Time `json:"lease_until"`
}

// Rows reads and writes the rows of processes.
type Rows struct {
	table platform.Table
}

// NewRows returns the rows in a table service.
func NewRows(table platform.Table) *Rows { return &Rows{table: table} }

// Incarnation returns an incarnation above that of every earlier process of the
// host that is known to the table service. While that is down, the clock gives it.
func (r *Rows) Incarnation(ctx context.Context, host string, now time.Time) uint64 {
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
		return Row{}, stored.Revision, nil // a row that cannot be read is replaced
	}
	return row, stored.Revision, nil
}

// Announce writes the row of this process, unless a later process has written it:
// then it returns ErrSuperseded. An error besides may mean that the row was written.
func (r *Rows) Announce(ctx context.Context, self Member, now time.Time) error {
	row, revision, err := r.read(ctx, self.Host)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	if row.Incarnation > self.Incarnation {
		return errors.Wrapf(ErrSuperseded, "host %s: incarnation %d is above %d", self.Host, row.Incarnation, self.Incarnation)
	}
	data, err := json.Marshal(Row{Member: self, LeaseUntil: now.Add(RowTerm)})
	if err != nil {
		return err
	}
	condition := platform.Condition{Key: hostPrefix + self.Host, Revision: revision}
	_, err = r.table.Commit(ctx, []platform.Condition{condition}, []platform.Write{{Key: condition.Key, Value: data}})
	return errors.Wrap(err, "announce")
}

// Changed reads a page of the rows written after a revision, without those that
// lapsed, and the revision to continue from. Rows that lapsed long ago are deleted.
func (r *Rows) Changed(ctx context.Context, after int64, limit int, now time.Time) (members []Member, next int64, more bool, err error) {
	page, err := r.table.Changes(ctx, hostPrefix, after, limit)
	if err != nil {
		return nil, after, false, errors.Wrap(err, "read members")
	}
	deleted := 0
	for _, stored := range page.Rows {
		var row Row
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			continue // the process replaces it when it renews
		}
		if row.LeaseUntil.After(now) {
			members = append(members, row.Member)
			continue
		}
		if now.Sub(row.LeaseUntil) > rowKept && deleted < maxDeleted {
			deleted++
			condition := platform.Condition{Key: stored.Key, Revision: stored.Revision}
			// A failure leaves the row for the next reader.
			_, _ = r.table.Commit(ctx, []platform.Condition{condition}, []platform.Write{{Key: stored.Key, Delete: true}})
		}
	}
	return members, page.Next, page.More, nil
}
