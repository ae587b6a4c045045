package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// blockedWriter is a writer that blocks until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestFloodNeverBlocks writes far more lines than fit into the buffer while the writer
// behind it is blocked. Writes must not block, and every line must be either written or
// counted as dropped.
func TestFloodNeverBlocks(t *testing.T) {
	const lines = 100_000
	next := &blockedWriter{open: make(chan struct{})}
	a := NewAsyncWriter(next)
	line := []byte(`{"event":4602,"request":"` + strings.Repeat("x", 200) + "\"}\n")
	start := time.Now()
	for range lines {
		if n, err := a.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("%d lines took %v while the writer was blocked", lines, took)
	}
	dropped := a.Dropped()
	close(next.open)
	a.Close()
	written := int64(strings.Count(next.got.String(), "\n"))
	if written+dropped != lines {
		t.Errorf("%d lines written and %d dropped of %d", written, dropped, lines)
	}
	if maxLines := int64(2 * maxOrdinaryBytes / len(line)); written == 0 || written > maxLines+1 {
		t.Errorf("%d lines were buffered, at most %d fit", written, maxLines)
	}
}

// TestLinesAreNotInterleaved writes from several goroutines: lines must not be interleaved.
func TestLinesAreNotInterleaved(t *testing.T) {
	next := &blockedWriter{open: make(chan struct{})}
	close(next.open)
	a := NewAsyncWriter(next)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 100 {
				_, _ = a.Write([]byte("one whole line\n"))
			}
		})
	}
	writers.Wait()
	a.Close()
	if text := next.got.String(); strings.Count(text, "one whole line\n") != 800 || len(text) != 800*len("one whole line\n") {
		t.Errorf("the output of 800 lines has %d bytes or is interleaved", len(text))
	}
}

// TestFailureLinesHaveReservedSpace writes lines of failures after ordinary lines have
// filled their part of the buffer: no line of a failure may be dropped.
func TestFailureLinesHaveReservedSpace(t *testing.T) {
	next := &blockedWriter{open: make(chan struct{})}
	a := NewAsyncWriter(next)
	var reported atomic.Int64
	a.OnDropped(func(lines int64) { reported.Add(lines) })
	log := New(a, "h1")
	ordinary := Event{Number: 1, Level: zerolog.InfoLevel, Message: "ordinary"}
	failure := Event{Number: 2, Level: zerolog.WarnLevel, Message: "failure"}
	for range 20_000 {
		ordinary.Log(log).Str("fact", strings.Repeat("x", 100)).Send()
	}
	const failures = 200
	for range failures {
		failure.Log(log).Send()
	}
	close(next.open)
	a.Close()
	text := next.got.String()
	if got := strings.Count(text, `"failure"`); got != failures {
		t.Errorf("%d of %d lines of failures were written", got, failures)
	}
	if a.Dropped() == 0 || reported.Load() != a.Dropped() {
		t.Errorf("%d lines were dropped, %d were reported", a.Dropped(), reported.Load())
	}
}

// TestCloseBeforeIsBounded closes the writer while the output is blocked: CloseBefore must
// return at the deadline. With an output that takes the lines it must write them all.
func TestCloseBeforeIsBounded(t *testing.T) {
	const limit = 50 * time.Millisecond
	blocked := &blockedWriter{open: make(chan struct{})}
	a := NewAsyncWriter(blocked)
	_, _ = a.Write([]byte("a line\n"))
	start := time.Now()
	if a.CloseBefore(start.Add(limit)) || time.Since(start) < limit || time.Since(start) > 5*time.Second {
		t.Errorf("with a blocked output CloseBefore returned after %v", time.Since(start))
	}
	close(blocked.open)
	<-a.done
	open := &blockedWriter{open: blocked.open}
	a = NewAsyncWriter(open)
	_, _ = a.Write([]byte("a line\n"))
	if !a.CloseBefore(time.Now().Add(5*time.Second)) || open.got.String() != "a line\n" {
		t.Errorf("wrote %q", open.got.String())
	}
}
