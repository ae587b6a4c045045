package platformd

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// FaultState selects the faults of the stand-in. The zero value has none.
type FaultState struct {
	// Down makes every call fail without any effect.
	Down bool `json:"down"`
	// DelayMS delays every call by this many milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseResponses applies every write and then closes the connection without a response.
	LoseResponses bool `json:"lose_answers"`
}

// Faults holds the active faults. It is safe for concurrent use.
type Faults struct {
	mu    sync.Mutex
	state FaultState
}

// Set replaces the active faults.
func (f *Faults) Set(s FaultState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = s
}

func (f *Faults) get() FaultState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *Faults) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state := f.get()
		time.Sleep(time.Duration(state.DelayMS) * time.Millisecond)
		if state.Down {
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if state.LoseResponses && r.Method != http.MethodGet {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var state FaultState
	if err := json.NewDecoder(r.Body).Decode(&state); err != nil {
		writeResponse(w, nil, err)
		return
	}
	s.Faults.Set(state)
	writeResponse(w, state, nil)
}
