package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadHalfLife is how fast a target's load report loses its weight.
	loadHalfLife = 300 * time.Millisecond
	// paceHalfLife is the same for the report of the machine's pace.
	paceHalfLife = 400 * time.Millisecond
	// meanHalfLife is how fast running means of reports lose their weight while none come,
	// so that a target that was crowded is tried again.
	meanHalfLife = 4 * time.Second
	// meanWeight is the weight of a new sample in running means.
	meanWeight = 0.1
	// failWeight is the weight of a new outcome in the failure share.
	failWeight = 0.12
	// failHalfLife is how fast a failure share falls while nothing is sent.
	failHalfLife = 3 * time.Second
	// objectLimit is how many objects are remembered for a target.
	objectLimit = 64
	// slowHalfLife is how fast a target that was slow is tried again.
	slowHalfLife = 3 * time.Second
	// slowWeight is the weight of a new sample in the slowness of a target; a sample
	// counts as slowLeast at least and slowMost at most.
	slowWeight          = 0.2
	slowLeast, slowMost = 0.6, 6.0
	// overdueSlack is added to expected times, so that short ones are not judged by
	// small delays.
	overdueSlack = 60 * time.Millisecond
	// overdueRatio and overdueLeast say how late how many answers are that show a slow
	// target before they are there.
	overdueRatio = 2.5
	overdueLeast = 2
	// firstRun stands for the run time of a target that has not answered yet.
	firstRun = 400 * time.Millisecond
	// probeFirst and probeMost bound the pause between two checks of a target that is down.
	probeFirst = 250 * time.Millisecond
	probeMost  = 2 * time.Second
	// coldSpacing is the time between two requests of this host to a cold target.
	coldSpacing = 1100 * time.Millisecond
	// sentLimit is how many of the last requests to a target are remembered.
	sentLimit = 16
	// coldOwners is how many hosts may send to one cold target.
	coldOwners = 5
)

// Entry is what a target says of itself.
type Entry struct {
	ID      string
	Service string
	// Addr is the IP address and port.
	Addr   string
	Zone   string
	Region string
	Slots  int
	// Leaving targets take no new requests.
	Leaving bool
	// Cold is how much longer the target stays cold.
	Cold time.Duration
	// Born is the time of its start in Unix milliseconds; Sequence counts its reports.
	Born, Sequence int64
}

// Load is a target's report of its work.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at this moment, as a multiple of the usual.
	Pace float64
}

// Target is a target and what this host has seen of it. All fields and methods are
// guarded by the Fleet's lock.
type Target struct {
	Entry
	// InFlight is how many requests of this host the target has.
	InFlight int
	// hash is the hash of the identity.
	hash uint64
	// Sent is how many requests this host has sent to it.
	Sent int64
	// RTT is the shortest time that opening a connection took.
	RTT time.Duration

	load     Load
	loadAt   time.Time
	others   float64
	meanLoad float64
	pace     float64
	meanPace float64
	// meanRun is the running mean of the expected run times of what was sent.
	meanRun time.Duration
	fails   float64
	failsAt time.Time
	// slow is how much longer requests take than expected, as a multiple.
	slow   float64
	slowAt time.Time
	// open are the requests of this host that the target has.
	open map[uint64]openRequest
	next uint64
	// quietSince is when the target answered last, or got its first open request.
	quietSince time.Time

	coldUntil time.Time
	// unconfirmed targets may be cold: they came back after a failure or an evacuation.
	unconfirmed bool
	down        bool
	probePause  time.Duration
	probeAt     time.Time
	probing     bool
	coldSentAt  time.Time
	removeAt    time.Time
	// sentAt are the times of the last requests, the oldest at the next place.
	sentAt    [sentLimit]time.Time
	sentPlace int
	// joined targets were not there when this host started.
	joined bool

	objects map[uint64]time.Time
}

