package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestTextListsCountersAndHistograms checks the text form of a counter, a gauge and a
// histogram.
func TestTextListsCountersAndHistograms(t *testing.T) {
	s := NewSet()
	s.Counter("requests").Add(3)
	s.Gauge("in_flight", func() int64 { return 2 })
	for i := range 100 {
		s.Histogram("latency").Observe(time.Duration(i) * time.Millisecond)
	}
	s.Histogram("latency").Observe(time.Hour)
	w := httptest.NewRecorder()
	s.TextHandler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{"requests 3\n", "in_flight 2\n", "latency.count 101\n", "latency.p50_us 50"} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("no %q in\n%s", want, w.Body)
		}
	}
}
