package trace

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// readerQueue is how many entries wait for one reader; more are dropped and counted.
	readerQueue = 4096
	// readerLimit is how many readers may record at once.
	readerLimit = 4
	// defaultSeconds and maxSeconds bound one recording.
	defaultSeconds = 60
	maxSeconds     = 3600
	// flushInterval is the longest time that a line waits to be sent.
	flushInterval = time.Second
)

// Recorder passes finished requests to those who record. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	readers map[*reader]struct{}
}

type reader struct {
	entries chan Entry
	dropped int
}

// NewRecorder returns a recorder that nobody reads.
func NewRecorder() *Recorder { return &Recorder{readers: make(map[*reader]struct{})} }

// Add passes an entry to each reader. It never blocks.
func (r *Recorder) Add(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for reader := range r.readers {
		select {
		case reader.entries <- e:
		default:
			reader.dropped++
		}
	}
}

func (r *Recorder) open() *reader {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.readers) >= readerLimit {
		return nil
	}
	opened := &reader{entries: make(chan Entry, readerQueue)}
	r.readers[opened] = struct{}{}
	return opened
}

func (r *Recorder) close(closed *reader) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.readers, closed)
	return closed.dropped
}

// ServeHTTP streams a trace of the next ?seconds=N seconds, 60 by default.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	seconds := defaultSeconds
	if text := req.FormValue("seconds"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxSeconds {
			http.Error(w, fmt.Sprintf("seconds = %q: a number from 1 to %d", text, maxSeconds), http.StatusBadRequest)
			return
		}
		seconds = n
	}
	opened := r.open()
	if opened == nil {
		http.Error(w, fmt.Sprintf("%d recordings are under way; wait for one to end", readerLimit), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, Header+"\n")
	r.stream(w, req, opened, time.Duration(seconds)*time.Second)
	_, _ = fmt.Fprintf(w, "# %d entries were dropped\n", r.close(opened))
}

func (r *Recorder) stream(w http.ResponseWriter, req *http.Request, from *reader, length time.Duration) {
	start := time.Now()
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	end := time.NewTimer(length)
	defer end.Stop()
	control := http.NewResponseController(w)
	_ = control.Flush()
	for {
		select {
		case <-req.Context().Done():
			return
		case <-end.C:
			return
		case <-flush.C:
			_ = control.Flush() // the reader may be gone
		case e := <-from.entries:
			_, _ = io.WriteString(w, e.Line(start)+"\n")
		}
	}
}
