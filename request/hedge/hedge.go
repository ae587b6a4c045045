// Package hedge decides when a slow attempt gets a second one beside it, at
// another target, of which the first answer counts.
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
	evHedged  = eventlog.Define(4221, zerolog.InfoLevel, "second attempt sent beside a slow one")
	evSettled = eventlog.Define(4222, zerolog.InfoLevel, "hedged request settled")
	evSkipped = eventlog.Define(4223, zerolog.InfoLevel, "slow attempt not hedged")
)

const (
	// tailQuantile is the share of requests that are never hedged when all targets
	// are alike.
	tailQuantile   = 0.95
	medianQuantile = 0.5
	// medianFactor times the median is a late enough hedge when many targets are
	// slow and the tail quantile is itself a slow one.
	medianFactor = 3
	// minDelay bounds the delay from below.
	minDelay = time.Millisecond
)

// Hedger decides on hedges within a budget for each service. It is safe for
// concurrent use.
type Hedger struct {
	budget  *budget.Budget
	times   *latency.Tracker
	log     zerolog.Logger
	sent    *expvar.Int
	won     *expvar.Int
	skipped *expvar.Int
}

// New returns a Hedger with empty budgets. It adds its figures to m.
func New(times *latency.Tracker, m *metrics.Set, log zerolog.Logger) *Hedger {
	return &Hedger{
		budget: budget.New(0), times: times, log: log,
		sent: m.Counter("hedge.sent_attempts"), won: m.Counter("hedge.won_attempts"),
		skipped: m.Counter("hedge.skipped_attempts"),
	}
}

// Begin notes the first attempt of a request, which earns a share of a hedge.
func (h *Hedger) Begin(info *request.Info) {
	share := info.Service.HedgeShare
	if share == 0 {
		share = config.DefaultHedgeShare
	}
	h.budget.Earn(info.Service.Name, share)
}

// Delay returns how long the first attempt runs alone. It returns false for
// requests that are never hedged: those that are not idempotent, long work, and
// classes whose run times are not known yet.
func (h *Hedger) Delay(info *request.Info) (time.Duration, bool) {
	if !info.Idempotent || info.Class.Long {
		return 0, false
	}
	tail, ok := h.times.Quantile(info, tailQuantile)
	if !ok {
		return 0, false
	}
	median, _ := h.times.Quantile(info, medianQuantile)
	return max(minDelay, min(tail, medianFactor*median)), true
}

// Take spends one hedge. It returns false when the budget is used up.
func (h *Hedger) Take(info *request.Info) bool {
	if h.budget.Take(info.Service.Name) {
		return true
	}
	h.Skipped(info, "hedge budget of the service is used up")
	return false
}

// NoRoom gives a hedge back for which no other target has a free slot.
func (h *Hedger) NoRoom(info *request.Info) {
	h.budget.GiveBack(info.Service.Name)
	h.Skipped(info, "no other target has a free slot")
}

// Skipped logs why a slow attempt got none beside it.
func (h *Hedger) Skipped(info *request.Info, reason string) {
	h.skipped.Add(1)
	evSkipped.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Str("reason", reason).Send()
}

// Sent logs a second attempt.
func (h *Hedger) Sent(info *request.Info, first, second string, delay time.Duration) {
	h.sent.Add(1)
	evHedged.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Str("first", first).
		Str("second", second).Int64("delay_us", delay.Microseconds()).Send()
}

// Settled logs which attempt was answered first.
func (h *Hedger) Settled(info *request.Info, target string, second bool) {
	if second {
		h.won.Add(1)
	}
	evSettled.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Str("target", target).
		Bool("second", second).Send()
}
