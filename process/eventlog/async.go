package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxPendingBytes bounds the buffer of lines that are not written yet.
	maxPendingBytes = 256 << 10
	// maxOrdinaryBytes is the size of the buffer above which only lines of failures are
	// accepted.
	maxOrdinaryBytes = maxPendingBytes / 2
	// flushInterval is the time between two writes.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter is a writer that never blocks. It buffers lines and writes them in batches
// from a goroutine. Lines that do not fit into the bounded buffer are dropped and counted.
// Part of the buffer is reserved for lines of failures, at level warn or above. AsyncWriter
// implements zerolog.LevelWriter.
type AsyncWriter struct {
	next    io.Writer
	dropped atomic.Int64
	// reportedDropped is the number of dropped lines that were reported to onDropped.
	reportedDropped int64
	stop            chan struct{}
	done            chan struct{}

	mu        sync.Mutex
	onDropped func(lines int64)
	pending   []byte
	spare     []byte
}

// NewAsyncWriter returns an AsyncWriter that writes to next until Close.
func NewAsyncWriter(next io.Writer) *AsyncWriter {
	a := &AsyncWriter{next: next, stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. Each call must pass one line. It never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) { return a.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel implements zerolog.LevelWriter. Like Write, it never returns an error.
func (a *AsyncWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	limit := maxOrdinaryBytes
	if level >= zerolog.WarnLevel && level < zerolog.NoLevel {
		limit = maxPendingBytes
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending)+len(line) > limit {
		a.dropped.Add(1)
		return len(line), nil
	}
	a.pending = append(a.pending, line...)
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the buffer was full.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

func (a *AsyncWriter) run() {
	defer close(a.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.flush()
		case <-a.stop:
			a.flush()
			return
		}
	}
}

func (a *AsyncWriter) flush() {
	a.reportDropped()
	a.mu.Lock()
	lines := a.pending
	a.pending = a.spare[:0]
	a.mu.Unlock()
	if len(lines) > 0 {
		_, _ = a.next.Write(lines) // there is no other log to report the error to
	}
	a.spare = lines
}

// reportDropped reports the lines that were dropped since its last call to onDropped.
func (a *AsyncWriter) reportDropped() {
	a.mu.Lock()
	report := a.onDropped
	a.mu.Unlock()
	if lines := a.dropped.Load() - a.reportedDropped; lines > 0 && report != nil {
		a.reportedDropped += lines
		report(lines)
	}
}

// OnDropped sets a function that is called with the number of lines that were dropped
// since its previous call. It is always called from the same goroutine, and may write a
// line itself.
func (a *AsyncWriter) OnDropped(report func(lines int64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onDropped = report
}

// Close writes the buffered lines and stops the goroutine. It blocks as long as the output
// does.
func (a *AsyncWriter) Close() {
	close(a.stop)
	<-a.done
}

// CloseBefore is Close, but returns at the deadline even if the output still blocks. Lines
// that are not written by then may be lost. It reports whether all were written.
func (a *AsyncWriter) CloseBefore(deadline time.Time) bool {
	close(a.stop)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-a.done:
		return true
	case <-timer.C:
		return false
	}
}
