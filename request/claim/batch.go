package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
)

const (
	// maxBatchRows is the maximum number of rows in one commit.
	maxBatchRows = 64
	// commitsPerSecond is the maximum commit rate of all hosts together.
	commitsPerSecond = 150
	// minCommitInterval is the minimum time between two commits of one host.
	minCommitInterval = 10 * time.Millisecond
	// commitTimeout bounds one commit.
	commitTimeout = 3 * time.Second
	// maxQueuedRows is how many rows may wait for a commit.
	maxQueuedRows = 1024
)

// pendingRow is a row that waits to be committed.
type pendingRow struct {
	ctx   context.Context
	write platform.Write
	// mustNotExist requires that the row does not exist yet.
	mustNotExist bool
	done         chan<- error
}

// batcher groups rows into commits, so that the number of commits does not grow with
// the number of requests.
type batcher struct {
	table platform.Table
	// hosts returns how many hosts share the table service.
	hosts func() int
	queue chan pendingRow
}

func newBatcher(table platform.Table, hosts func() int) *batcher {
	return &batcher{table: table, hosts: hosts, queue: make(chan pendingRow, maxQueuedRows)}
}

// write commits one row, batched with others. It returns ErrConflict when a row that
// must not exist exists, and ErrUnknownOutcome when the row may or may not have been
// written. When too many rows wait it returns ErrUnavailable at once.
func (b *batcher) write(ctx context.Context, w platform.Write, mustNotExist bool) error {
	done := make(chan error, 1)
	select {
	case b.queue <- pendingRow{ctx: ctx, write: w, mustNotExist: mustNotExist, done: done}:
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

// run commits queued rows until ctx ends.
func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			rows := b.collect(first)
			started := time.Now()
			b.commit(ctx, rows)
			sleep(ctx, b.commitInterval()-time.Since(started))
		}
	}
}

// commitInterval returns the minimum time between the starts of two commits. It grows
// with the number of hosts, so that all hosts together keep to commitsPerSecond.
func (b *batcher) commitInterval() time.Duration {
	shared := time.Duration(b.hosts()) * time.Second / commitsPerSecond
	return max(minCommitInterval, shared)
}

func sleep(ctx context.Context, d time.Duration) {
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

// collect adds queued rows to the first one until the batch is full or the queue is
// empty. Queued rows whose context has ended are not written.
func (b *batcher) collect(first pendingRow) []pendingRow {
	rows := []pendingRow{first}
	for len(rows) < maxBatchRows {
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

// commit writes the rows in one commit. When a row that must not exist exists, it
// commits each row on its own.
func (b *batcher) commit(ctx context.Context, rows []pendingRow) {
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

func (b *batcher) commitOnce(ctx context.Context, rows []pendingRow) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	var conditions []platform.Condition
	writes := make([]platform.Write, len(rows))
	for i, r := range rows {
		writes[i] = r.write
		if r.mustNotExist {
			conditions = append(conditions, platform.Condition{Key: r.write.Key})
		}
	}
	_, err := b.table.Commit(ctx, conditions, writes)
	return err
}
