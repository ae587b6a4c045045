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
	// histogramMost is the largest time that a histogram tells apart, in microseconds.
	histogramMost = 60_000_000
	// histogramDigits is the number of significant digits of its times.
	histogramDigits = 2
)

// Histogram counts times. It is safe for concurrent use.
type Histogram struct {
	mu    sync.Mutex
	times *hdrhistogram.Histogram
	sum   time.Duration
}

// quantiles are those that a histogram is printed with.
var quantiles = []float64{50, 90, 99, 99.9}

// Observe counts one time. Times above the largest count as the largest.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sum += d
	_ = h.times.RecordValue(min(histogramMost, max(0, d.Microseconds()))) // always in range
}

// String returns the histogram as JSON, as expvar asks for it.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := `{"count":` + strconv.FormatInt(h.times.TotalCount(), 10)
	for _, q := range quantiles {
		text += fmt.Sprintf(`,"p%v_us":%d`, q, h.times.ValueAtQuantile(q))
	}
	return text + "}"
}

// Histogram returns the histogram of a name, made at its first use.
func (s *Set) Histogram(name string) *Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.vars[name].(*Histogram); ok {
		return h
	}
	h := &Histogram{times: hdrhistogram.New(1, histogramMost, histogramDigits)}
	s.vars[name] = h
	return h
}

// Text returns a handler that writes the figures as lines of text: a name and a value,
// and for a histogram its count, its sum and some quantiles in microseconds.
func (s *Set) Text() http.Handler {
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
			_, _ = fmt.Fprintf(w, "%s %s\n", name, v) // the reader may be gone
		}
	})
}

func (h *Histogram) write(w io.Writer, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%s.count %d\n%s.sum_us %d\n", name, h.times.TotalCount(), name, h.sum.Microseconds())
	for _, q := range quantiles {
		_, _ = fmt.Fprintf(w, "%s.p%v_us %d\n", name, q, h.times.ValueAtQuantile(q))
	}
}
