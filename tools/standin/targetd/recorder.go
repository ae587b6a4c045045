package targetd

import (
	"maps"
	"sync"
	"time"
)

// Record holds the counters of a target since its first start. The restart after a crash
// resets only InFlight.
type Record struct {
	// Runs is the number of runs started, by request id.
	Runs map[string]int `json:"runs"`
	// KeyRuns is the number of runs started, by idempotency key.
	KeyRuns  map[string]int `json:"key_runs"`
	InFlight int            `json:"in_flight"`
	// Peak is the largest number of requests that ran at the same time.
	Peak int `json:"peak"`
	// LongPeak is the same for requests with HeaderLong.
	LongPeak int `json:"long_peak"`
	// OverSlots counts requests that arrived while no slot was free.
	OverSlots int `json:"over_slots"`
	// Shed counts shed requests: for lack of a free slot or because of a fault.
	Shed    int `json:"shed"`
	Crashes int `json:"crashes"`
	// Cancelled counts requests that ended before their response, usually because the
	// caller disconnected.
	Cancelled int `json:"cancelled"`
	// LastStart is the start time of the newest run.
	LastStart time.Time `json:"last_begin,omitzero"`
}

// recorder counts the runs of a target. It is safe for concurrent use.
type recorder struct {
	mu           sync.Mutex
	runs         map[string]int
	keyRuns      map[string]int
	record       Record
	longInFlight int
	// generation is incremented at each restart, so that requests that a crash ended do
	// not change the counters of the restarted target.
	generation int
}

// begin takes a slot and counts a run. It returns the target's generation and whether a
// slot was free.
func (r *recorder) begin(id, key string, slots int, long bool) (generation int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record.InFlight >= slots {
		r.record.OverSlots++
		r.record.Shed++
		return r.generation, false
	}
	r.record.LastStart = time.Now()
	r.record.InFlight++
	r.record.Peak = max(r.record.Peak, r.record.InFlight)
	if long {
		r.longInFlight++
		r.record.LongPeak = max(r.record.LongPeak, r.longInFlight)
	}
	r.runs[id]++
	if key != "" {
		r.keyRuns[key]++
	}
	return r.generation, true
}

func (r *recorder) end(generation int, long, cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if generation != r.generation {
		return
	}
	r.record.InFlight--
	if long {
		r.longInFlight--
	}
	if cancelled {
		r.record.Cancelled++
	}
}

func (r *recorder) addShed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Shed++
}

func (r *recorder) addCrash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Crashes++
}

// nextGeneration starts a new generation, without the requests that a crash ended.
func (r *recorder) nextGeneration() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation++
	r.record.InFlight = 0
	r.longInFlight = 0
}

func (r *recorder) inFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record.InFlight
}

// Record returns a copy of the target's counters.
func (s *Server) Record() Record {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	record := s.recorder.record
	record.Runs = maps.Clone(s.recorder.runs)
	record.KeyRuns = maps.Clone(s.recorder.keyRuns)
	return record
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return s.recorder.inFlight() }
