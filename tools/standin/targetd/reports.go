package targetd

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// LoadReport is the response body of /load.
type LoadReport struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	f := s.Faults()
	if (f.Unhealthy || f.Draining) && !f.AlwaysHealthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	f := s.Faults()
	report := LoadReport{InFlight: s.recorder.inFlight(), Slots: s.opts.Slots}
	if f.ReportedInFlight != nil {
		report.InFlight = *f.ReportedInFlight
	}
	time.Sleep(time.Duration(f.LoadReportAgeMS) * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // the client may have disconnected
}

func (s *Server) handleRecord(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Record()) // the client may have disconnected
}
