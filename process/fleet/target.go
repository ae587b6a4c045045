package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadReportHalfLife is the half-life of the weight of a target's last load report.
	loadReportHalfLife = 300 * time.Millisecond
	// runFactorHalfLife is the half-life of the weight of the last reported run-time
	// factor.
	runFactorHalfLife = 400 * time.Millisecond
	// meanDecayHalfLife is the half-life of the moving averages of reports while none
	// arrive, so that a target that was overloaded is tried again.
	meanDecayHalfLife = 4 * time.Second
	// meanWeight is the weight of a new sample in the moving averages.
	meanWeight = 0.1
	// failureRateWeight is the weight of a new outcome in the failure rate.
	failureRateWeight = 0.12
	// failureRateHalfLife is the half-life of the failure rate while no requests end.
	failureRateHalfLife = 3 * time.Second
	// maxRecentObjects bounds the objects remembered for a target.
	maxRecentObjects = 64
	// latencyRatioHalfLife is the half-life of the latency ratio's distance from 1, so
	// that a slow target is tried again.
	latencyRatioHalfLife = 3 * time.Second
	// latencyRatioWeight is the weight of a new sample in the latency ratio; samples are
	// clamped to minLatencyRatio and maxLatencyRatio.
	latencyRatioWeight               = 0.2
	minLatencyRatio, maxLatencyRatio = 0.6, 6.0
	// overdueMargin is added to expected times, so that small delays do not count as
	// slowness of short requests.
	overdueMargin = 60 * time.Millisecond
	// overdueRatio is the multiple of the expected time after which an open request is
	// overdue; minOverdue is how many overdue requests show that the target is slow.
	overdueRatio = 2.5
	minOverdue   = 2
	// initialRunTime is the assumed run time before the first request.
	initialRunTime = 400 * time.Millisecond
	// initialCheckDelay and maxCheckDelay bound the exponential backoff between health
	// checks of a target that is down.
	initialCheckDelay = 250 * time.Millisecond
	maxCheckDelay     = 2 * time.Second
)

// Entry is a target's report of its address and state.
type Entry struct {
	ID      string
	Service string
	// Addr is the IP address and port.
	Addr          string
	FailureDomain string
	Region        string
	Slots         int
	// Leaving targets take no new requests.
	Leaving bool
	// ColdRemaining is the remaining duration of the target's cold start.
	ColdRemaining time.Duration
	// Born is the target's start time in Unix milliseconds; Sequence numbers its reports.
	Born, Sequence int64
}

// Load is a target's load report.
type Load struct {
	Running, Waiting, Slots int
	// RunFactor is the run-time factor: the target's current run time as a multiple of the
	// usual one.
	RunFactor float64
}

// Target is a target and this host's observations of it. All fields and methods are
// guarded by the Fleet's lock.
type Target struct {
	Entry
	// InFlight is the number of requests that this host has in flight at the target.
	InFlight int
	// hash is the hash of the target's ID.
	hash uint64
	// Sent is the number of requests that this host has sent to the target.
	Sent int64
	// RTT is the shortest time in which a connection was opened.
	RTT time.Duration

	loadReport Load
	loadAt     time.Time
	// otherLoad is the number of requests of other hosts at the last load report,
	// meanOtherLoad its moving average.
	otherLoad     float64
	meanOtherLoad float64
	// runFactor is the last reported run-time factor, meanRunFactor its moving average.
	runFactor     float64
	meanRunFactor float64
	// meanRunTime is the moving average of the expected run times of the requests sent.
	meanRunTime time.Duration
	// failureRate is the failure rate at failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// latencyRatio is the moving average of the actual divided by the expected latency, at
	// latencyRatioAt.
	latencyRatio   float64
	latencyRatioAt time.Time
	// openRequests are the requests in flight by their number.
	openRequests map[uint64]openRequest
	lastNumber   uint64
	// waitingSince is the later of the end of the last request that was not cancelled and
	// the start of the first request in flight.
	waitingSince time.Time

	coldUntil time.Time
	// maybeCold targets were down or evacuated, and no health check has shown since
	// whether they are cold.
	maybeCold   bool
	down        bool
	checkDelay  time.Duration
	nextCheckAt time.Time
	checking    bool
	removeAt    time.Time
	// sendTimes holds the times of the requests sent within the longest window of a quota before the
	// last one, oldest first, at most maxSendTimes.
	sendTimes []time.Time
	// notices are what the target has said of itself in responses.
	notices notices
	// joined targets are newcomers: they were added after the host's own start had
	// settled.
	joined bool

	// recentObjects holds when each object was last sent to the target.
	recentObjects map[uint64]time.Time
}

