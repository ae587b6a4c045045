package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"quetzalknot/platform"
)

const (
	// rowTime is how long a claim or answer stays in the table service.
	rowTime = 24 * time.Hour
	// sweepPerHost is the average time between two sweeps, for each host.
	sweepPerHost = 10 * time.Minute
	// sweepRows is how many rows one step reads.
	sweepRows = 200
)

// sweepLoop deletes old rows. The more hosts there are, the more seldom each sweeps.
func (c *Claims) sweepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		average := sweepPerHost * time.Duration(max(1, c.opts.Hosts()))
		pause(ctx, time.Duration(rand.Float64()*2*float64(average)))
		if ctx.Err() != nil {
			return
		}
		n := c.sweep(ctx, claimPrefix) + c.sweep(ctx, answerPrefix)
		if n > 0 {
			evSwept.Log(c.log).Int("rows", n).Send()
		}
	}
}

// sweep deletes the rows below prefix that are older than rowTime, oldest first,
// and returns how many. Rows are in order of their age.
func (c *Claims) sweep(ctx context.Context, prefix string) int {
	deleted := 0
	oldest := c.opts.Now().Add(-rowTime)
	for after := int64(0); ; {
		page, err := c.opts.Table.Changes(ctx, prefix, after, sweepRows)
		if err != nil {
			return deleted
		}
		writes := oldRows(page.Rows, oldest)
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

func oldRows(rows []platform.Row, oldest time.Time) []platform.Write {
	var writes []platform.Write
	for _, row := range rows {
		var aged struct {
			At time.Time `json:"at"`
		}
		if json.Unmarshal(row.Value, &aged) != nil || aged.At.After(oldest) {
			break
		}
		writes = append(writes, platform.Write{Key: row.Key, Delete: true})
	}
	return writes
}
