package targetd

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults says how a target misbehaves. The zero value behaves well.
type Faults struct {
	// SlowFactor multiplies run times. 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// ShedAll refuses every request in the declared form; BareShed does so without the header.
	ShedAll  bool `json:"shed_all,omitempty"`
	BareShed bool `json:"bare_shed,omitempty"`
	// Draining refuses requests on new connections and closes the old ones after their answer.
	Draining bool `json:"draining,omitempty"`
	// Unhealthy makes the health report fail; HealthLies makes it stay good whatever happens.
	Unhealthy  bool `json:"unhealthy,omitempty"`
	HealthLies bool `json:"health_lies,omitempty"`
	// LoadLagMS makes the load report tell of this many milliseconds ago.
	LoadLagMS int `json:"load_lag_ms,omitempty"`
	// LoadLie replaces the reported number of requests in flight.
	LoadLie *int `json:"load_lie,omitempty"`
	// RestartAfterMS restarts the target this long after a crash. 0 means never.
	RestartAfterMS int `json:"restart_after_ms,omitempty"`
}

// The values of HeaderFault, by which one request asks for a fault.
const (
	FaultCrash     = "crash"
	FaultCutHeader = "cut-header"
	FaultCutBody   = "cut-body"
	FaultLate      = "late"
	FaultCrossed   = "crossed"
)

type faultHolder struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.faults = f
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	return s.faults.faults
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// crashFor ends the target and restarts it after the stated time.
func (s *Server) crashFor(f Faults) {
	go func() {
		s.Crash()
		if f.RestartAfterMS > 0 {
			time.Sleep(time.Duration(f.RestartAfterMS) * time.Millisecond)
			_ = s.Restart()
		}
	}()
}