// openRequest is a request without a response yet.
type openRequest struct {
	sentAt   time.Time
	expected time.Duration
}

// Work is the expected cost of a request for a target.
type Work struct {
	// Object is the hash of the object that the request concerns; 0 means none.
	Object uint64
	// RunTime is the expected run time at a run-time factor of 1; Expected is the expected
	// latency, that is, the time to the response.
	RunTime, Expected time.Duration
}

func newTarget(e Entry, now time.Time) *Target {
	t := &Target{Entry: e, hash: xxhash.Sum64String(e.ID), runFactor: 1, meanRunFactor: 1, meanRunTime: initialRunTime, latencyRatio: 1, recentObjects: make(map[uint64]time.Time), openRequests: make(map[uint64]openRequest)}
	t.coldUntil = now.Add(e.ColdRemaining)
	return t
}

// IsCold reports whether the target is or may be cold.
func (t *Target) IsCold(now time.Time) bool { return t.maybeCold || now.Before(t.coldUntil) }

// Score returns the rendezvous hashing score of the target for a key.
func (t *Target) Score(key uint64) uint64 { return mixBits(key ^ t.hash) }

// IsDown reports whether the target is down.
func (t *Target) IsDown() bool { return t.down }

// decayFactor returns the weight that is left of a value after age.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// Occupancy estimates the number of requests of all hosts at the target. With the age of
// the load report, the estimate moves from the last report to the moving average, which
// decays as well.
func (t *Target) Occupancy(now time.Time) float64 {
	if t.loadAt.IsZero() {
		return float64(t.InFlight)
	}
	age := now.Sub(t.loadAt)
	w := decayFactor(age, loadReportHalfLife)
	return float64(t.InFlight) + w*t.otherLoad + (1-w)*t.meanOtherLoad*decayFactor(age, meanDecayHalfLife)
}

// RunFactor estimates the run-time factor at now.
func (t *Target) RunFactor(now time.Time) float64 {
	if t.loadAt.IsZero() {
		return 1
	}
	age := now.Sub(t.loadAt)
	w := decayFactor(age, runFactorHalfLife)
	mean := 1 + (t.meanRunFactor-1)*decayFactor(age, meanDecayHalfLife)
	return w*t.runFactor + (1-w)*mean
}

// Wait estimates the queueing time of a new request at the target.
func (t *Target) Wait(now time.Time) time.Duration {
	slots := float64(max(1, t.Slots))
	excess := t.Occupancy(now) + 1 - slots
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / slots * float64(t.meanRunTime) * t.RunFactor(now))
}

// FailureRate estimates the share of requests that fail at the target.
func (t *Target) FailureRate(now time.Time) float64 {
	return t.failureRate * decayFactor(now.Sub(t.failureRateAt), failureRateHalfLife)
}

// TimeWithoutResponse returns how long the target has had requests of this host in flight
// without responding to any.
func (t *Target) TimeWithoutResponse(now time.Time) time.Duration {
	if t.InFlight == 0 || t.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(t.waitingSince)
}

// MeanRunTime returns the moving average of the expected run times of the requests sent.
func (t *Target) MeanRunTime() time.Duration { return t.meanRunTime }

// HasRecentObject reports whether this host sent a request for the object to the target
// within keep, so that the target likely has it cached.
func (t *Target) HasRecentObject(object uint64, now time.Time, keep time.Duration) bool {
	at, ok := t.recentObjects[object]
	return ok && now.Sub(at) < keep
}

// rememberObject records that an object was sent to the target; it evicts the oldest one
// at the limit.
func (t *Target) rememberObject(object uint64, now time.Time) {
	if object == 0 {
		return
	}
	if _, known := t.recentObjects[object]; !known && len(t.recentObjects) >= maxRecentObjects {
		oldest, oldestAt := uint64(0), now
		for o, at := range t.recentObjects {
			if at.Before(oldestAt) {
				oldest, oldestAt = o, at
			}
		}
		delete(t.recentObjects, oldest)
	}
	t.recentObjects[object] = now
}

