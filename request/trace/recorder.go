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
	// subscriberQueue is the number of entries buffered for a subscriber; entries over it
	// are dropped and counted.
	subscriberQueue = 4096
	// maxSubscribers is the number of recordings that may run at the same time.
	maxSubscribers = 4
	// defaultSeconds and maxSeconds are the default and the longest duration of a recording.
	defaultSeconds = 60
	maxSeconds     = 3600
	// flushInterval is the longest time for which a line is buffered before it is sent.
	flushInterval = time.Second
)

// Recorder sends finished requests to the running recordings. It is safe for concurrent use.
type Recorder struct {
	mu          sync.Mutex
	subscribers map[*subscriber]struct{}
}

// subscriber is one running recording.
type subscriber struct {
	entries chan Entry
	dropped int
}

// NewRecorder returns a recorder without subscribers.
func NewRecorder() *Recorder { return &Recorder{subscribers: make(map[*subscriber]struct{})} }

// Add sends an entry to each subscriber. It never blocks.
func (r *Recorder) Add(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for sub := range r.subscribers {
		select {
		case sub.entries <- e:
		default:
			sub.dropped++
		}
	}
}

// subscribe adds a subscriber, or returns nil when there are too many.
func (r *Recorder) subscribe() *subscriber {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.subscribers) >= maxSubscribers {
		return nil
	}
	sub := &subscriber{entries: make(chan Entry, subscriberQueue)}
	r.subscribers[sub] = struct{}{}
	return sub
}

// unsubscribe removes a subscriber and returns how many entries were dropped.
func (r *Recorder) unsubscribe(sub *subscriber) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, sub)
	return sub.dropped
}

// ServeHTTP streams a trace of the requests that finish within the next ?seconds=N seconds,
// 60 by default.
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
	sub := r.subscribe()
	if sub == nil {
		http.Error(w, fmt.Sprintf("%d recordings are under way; wait for one to end", maxSubscribers), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, Header+"\n")
	r.stream(w, req, sub, time.Duration(seconds)*time.Second)
	_, _ = fmt.Fprintf(w, "# %d entries were dropped\n", r.unsubscribe(sub))
}

// stream writes the entries of a subscriber until the time is over or the client disconnects.
func (r *Recorder) stream(w http.ResponseWriter, req *http.Request, sub *subscriber, length time.Duration) {
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
			_ = control.Flush() // the client may have disconnected
		case e := <-sub.entries:
			_, _ = io.WriteString(w, e.Line(start)+"\n")
		}
	}
}
