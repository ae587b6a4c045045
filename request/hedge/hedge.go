// Package hedge decides when a slow attempt is hedged: a second attempt is sent to
// another target, and the first response is used.
package hedge

import (
	"expvar"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/request"
	"quetzalknot/request/budget"
	"quetzalknot/request/latency"
	"quetzalknot/version/config"
)

var (
	evHedged   = eventlog.Define(4221, zerolog.InfoLevel, "hedged attempt sent")
	evAnswered = eventlog.Define(4222, zerolog.InfoLevel, "hedged request answered")
	evSkipped  = eventlog.Define(4223, zerolog.InfoLevel, "slow attempt not hedged")
)

const (
	// tailQuantile is the percentile of the run time after which an attempt is hedged.
	// If all targets are equally fast, this share of the requests is never hedged.
	tailQuantile   = 0.95
	medianQuantile = 0.5
	// medianFactor times the median run time is the maximum delay of a hedge. It
	// applies when many targets are slow, so that the tail percentile is itself the run
	// time of a slow target.
	medianFactor = 3
	// minDelay is the minimum delay of a hedge.
	minDelay = time.Millisecond
)

// Hedger decides on hedged attempts within a budget for each service. It is safe for
// concurrent use.
type Hedger struct {
	budget   *budget.Budget
	runTimes *latency.Tracker
	log      zerolog.Logger
	sent     *expvar.Int
	won      *expvar.Int
	skipped  *expvar.Int
}

// New returns a Hedger with empty budgets. It registers its metrics with m.
func New(times *latency.Tracker, m *metrics.Set, log zerolog.Logger) *Hedger {
	return &Hedger{
		budget: budget.New(0), runTimes: times, log: log,
		sent: m.Counter("hedge.sent_attempts"), won: m.Counter("hedge.won_attempts"),
		skipped: m.Counter("hedge.skipped_attempts"),
	}
}

// AddRequest counts the first attempt of a request, which adds a share of a hedged
// attempt to the budget of its service.
func (h *Hedger) AddRequest(info *request.Info) {
	share := info.Service.HedgeShare
	if share == 0 {
		share = config.DefaultHedgeShare
	}
	h.budget.AddRequest(info.Service.Name, share)
}

// Delay returns how long to wait for the first attempt before hedging it. It returns
// false for requests that are never hedged: those that are not idempotent, those of
// long classes, and those of classes with too few observed run times.
func (h *Hedger) Delay(info *request.Info) (time.Duration, bool) {
	if !info.Idempotent || info.Class.Long {
		return 0, false
	}
	now := time.Now()
	tail, ok := h.runTimes.Quantile(info, tailQuantile, now)
	if !ok {
		return 0, false
	}
	median, _ := h.runTimes.Quantile(info, medianQuantile, now)
	return max(minDelay, min(tail, medianFactor*median)), true
}

// Take takes one hedged attempt from the budget. It returns false when the budget is
// used up.
func (h *Hedger) Take(info *request.Info) bool {
	if h.budget.Take(info.Service.Name) {
		return true
	}
	h.Skipped(info, "hedge budget of the service is used up")
	return false
}

// NoFreeSlot returns a hedged attempt to the budget because no other target has a free
// slot.
func (h *Hedger) NoFreeSlot(info *request.Info) {
	h.budget.Refund(info.Service.Name)
	h.Skipped(info, "no other target has a free slot")
}

// Skipped counts and logs a slow attempt that is not hedged.
func (h *Hedger) Skipped(info *request.Info, reason string) {
	h.skipped.Add(1)
	evSkipped.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Str("reason", reason).Send()
}

// Sent counts and logs a hedged attempt.
func (h *Hedger) Sent(info *request.Info, first, second string, delay time.Duration) {
	h.sent.Add(1)
	evHedged.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Str("first", first).
		Str("second", second).Int64("delay_us", delay.Microseconds()).Send()
}

// Answered logs which attempt returned the first response, and counts those won by the
// hedged attempt.
func (h *Hedger) Answered(info *request.Info, target string, second bool) {
	if second {
		h.won.Add(1)
	}
	evAnswered.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Str("target", target).
		Bool("second", second).Send()
}
