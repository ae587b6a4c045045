package targetd

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults selects the faults of a target. The zero value has none.
type Faults struct {
	// SlowFactor multiplies run times. 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// ShedAll sheds every request, with HeaderShed; ShedWithoutHeader does so without that
	// header.
	ShedAll           bool `json:"shed_all,omitempty"`
	ShedWithoutHeader bool `json:"bare_shed,omitempty"`
	// Draining sheds every request, closes its connection afterwards, and makes the health
	// check fail.
	Draining bool `json:"draining,omitempty"`
	// Unhealthy makes the health check fail; AlwaysHealthy makes it succeed in
	// every case.
	Unhealthy     bool `json:"unhealthy,omitempty"`
	AlwaysHealthy bool `json:"health_lies,omitempty"`
	// LoadReportAgeMS delays the load report, so that it is this many milliseconds old.
	LoadReportAgeMS int `json:"load_lag_ms,omitempty"`
	// ReportedInFlight replaces the number of requests in flight in the load report.
	ReportedInFlight *int `json:"load_lie,omitempty"`
	// RestartAfterMS is the time between a crash that a request asked for and the restart.
	// 0 means no restart.
	RestartAfterMS int `json:"restart_after_ms,omitempty"`
}

// The values of HeaderFault, with which a request asks for a fault.
const (
	FaultCrash            = "crash"
	FaultTruncatedHeader  = "cut-header"
	FaultTruncatedBody    = "cut-body"
	FaultLate             = "late"
	FaultResponseMismatch = "crossed"
)

type faultHolder struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.faults = f
}

// Faults returns the active faults.
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

// crashAndRestart crashes the target in the background and restarts it after
// RestartAfterMS.
func (s *Server) crashAndRestart(f Faults) {
	go func() {
		s.Crash()
		if f.RestartAfterMS > 0 {
			time.Sleep(time.Duration(f.RestartAfterMS) * time.Millisecond)
			_ = s.Restart()
		}
	}()
}