// openRequest is a request whose answer is awaited.
type openRequest struct {
	since    time.Time
	expected time.Duration
}

// Work is what a request is expected to cost a target.
type Work struct {
	// Object is the hash of the object that the request concerns; 0 means none.
	Object uint64
	// Run is the expected run time at the usual pace; Expected is the expected time to
	// the answer.
	Run, Expected time.Duration
}

func newTarget(e Entry, now time.Time) *Target {
	t := &Target{Entry: e, hash: xxhash.Sum64String(e.ID), pace: 1, meanPace: 1, meanRun: firstRun, slow: 1, objects: make(map[uint64]time.Time), open: make(map[uint64]openRequest)}
	t.coldUntil = now.Add(e.Cold)
	return t
}

// Cold reports whether the target is cold or may be.
func (t *Target) Cold(now time.Time) bool { return t.unconfirmed || now.Before(t.coldUntil) }

// Score returns the rendezvous score of the target for a key.
func (t *Target) Score(key uint64) uint64 { return mix(key ^ t.hash) }

// Down reports whether the target does not answer.
func (t *Target) Down() bool { return t.down }

func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// Occupancy estimates how many requests of all hosts the target has.
func (t *Target) Occupancy(now time.Time) float64 {
	if t.loadAt.IsZero() {
		return float64(t.InFlight)
	}
	age := now.Sub(t.loadAt)
	w := decay(age, loadHalfLife)
	return float64(t.InFlight) + w*t.others + (1-w)*t.meanLoad*decay(age, meanHalfLife)
}

// Pace estimates how long work takes on the target now, as a multiple of the usual.
func (t *Target) Pace(now time.Time) float64 {
	if t.loadAt.IsZero() {
		return 1
	}
	age := now.Sub(t.loadAt)
	w := decay(age, paceHalfLife)
	mean := 1 + (t.meanPace-1)*decay(age, meanHalfLife)
	return w*t.pace + (1-w)*mean
}

// Wait estimates how long a new request waits for a slot.
func (t *Target) Wait(now time.Time) time.Duration {
	slots := float64(max(1, t.Slots))
	over := t.Occupancy(now) + 1 - slots
	if over <= 0 {
		return 0
	}
	return time.Duration(over / slots * float64(t.meanRun) * t.Pace(now))
}

// FailShare estimates the share of requests that fail at the target.
func (t *Target) FailShare(now time.Time) float64 {
	return t.fails * decay(now.Sub(t.failsAt), failHalfLife)
}

// Silence returns for how long the target has had requests of this host and not answered.
func (t *Target) Silence(now time.Time) time.Duration {
	if t.InFlight == 0 || t.quietSince.IsZero() {
		return 0
	}
	return now.Sub(t.quietSince)
}

// MeanRun returns the running mean of the expected run times of what was sent.
func (t *Target) MeanRun() time.Duration { return t.meanRun }

// Warm reports whether this host sent the object to the target less than keep ago.
func (t *Target) Warm(object uint64, now time.Time, keep time.Duration) bool {
	at, ok := t.objects[object]
	return ok && now.Sub(at) < keep
}

func (t *Target) remember(object uint64, now time.Time) {
	if object == 0 {
		return
	}
	if _, known := t.objects[object]; !known && len(t.objects) >= objectLimit {
		oldest, oldestAt := uint64(0), now
		for o, at := range t.objects {
			if at.Before(oldestAt) {
				oldest, oldestAt = o, at
			}
		}
		delete(t.objects, oldest)
	}
	t.objects[object] = now
}

// Slow estimates how much longer requests take on the target than its reports say, from
// the answers that came and those that are overdue.
func (t *Target) Slow(now time.Time) float64 {
	slow := 1 + (t.slow-1)*decay(now.Sub(t.slowAt), slowHalfLife)
	overdue, total := 0, 0.0
	for _, r := range t.open {
		if ratio := float64(now.Sub(r.since)) / float64(r.expected+overdueSlack); ratio > overdueRatio {
			overdue++
			total += min(ratio, slowMost)
		}
	}
	if overdue < overdueLeast {
		return slow
	}
	return max(slow, total/float64(overdue))
}

