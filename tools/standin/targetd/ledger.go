package targetd

import (
	"maps"
	"sync"
	"time"
)

// Record is what a target ran.
type Record struct {
	// Runs counts the runs begun, by request id.
	Runs map[string]int `json:"runs"`
	// KeyRuns counts the runs begun, by idempotency key.
	KeyRuns  map[string]int `json:"key_runs"`
	InFlight int            `json:"in_flight"`
	// Peak is the largest number of requests that ran at once.
	Peak int `json:"peak"`
	// LongPeak is the largest number of requests marked as long that ran at once.
	LongPeak int `json:"long_peak"`
	// OverSlots counts requests that arrived while every slot was taken.
	OverSlots int `json:"over_slots"`
	// Shed counts refused requests, for whatever reason.
	Shed    int `json:"shed"`
	Crashes int `json:"crashes"`
	// Cancelled counts requests whose caller went away while they ran.
	Cancelled int `json:"cancelled"`
	// LastBegin is when the newest run began.
	LastBegin time.Time `json:"last_begin,omitzero"`
}

// ledger counts what a target runs. It is safe for concurrent use.
type ledger struct {
	mu      sync.Mutex
	runs    map[string]int
	keyRuns map[string]int
	record  Record
	long    int
	// life tells the requests of one life of the target from those of earlier ones.
	life int
}

// begin takes a slot. It returns the life of the target and whether a slot was free.
func (l *ledger) begin(id, key string, slots int, long bool) (life int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.record.InFlight >= slots {
		l.record.OverSlots++
		l.record.Shed++
		return l.life, false
	}
	l.record.LastBegin = time.Now()
	l.record.InFlight++
	l.record.Peak = max(l.record.Peak, l.record.InFlight)
	if long {
		l.long++
		l.record.LongPeak = max(l.record.LongPeak, l.long)
	}
	l.runs[id]++
	if key != "" {
		l.keyRuns[key]++
	}
	return l.life, true
}

func (l *ledger) end(life int, long, cancelled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if life != l.life {
		return
	}
	l.record.InFlight--
	if long {
		l.long--
	}
	if cancelled {
		l.record.Cancelled++
	}
}

func (l *ledger) shed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Shed++
}

func (l *ledger) crashed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Crashes++
}

// restart forgets the requests that a crash ended.
func (l *ledger) restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.life++
	l.record.InFlight = 0
	l.long = 0
}

func (l *ledger) inFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.InFlight
}

// Record returns a copy of what the target ran so far.
func (s *Server) Record() Record {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	record := s.ledger.record
	record.Runs = maps.Clone(s.ledger.runs)
	record.KeyRuns = maps.Clone(s.ledger.keyRuns)
	return record
}

// InFlight returns how many requests run now.
func (s *Server) InFlight() int { return s.ledger.inFlight() }
