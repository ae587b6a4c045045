package load

import (
	"hash/fnv"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalknot/verdict"
)

const (
	// The histograms hold microseconds up to five minutes with three digits.
	maxLatencyMicros   = 300_000_000
	significantDigits  = 3
	microsPerMilliunit = 1000
)

// Result is what became of the requests of one kind.
type Result struct {
	Kind string `json:"kind"`
	// Sent counts requests; each ends in exactly one of Ran, NotRun, MayHaveRun and Unanswered.
	Sent       int `json:"sent"`
	Ran        int `json:"ran"`
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	// Unanswered counts requests whose caller got no answer at all.
	Unanswered int `json:"unanswered"`
	// Failed counts requests whose answer is not a success, whatever the verdict.
	Failed int `json:"failed"`
	// Lost counts answers ran for requests that no target ran.
	Lost int `json:"lost"`
	// FalseNotRun counts answers not-run for requests that a target ran.
	FalseNotRun int `json:"false_not_run"`
	// Doubled counts requests that are not idempotent and ran more than once.
	Doubled int `json:"doubled"`
	// Crossed counts answers that belong to another request.
	Crossed int `json:"crossed"`
	// Cut counts answers that broke off inside their body.
	Cut int `json:"cut"`
	// Histogram holds the latency of answered requests in microseconds.
	Histogram *hdrhistogram.Histogram `json:"-"`
}

func newResult(kind string) *Result {
	return &Result{Kind: kind, Histogram: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

// PercentileMS returns a percentile of the latency in milliseconds.
func (r *Result) PercentileMS(p float64) float64 {
	return float64(r.Histogram.ValueAtPercentile(p)) / microsPerMilliunit
}

// Broken counts the requests for which a promise was broken.
func (r *Result) Broken() int {
	return r.Lost + r.FalseNotRun + r.Doubled + r.Crossed + r.Cut + r.Unanswered
}

// Add sums another result of the same kind into r.
func (r *Result) Add(o *Result) {
	r.Sent += o.Sent
	r.Ran += o.Ran
	r.NotRun += o.NotRun
	r.MayHaveRun += o.MayHaveRun
	r.Unanswered += o.Unanswered
	r.Failed += o.Failed
	r.Lost += o.Lost
	r.FalseNotRun += o.FalseNotRun
	r.Doubled += o.Doubled
	r.Crossed += o.Crossed
	r.Cut += o.Cut
	r.Histogram.Merge(o.Histogram)
}

// outcome is what one caller saw.
type outcome struct {
	shot     *shot
	id       string
	key      string
	target   string
	answered bool
	verdict  verdict.Verdict
	success  bool
	cut      bool
	crossed  bool
	// counted is false during the warm-up, whose latencies are left out.
	counted bool
	latency time.Duration
}

// tally collects outcomes. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	results  map[string]*Result
	outcomes []outcome
}

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
	r := t.results[o.shot.kind.Name]
	r.Sent++
	switch {
	case !o.answered:
		r.Unanswered++
	case o.verdict == verdict.Ran:
		r.Ran++
	case o.verdict == verdict.NotRun:
		r.NotRun++
	default:
		r.MayHaveRun++
	}
	if o.answered && !o.success {
		r.Failed++
	}
	if o.cut {
		r.Cut++
	}
	if o.crossed {
		r.Crossed++
	}
	if o.counted && o.success {
		_ = r.Histogram.RecordValue(min(max(1, o.latency.Microseconds()), maxLatencyMicros))
	}
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name) // a hash never fails to write
	return h.Sum64()
}
