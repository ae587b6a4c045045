package caller

import (
	"sync"
	"sync/atomic"
)

// maxIdleWorkers bounds the goroutines of a server that wait for a request to serve.
const maxIdleWorkers = 64

// workers run functions in goroutines that are used again, since a new goroutine would have
// to grow its stack for each request.
type workers struct {
	// next hands a function to an idle goroutine.
	next chan func()
	// idle counts the idle goroutines.
	idle atomic.Int64
	// ended is closed once no goroutine is to become idle any more.
	ended   chan struct{}
	endOnce sync.Once
}

func newWorkers() *workers {
	return &workers{next: make(chan func()), ended: make(chan struct{})}
}

// run runs f in a goroutine.
func (w *workers) run(f func()) {
	select {
	case w.next <- f:
	default:
		go w.work(f)
	}
}

// work runs f and then other functions, until enough goroutines are idle or end was called.
func (w *workers) work(f func()) {
	for f != nil {
		f()
		f = w.await()
	}
}

// await waits for a function. It returns nil if the goroutine is to end.
func (w *workers) await() func() {
	defer w.idle.Add(-1)
	if w.idle.Add(1) > maxIdleWorkers {
		return nil
	}
	select {
	case f := <-w.next:
		return f
	case <-w.ended:
		return nil
	}
}

// end lets the idle goroutines end. Functions that are passed to run later are still run.
func (w *workers) end() { w.endOnce.Do(func() { close(w.ended) }) }

// handlerGroup counts the handlers of a connection, which run in the server's goroutines.
type handlerGroup struct {
	workers *workers
	running sync.WaitGroup
}

// Go runs f in a goroutine.
func (g *handlerGroup) Go(f func()) {
	g.running.Add(1)
	g.workers.run(func() {
		defer g.running.Done()
		f()
	})
}

// Wait waits until all functions have returned.
func (g *handlerGroup) Wait() { g.running.Wait() }
