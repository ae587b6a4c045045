package demo

import (
	"fmt"
	"io"
	"sync"
	"time"

	"quetzalknot/tools/lab/load"
)

const (
	// terminalInterval and plainInterval are the times between two lines.
	terminalInterval = 200 * time.Millisecond
	plainInterval    = 4 * time.Second
)

// progress shows how far the demo is. It is safe for concurrent use.
type progress struct {
	out      io.Writer
	terminal bool
	begin    time.Time

	mu       sync.Mutex
	finished int
	failed   int
	counted  int
	moved    int
}

func newProgress(out io.Writer, terminal bool) *progress {
	return &progress{out: out, terminal: terminal, begin: time.Now()}
}

func (p *progress) observe(f load.Finished, counts, moved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finished++
	if !f.Success {
		p.failed++
	}
	if counts {
		p.counted++
	}
	if moved {
		p.moved++
	}
}

// countMoved forgets the moved share so far, because a shift begins.
func (p *progress) countMoved() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counted = 0
	p.moved = 0
}

// movedShare returns the share of the shifted callers' requests that ran in the other region.
func (p *progress) movedShare() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counted == 0 {
		return 0
	}
	return float64(p.moved) / float64(p.counted)
}

// start shows a line every so often until the returned function is called.
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
				p.line()
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

func (p *progress) line() {
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

func (p *progress) note(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminal {
		fmt.Fprint(p.out, "\r\033[K")
	}
	fmt.Fprintln(p.out, text)
}
