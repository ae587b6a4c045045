package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
)

const (
	// batchRows is how many rows one commit writes at most.
	batchRows = 64
	// writesPerSecond is what all hosts together may spend on commits.
	writesPerSecond = 150
	// minCommitInterval is the least time between two commits of one host.
	minCommitInterval = 10 * time.Millisecond
	// commitTimeout bounds one commit.
	commitTimeout = 3 * time.Second
	// queueRows is how many rows may wait for a commit.
	queueRows = 1024
)

// row is a row that waits for a commit.
type row struct {
	ctx   context.Context
	write platform.Write
	// fresh requires that the row does not exist yet.
	fresh bool
	done  chan<- error
}

// batcher groups rows into commits, so that the number of writes does not grow with
// the number of requests.
type batcher struct {
	table platform.Table
	// hosts returns how many hosts share the table service.
	hosts func() int
	queue chan row
}

func newBatcher(table platform.Table, hosts func() int) *batcher {
	return &batcher{table: table, hosts: hosts, queue: make(chan row, queueRows)}
}

// write commits one row with others. ErrConflict means that a fresh row exists;
// ErrUnknownOutcome that the row may have been written.
func (b *batcher) write(ctx context.Context, w platform.Write, fresh bool) error {
	done := make(chan error, 1)
	select {
	case b.queue <- row{ctx: ctx, write: w, fresh: fresh, done: done}:
	default:
		return errors.Wrap(platform.ErrUnavailable, "too many rows wait")
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Mark(context.Cause(ctx), platform.ErrUnknownOutcome)
	}
}

// run commits until ctx ends.
func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			rows := b.fill(first)
			started := time.Now()
			b.commit(ctx, rows)
			pause(ctx, b.interval()-time.Since(started))
		}
	}
}

// interval is the least time between the starts of two commits. It grows with the
// number of hosts, so that all together keep to writesPerSecond.
func (b *batcher) interval() time.Duration {
	shared := time.Duration(b.hosts()) * time.Second / writesPerSecond
	return max(minCommitInterval, shared)
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// fill adds what waits to the first row.
func (b *batcher) fill(first row) []row {
	rows := []row{first}
	for len(rows) < batchRows {
		select {
		case next := <-b.queue:
			if next.ctx.Err() != nil {
				next.done <- next.ctx.Err()
				continue
			}
			rows = append(rows, next)
		default:
			return rows
		}
	}
	return rows
}

// commit writes the rows at once, or one by one when one of them is not fresh.
func (b *batcher) commit(ctx context.Context, rows []row) {
	err := b.commitOnce(ctx, rows)
	if errors.Is(err, platform.ErrConflict) && len(rows) > 1 {
		for i := range rows {
			rows[i].done <- b.commitOnce(ctx, rows[i:i+1])
		}
		return
	}
	for _, r := range rows {
		r.done <- err
	}
}

func (b *batcher) commitOnce(ctx context.Context, rows []row) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	var conditions []platform.Condition
	writes := make([]platform.Write, len(rows))
	for i, r := range rows {
		writes[i] = r.write
		if r.fresh {
			conditions = append(conditions, platform.Condition{Key: r.write.Key})
		}
	}
	_, err := b.table.Commit(ctx, conditions, writes)
	return err
}
