package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncBytes bounds the lines that wait to be written.
	asyncBytes = 256 << 10
	// asyncPause is the time between two writes.
	asyncPause = 100 * time.Millisecond
)

// Async is a writer that never blocks: lines wait in a bounded buffer and are written
// together. Lines that find no room are dropped and counted.
type Async struct {
	next    io.Writer
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	waiting []byte
	spare   []byte
}

// NewAsync returns a writer in front of another, which it uses until Close.
func NewAsync(next io.Writer) *Async {
	a := &Async{next: next, stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. One call is one line; it never fails.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting)+len(line) > asyncBytes {
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
	a.mu.Lock()
	lines := a.waiting
	a.waiting = a.spare[:0]
	a.mu.Unlock()
	if len(lines) > 0 {
		_, _ = a.next.Write(lines) // there is no other place to report to
	}
	a.spare = lines
}

// Close writes what waits and ends the writer.
func (a *Async) Close() {
	close(a.stop)
	<-a.done
}
