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

// stuck is a writer that takes nothing until it is let go.
type stuck struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestFloodNeverBlocks writes far more than finds room while nothing is taken, and
// counts what is dropped.
func TestFloodNeverBlocks(t *testing.T) {
	const lines = 100_000
	next := &stuck{open: make(chan struct{})}
	a := NewAsync(next)
	line := []byte(`{"event":4602,"request":"` + strings.Repeat("x", 200) + "\"}\n")
	start := time.Now()
	for range lines {
		if n, err := a.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("%d lines took %v while nothing was taken", lines, took)
	}
	dropped := a.Dropped()
	close(next.open)
	a.Close()
	written := int64(strings.Count(next.got.String(), "\n"))
	if written+dropped != lines {
		t.Errorf("%d lines written and %d dropped of %d", written, dropped, lines)
	}
	if most := int64(2 * ordinaryBytes / len(line)); written == 0 || written > most+1 {
		t.Errorf("%d lines waited, at most %d have room", written, most)
	}
}

// TestLinesStayWhole writes from several goroutines.
func TestLinesStayWhole(t *testing.T) {
	next := &stuck{open: make(chan struct{})}
	close(next.open)
	a := NewAsync(next)
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
		t.Errorf("%d bytes of 800 lines", len(text))
	}
}

// TestFailuresFindRoomInAFlood writes lines of failures after ordinary ones have taken
// all the room that they get.
func TestFailuresFindRoomInAFlood(t *testing.T) {
	next := &stuck{open: make(chan struct{})}
	a := NewAsync(next)
	var told atomic.Int64
	a.OnDropped(func(lines int64) { told.Add(lines) })
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
		t.Errorf("%d of %d lines of failures were kept", got, failures)
	}
	if a.Dropped() == 0 || told.Load() != a.Dropped() {
		t.Errorf("%d lines were dropped, %d were told of", a.Dropped(), told.Load())
	}
}