// took notes how much longer a request took than expected.
func (t *Target) took(run, expected time.Duration, now time.Time) {
	ratio := float64(run) / float64(expected+overdueSlack)
	slow := 1 + (t.slow-1)*decay(now.Sub(t.slowAt), slowHalfLife)
	t.slow = slow + slowWeight*(min(max(ratio, slowLeast), slowMost)-slow)
	t.slowAt = now
}

// begin notes a request that is about to be sent, and returns its number.
func (t *Target) begin(w Work, now time.Time) uint64 {
	t.next++
	t.open[t.next] = openRequest{since: now, expected: w.Expected}
	if t.InFlight == 0 {
		t.quietSince = now
	}
	t.InFlight++
	t.Sent++
	t.sentAt[t.sentPlace] = now
	t.sentPlace = (t.sentPlace + 1) % sentLimit
	t.meanRun += time.Duration(meanWeight * float64(w.Run-t.meanRun))
	t.remember(w.Object, now)
	if t.Cold(now) {
		t.coldSentAt = now
	}
	return t.next
}

// sentWithin returns how many requests were sent in the last span, at most sentLimit.
func (t *Target) sentWithin(span time.Duration, now time.Time) int {
	n := 0
	for _, at := range t.sentAt {
		if now.Sub(at) < span {
			n++
		}
	}
	return n
}

// Outcome is what became of a request at a target.
type Outcome struct {
	// Failed requests got no answer, or one that says that the target failed.
	Failed bool
	// Shed requests were rejected unrun.
	Shed bool
	// Cancelled requests were given up by this host; they say nothing of the target.
	Cancelled bool
	// Unreachable says that no connection could be opened or kept.
	Unreachable bool
	// Run is the time from sending to the answer.
	Run time.Duration
	// Load is the target's report; nil when it gave none.
	Load *Load
}

func (t *Target) end(number uint64, o Outcome, now time.Time) {
	t.InFlight = max(0, t.InFlight-1)
	request := t.open[number]
	delete(t.open, number)
	if o.Load != nil {
		t.report(*o.Load, now)
	}
	if overdue := o.Run > request.expected+overdueSlack; !o.Shed && !o.Unreachable && (!o.Cancelled || overdue) {
		t.took(o.Run, request.expected, now)
	}
	if o.Cancelled {
		return
	}
	t.quietSince = now
	t.note(o, now)
	if o.Unreachable {
		t.fallDown(now)
	}
}

func (t *Target) note(o Outcome, now time.Time) {
	fails := t.FailShare(now)
	if o.Failed || o.Shed {
		fails += failWeight * (1 - fails)
	} else {
		fails *= 1 - failWeight
	}
	t.fails, t.failsAt = fails, now
}

func (t *Target) report(l Load, now time.Time) {
	t.load, t.loadAt = l, now
	if l.Slots > 0 {
		t.Slots = l.Slots
	}
	t.others = max(0, float64(l.Running+l.Waiting-t.InFlight))
	t.meanLoad += meanWeight * (t.others - t.meanLoad)
	if l.Pace > 0 {
		t.pace = l.Pace
		t.meanPace += meanWeight * (l.Pace - t.meanPace)
	}
}

func (t *Target) fallDown(now time.Time) {
	if !t.down {
		t.probePause = probeFirst
	}
	t.down = true
	t.unconfirmed = true
	t.objects = make(map[uint64]time.Time)
	t.probeAt = now.Add(t.probePause)
	t.probePause = min(probeMost, 2*t.probePause)
}

// mayStart reports whether a cold target may be sent a request by one of its owners.
func (t *Target) mayStart(now time.Time) bool { return now.Sub(t.coldSentAt) >= coldSpacing }
