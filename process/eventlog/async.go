package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// asyncBytes bounds the lines that wait to be written.
	asyncBytes = 256 << 10
	// ordinaryBytes bounds the waiting lines beyond which only those of failures find room.
	ordinaryBytes = asyncBytes / 2
	// asyncPause is the time between two writes.
	asyncPause = 100 * time.Millisecond
)

// Async is a writer that never blocks: lines wait in a bounded buffer and are written
// together. Lines that find no room are dropped and counted; those of failures, at level
// warn or above, have room that the others don't get. It implements zerolog.LevelWriter.
type Async struct {
	next    io.Writer
	dropped atomic.Int64
	// told is how many of the dropped lines onDropped knows of.
	told int64
	stop chan struct{}
	done chan struct{}

	mu        sync.Mutex
	onDropped func(lines int64)
	waiting   []byte
	spare     []byte
}

// NewAsync returns a writer in front of another, which it uses until Close.
func NewAsync(next io.Writer) *Async {
	a := &Async{next: next, stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. One call is one line; it never fails.
func (a *Async) Write(line []byte) (int, error) { return a.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel implements zerolog.LevelWriter, as Write does.
func (a *Async) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	room := ordinaryBytes
	if level >= zerolog.WarnLevel && level < zerolog.NoLevel {
		room = asyncBytes
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting)+len(line) > room {
		a.dropped.Add(1)
		return len(line), nil
	}
	a.waiting = append(a.waiting, line...)
	return len(line), nil
}

// Dropped returns how many lines found no room.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

func (a *Async) run() {
	defer close(a.done)
	ticker := time.NewTicker(asyncPause)
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

func (a *Async) flush() {
	a.tellDropped()
	a.mu.Lock()
	lines := a.waiting
	a.waiting = a.spare[:0]
	a.mu.Unlock()
	if len(lines) > 0 {
		_, _ = a.next.Write(lines) // there is no other place to report to
	}
	a.spare = lines
}

// tellDropped reports lines that were dropped since it was called last.
func (a *Async) tellDropped() {
	a.mu.Lock()
	tell := a.onDropped
	a.mu.Unlock()
	if lines := a.dropped.Load() - a.told; lines > 0 && tell != nil {
		a.told += lines
		tell(lines)
	}
}

// OnDropped makes tell be told how many lines were dropped since the last time. It is
// called by one goroutine, which may write a line itself.
func (a *Async) OnDropped(tell func(lines int64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onDropped = tell
}

// Close writes what waits and ends the writer.
func (a *Async) Close() {
	close(a.stop)
	<-a.done
}