// LatencyRatio estimates the ratio of actual to expected latency, from responses and from
// overdue requests. The expected latency already includes the target's own reports.
func (t *Target) LatencyRatio(now time.Time) float64 {
	ratioOfResponses := 1 + (t.latencyRatio-1)*decayFactor(now.Sub(t.latencyRatioAt), latencyRatioHalfLife)
	overdue, total := 0, 0.0
	for _, r := range t.openRequests {
		if ratio := float64(now.Sub(r.sentAt)) / float64(r.expected+overdueMargin); ratio > overdueRatio {
			overdue++
			total += min(ratio, maxLatencyRatio)
		}
	}
	if overdue < minOverdue {
		return ratioOfResponses
	}
	return max(ratioOfResponses, total/float64(overdue))
}

// recordLatency adds the latency of a request to the latency ratio.
func (t *Target) recordLatency(latency, expected time.Duration, now time.Time) {
	ratio := float64(latency) / float64(expected+overdueMargin)
	previous := 1 + (t.latencyRatio-1)*decayFactor(now.Sub(t.latencyRatioAt), latencyRatioHalfLife)
	t.latencyRatio = previous + latencyRatioWeight*(min(max(ratio, minLatencyRatio), maxLatencyRatio)-previous)
	t.latencyRatioAt = now
}

// begin records a request that is about to be sent, and returns its number. longest is the longest window
// of the target's quotas.
func (t *Target) begin(w Work, longest time.Duration, now time.Time) uint64 {
	t.lastNumber++
	t.openRequests[t.lastNumber] = openRequest{sentAt: now, expected: w.Expected}
	if t.InFlight == 0 {
		t.waitingSince = now
	}
	t.InFlight++
	t.Sent++
	t.rememberSend(longest, now)
	t.meanRunTime += time.Duration(meanWeight * float64(w.RunTime-t.meanRunTime))
	t.rememberObject(w.Object, now)
	return t.lastNumber
}

// Outcome is the result of a request at a target.
type Outcome struct {
	// Failed requests got no response, or one that shows a failure of the target.
	Failed bool
	// Shed requests were rejected without being run.
	Shed bool
	// Cancelled requests were abandoned by this host, so they do not count as failures or
	// responses of the target. If one was overdue, its latency still counts.
	Cancelled bool
	// Unreachable says that no connection could be opened or kept.
	Unreachable bool
	// Latency is the time from sending the request to the response.
	Latency time.Duration
	// Load is the target's load report; nil when the response has none.
	Load *Load
	// Notice is what the target said of itself in the response.
	Notice Notice
}

// end records the outcome of a request.
func (t *Target) end(number uint64, o Outcome, now time.Time) {
	t.InFlight = max(0, t.InFlight-1)
	request := t.openRequests[number]
	delete(t.openRequests, number)
	if o.Load != nil {
		t.applyLoadReport(*o.Load, now)
	}
	if overdue := o.Latency > request.expected+overdueMargin; !o.Shed && !o.Unreachable && (!o.Cancelled || overdue) {
		t.recordLatency(o.Latency, request.expected, now)
	}
	if o.Cancelled {
		return
	}
	t.waitingSince = now
	t.recordOutcome(o, now)
	if o.Unreachable {
		t.markDown(now)
	}
}

// recordOutcome adds an outcome to the failure rate.
func (t *Target) recordOutcome(o Outcome, now time.Time) {
	rate := t.FailureRate(now)
	if o.Failed || o.Shed {
		rate += failureRateWeight * (1 - rate)
	} else {
		rate *= 1 - failureRateWeight
	}
	t.failureRate, t.failureRateAt = rate, now
}

// applyLoadReport updates the load estimates from a report.
func (t *Target) applyLoadReport(r Load, now time.Time) {
	t.loadReport, t.loadAt = r, now
	if r.Slots > 0 {
		t.Slots = r.Slots
	}
	t.otherLoad = max(0, float64(r.Running+r.Waiting-t.InFlight))
	t.meanOtherLoad += meanWeight * (t.otherLoad - t.meanOtherLoad)
	if r.RunFactor > 0 {
		t.runFactor = r.RunFactor
		t.meanRunFactor += meanWeight * (r.RunFactor - t.meanRunFactor)
	}
}

// markDown marks the target as down and schedules the next health check.
func (t *Target) markDown(now time.Time) {
	if !t.down {
		t.checkDelay = initialCheckDelay
	}
	t.down = true
	t.maybeCold = true
	t.recentObjects = make(map[uint64]time.Time)
	t.nextCheckAt = now.Add(t.checkDelay)
	t.checkDelay = min(maxCheckDelay, 2*t.checkDelay)
}
