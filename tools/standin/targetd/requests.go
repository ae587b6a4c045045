package targetd

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Headers by which a request steers the stand-in.
const (
	// HeaderRun is the run time in milliseconds; fractions are allowed.
	HeaderRun = "Target-Run-Ms"
	// HeaderLong marks long work for the record.
	HeaderLong = "Target-Long"
	// HeaderFault asks for one of the Fault values.
	HeaderFault = "Target-Fault"
	// HeaderAnswerBytes asks for an answer body of this many bytes instead of the Answer.
	HeaderAnswerBytes = "Target-Answer-Bytes"
)

// HeaderShed marks an answer by which the target refused a request.
const HeaderShed = "Target-Shed"

// headers that the system puts on requests.
const (
	headerRequestID = "Quetzal-Request-Id"
	headerKey       = "Idempotency-Key"
)

const (
	// lateDelay is how much later than its run time a late answer comes.
	lateDelay = 2 * time.Second
	// fillBytes is the size of one written piece of a filled answer.
	fillBytes = 32 << 10
)

// Answer is the body of a request that ran.
type Answer struct {
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	// BodyBytes and BodyHash are the size and the xxhash of the request body.
	BodyBytes int64  `json:"body_bytes"`
	BodyHash  string `json:"body_hash"`
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if f.ShedAll || f.BareShed || f.Draining {
		s.ledger.shed()
		s.refuse(w, !f.BareShed)
		return
	}
	long := r.Header.Get(HeaderLong) != ""
	life, ok := s.ledger.begin(id, r.Header.Get(headerKey), s.opts.Slots, long)
	if !ok {
		s.refuse(w, true)
		return
	}
	finished := false
	defer func() { s.ledger.end(life, long, !finished) }()
	if r.Header.Get(HeaderFault) == FaultCrash {
		s.crashFor(f)
		<-r.Context().Done()
		return
	}
	hash := xxhash.New()
	n, err := io.Copy(hash, r.Body)
	if err != nil || !s.work(r, f) {
		return
	}
	finished = true
	s.answer(w, r, Answer{
		Target: s.opts.Name, RequestID: id, Path: r.URL.Path,
		BodyBytes: n, BodyHash: hex.EncodeToString(hash.Sum(nil)),
	})
}

func (s *Server) refuse(w http.ResponseWriter, declared bool) {
	if declared {
		w.Header().Set(HeaderShed, "1")
	}
	if s.Faults().Draining {
		w.Header().Set("Connection", "close")
	}
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

// work runs for the request's run time. It returns false when the caller went away.
func (s *Server) work(r *http.Request, f Faults) bool {
	run := s.runTime(r, f)
	if r.Header.Get(HeaderFault) == FaultLate {
		run += lateDelay
	}
	timer := time.NewTimer(run)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) runTime(r *http.Request, f Faults) time.Duration {
	run := s.opts.RunTime
	if ms, err := strconv.ParseFloat(r.Header.Get(HeaderRun), 64); err == nil && ms >= 0 {
		run = time.Duration(ms * float64(time.Millisecond))
	}
	factor := s.coldFactor()
	if f.SlowFactor > 0 {
		factor *= f.SlowFactor
	}
	return time.Duration(float64(run) * factor)
}

// coldFactor falls from ColdFactor to 1 while the target warms up.
func (s *Server) coldFactor() float64 {
	s.mu.Lock()
	age := time.Since(s.startedAt)
	s.mu.Unlock()
	if s.opts.ColdFactor <= 1 || age >= s.opts.ColdFor {
		return 1
	}
	left := 1 - float64(age)/float64(s.opts.ColdFor)
	return 1 + (s.opts.ColdFactor-1)*left
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, a Answer) {
	switch r.Header.Get(HeaderFault) {
	case FaultCutHeader:
		panic(http.ErrAbortHandler)
	case FaultCutBody:
		s.cutBody(w)
	case FaultCrossed:
		a.RequestID = "crossed-" + a.RequestID
	}
	w.Header().Set(headerRequestID, a.RequestID)
	if n, err := strconv.ParseInt(r.Header.Get(HeaderAnswerBytes), 10, 64); err == nil && n >= 0 {
		fill(w, n)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a) // the caller may be gone
}

// cutBody sends part of a longer body and then breaks the connection.
func (s *Server) cutBody(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(2*fillBytes))
	_, _ = w.Write(make([]byte, fillBytes))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func fill(w http.ResponseWriter, n int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	piece := make([]byte, fillBytes)
	for n > 0 {
		size := min(n, fillBytes)
		if _, err := w.Write(piece[:size]); err != nil {
			return
		}
		n -= size
	}
}
