package caller

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestWorkersNeverWait: a function must start at once however many others run, also after
// end, and at most maxIdleWorkers goroutines may wait for more.
func TestWorkersNeverWait(t *testing.T) {
	w := newWorkers()
	for range 3 {
		const together = 4 * maxIdleWorkers
		var started, ended sync.WaitGroup
		release := make(chan struct{})
		started.Add(together)
		ended.Add(together)
		for range together {
			w.run(func() {
				defer ended.Done()
				started.Done()
				<-release
			})
		}
		started.Wait() // would block if one waited for another
		close(release)
		ended.Wait()
		eventually(t, "the goroutines are idle or have ended", waitLimit, func() bool { return w.idle.Load() == maxIdleWorkers })
	}
	w.end()
	eventually(t, "none is idle", waitLimit, func() bool { return w.idle.Load() == 0 })
	ran := make(chan struct{})
	w.run(func() { close(ran) })
	<-ran
}

// TestDateLine: the kept Date header must be that of the second asked for.
func TestDateLine(t *testing.T) {
	start := time.Date(2026, 2, 28, 23, 59, 58, 0, time.UTC)
	for i := range 40 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if got, want := dateLine(at), "Date: "+at.Format(http.TimeFormat); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
