package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"quetzalknot/platform"
)

const (
	// rowRetention is how long a claim or a response stays in the table service.
	rowRetention = 24 * time.Hour
	// sweepInterval is the average time between two sweeps by any of the hosts. Each
	// host sweeps on average once per sweepInterval times the number of hosts.
	sweepInterval = 10 * time.Minute
	// sweepPageRows is the number of rows that are read at a time.
	sweepPageRows = 200
)

// sweepLoop deletes expired rows at random intervals. The average interval is
// proportional to the number of hosts, so that the total load on the table service does
// not grow with it.
func (c *Claims) sweepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		average := sweepInterval * time.Duration(max(1, c.opts.Hosts()))
		sleep(ctx, time.Duration(rand.Float64()*2*float64(average)))
		if ctx.Err() != nil {
			return
		}
		n := c.sweep(ctx, claimPrefix) + c.sweep(ctx, responsePrefix)
		if n > 0 {
			evRowsDeleted.Log(c.log).Int("rows", n).Send()
		}
	}
}

// sweep deletes the rows under prefix that are older than rowRetention, oldest first,
// and returns how many. It relies on the table service to return rows in order of age.
func (c *Claims) sweep(ctx context.Context, prefix string) int {
	deleted := 0
	cutoff := c.opts.Now().Add(-rowRetention)
	for after := int64(0); ; {
		page, err := c.opts.Table.Changes(ctx, prefix, after, sweepPageRows)
		if err != nil {
			return deleted
		}
		writes := expiredRows(page.Rows, cutoff)
		if len(writes) == 0 {
			return deleted
		}
		if _, err := c.opts.Table.Commit(ctx, nil, writes); err != nil {
			return deleted
		}
		deleted += len(writes)
		after = page.Next
		if !page.More || len(writes) < len(page.Rows) {
			return deleted
		}
	}
}

// expiredRows returns deletions of the leading rows that were written at or before
// cutoff.
func expiredRows(rows []platform.Row, cutoff time.Time) []platform.Write {
	var writes []platform.Write
	for _, row := range rows {
		var timestamped struct {
			At time.Time `json:"at"`
		}
		if json.Unmarshal(row.Value, &timestamped) != nil || timestamped.At.After(cutoff) {
			break
		}
		writes = append(writes, platform.Write{Key: row.Key, Delete: true})
	}
	return writes
}
