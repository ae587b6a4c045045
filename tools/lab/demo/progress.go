package demo

import (
	"fmt"
	"io"
	"sync"
	"time"

	"quetzalknot/tools/lab/load"
)

const (
	// terminalInterval and plainInterval are the intervals between progress lines, on
	// a terminal and elsewhere.
	terminalInterval = 200 * time.Millisecond
	plainInterval    = 4 * time.Second
)

// progress counts finished requests and prints progress lines. It is safe for concurrent use.
type progress struct {
	out      io.Writer
	terminal bool
	begin    time.Time

	mu       sync.Mutex
	finished int
	failed   int
	// eligible counts requests that the shift applies to; moved counts those of them
	// that ran in the region that it moves traffic to.
	eligible int
	moved    int
}

func newProgress(out io.Writer, terminal bool) *progress {
	return &progress{out: out, terminal: terminal, begin: time.Now()}
}

func (p *progress) observe(f load.FinishedRequest, eligible, moved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finished++
	if !f.Success {
		p.failed++
	}
	if eligible {
		p.eligible++
	}
	if moved {
		p.moved++
	}
}

// resetMoved resets the moved share when a shift begins.
func (p *progress) resetMoved() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.eligible = 0
	p.moved = 0
}

// movedShare returns the share of eligible requests that ran in the other region.
func (p *progress) movedShare() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.eligible == 0 {
		return 0
	}
	return float64(p.moved) / float64(p.eligible)
}

// start prints a line at each interval until the returned function is called.
func (p *progress) start() (stop func()) {
	interval := plainInterval
	if p.terminal {
		interval = terminalInterval
	}
	done := make(chan struct{})
	var ended sync.WaitGroup
	ended.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				p.writeLine()
			}
		}
	})
	return func() {
		close(done)
		ended.Wait()
		if p.terminal {
			fmt.Fprintln(p.out)
		}
	}
}

func (p *progress) writeLine() {
	share := p.movedShare()
	p.mu.Lock()
	defer p.mu.Unlock()
	text := fmt.Sprintf("%3.0f s  finished %6d  not served %4d  moved %4.1f%% of at most %.0f%%",
		time.Since(p.begin).Seconds(), p.finished, p.failed, share*100, shiftShare*100)
	if p.terminal {
		fmt.Fprintf(p.out, "\r%s", text)
		return
	}
	fmt.Fprintln(p.out, text)
}

// writeNote prints a line of its own; on a terminal it replaces the progress line.
func (p *progress) writeNote(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminal {
		fmt.Fprint(p.out, "\r\033[K")
	}
	fmt.Fprintln(p.out, text)
}
