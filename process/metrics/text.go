package metrics

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicroseconds is the largest duration that a histogram records, in microseconds.
	maxMicroseconds = 60_000_000
	// significantDigits is the precision of the recorded durations.
	significantDigits = 2
)

// Histogram records the distribution of durations. It is safe for concurrent use.
type Histogram struct {
	mu        sync.Mutex
	durations *hdrhistogram.Histogram
	sum       time.Duration
}

// percentiles lists the percentiles that are reported for a histogram.
var percentiles = []float64{50, 90, 99, 99.9}

// Observe records a duration. A duration above maxMicroseconds is recorded as
// maxMicroseconds.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sum += d
	_ = h.durations.RecordValue(min(maxMicroseconds, max(0, d.Microseconds()))) // always in range
}

// String returns the count and percentiles as JSON. It implements expvar.Var.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := `{"count":` + strconv.FormatInt(h.durations.TotalCount(), 10)
	for _, p := range percentiles {
		text += fmt.Sprintf(`,"p%v_us":%d`, p, h.durations.ValueAtQuantile(p))
	}
	return text + "}"
}

// Histogram returns the histogram with a name. It creates the histogram at the first use.
func (s *Set) Histogram(name string) *Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.vars[name].(*Histogram); ok {
		return h
	}
	h := &Histogram{durations: hdrhistogram.New(1, maxMicroseconds, significantDigits)}
	s.vars[name] = h
	return h
}

// TextHandler returns a handler that writes the metrics as lines of a name and a value. A
// histogram has lines for its count, its sum and its percentiles, in microseconds.
func (s *Set) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		for _, name := range s.Names() {
			s.mu.Lock()
			v := s.vars[name]
			s.mu.Unlock()
			if h, ok := v.(*Histogram); ok {
				h.write(w, name)
				continue
			}
			_, _ = fmt.Fprintf(w, "%s %s\n", name, v) // the client may have disconnected
		}
	})
}

func (h *Histogram) write(w io.Writer, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%s.count %d\n%s.sum_us %d\n", name, h.durations.TotalCount(), name, h.sum.Microseconds())
	for _, p := range percentiles {
		_, _ = fmt.Fprintf(w, "%s.p%v_us %d\n", name, p, h.durations.ValueAtQuantile(p))
	}
}
