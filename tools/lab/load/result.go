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
	// Latency histograms hold microseconds up to five minutes with three significant digits.
	maxLatencyMicros  = 300_000_000
	significantDigits = 3
	microsPerMilli    = 1000
)

// Result counts the outcomes of the requests of one kind.
type Result struct {
	Kind string `json:"kind"`
	// Sent counts requests; each ends in exactly one of Ran, NotRun, MayHaveRun and Unanswered.
	Sent       int `json:"sent"`
	Ran        int `json:"ran"`
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	// Unanswered counts requests whose caller received neither a response nor a verdict.
	Unanswered int `json:"unanswered"`
	// Failed counts requests with a verdict but without a successful response.
	Failed int `json:"failed"`
	// Lost counts requests with the verdict ran that no target ran.
	Lost int `json:"lost"`
	// FalseNotRun counts requests with the verdict not-run that a target ran.
	FalseNotRun int `json:"false_not_run"`
	// RanTwice counts requests that are not idempotent, or have an idempotency key, and
	// ran more than once.
	RanTwice int `json:"doubled"`
	// Mismatched counts successful responses that belong to another request or whose body is
	// not that of a target.
	Mismatched int `json:"crossed"`
	// Truncated counts responses whose body was truncated.
	Truncated int `json:"cut"`
	// Histogram holds the latency in microseconds of successful requests after the warm-up.
	Histogram *hdrhistogram.Histogram `json:"-"`
}

func newResult(kind string) *Result {
	return &Result{Kind: kind, Histogram: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

// PercentileMS returns a latency percentile in milliseconds; p is between 0 and 100.
func (r *Result) PercentileMS(p float64) float64 {
	return float64(r.Histogram.ValueAtPercentile(p)) / microsPerMilli
}

// Violations returns the number of guarantee violations: requests that were lost,
// falsely reported as not-run, run twice or left unanswered, and mismatched or
// truncated responses.
func (r *Result) Violations() int {
	return r.Lost + r.FalseNotRun + r.RanTwice + r.Mismatched + r.Truncated + r.Unanswered
}

// Add adds the counts and latencies of o to r.
func (r *Result) Add(o *Result) {
	r.Sent += o.Sent
	r.Ran += o.Ran
	r.NotRun += o.NotRun
	r.MayHaveRun += o.MayHaveRun
	r.Unanswered += o.Unanswered
	r.Failed += o.Failed
	r.Lost += o.Lost
	r.FalseNotRun += o.FalseNotRun
	r.RanTwice += o.RanTwice
	r.Mismatched += o.Mismatched
	r.Truncated += o.Truncated
	r.Histogram.Merge(o.Histogram)
}

// outcome is the result of one request as its caller saw it.
type outcome struct {
	scheduled *scheduledRequest
	id        string
	key       string
	target    string
	// answered is true when the caller received a response or an error with a verdict.
	answered   bool
	verdict    verdict.Verdict
	success    bool
	truncated  bool
	mismatched bool
	// afterWarmup is false for requests of the warm-up, whose latencies are excluded.
	afterWarmup bool
	latency     time.Duration
}

// tally collects and counts outcomes. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	results  map[string]*Result
	outcomes []outcome
}

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
	r := t.results[o.scheduled.kind.Name]
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
	if o.truncated {
		r.Truncated++
	}
	if o.mismatched {
		r.Mismatched++
	}
	if o.afterWarmup && o.success {
		_ = r.Histogram.RecordValue(min(max(1, o.latency.Microseconds()), maxLatencyMicros))
	}
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name) // writing to a hash never fails
	return h.Sum64()
}
