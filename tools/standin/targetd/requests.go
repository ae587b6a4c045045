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

// Headers with which a request controls the stand-in.
const (
	// HeaderRun is the run time in milliseconds; fractions are allowed.
	HeaderRun = "Target-Run-Ms"
	// HeaderLong marks a long request, which is counted in Record.LongPeak.
	HeaderLong = "Target-Long"
	// HeaderFault asks for a fault, by one of the Fault constants.
	HeaderFault = "Target-Fault"
	// HeaderResponseBytes asks for a response body of this many zero bytes instead of a
	// Response.
	HeaderResponseBytes = "Target-Answer-Bytes"
)

// HeaderShed marks the response to a request that the target shed.
const HeaderShed = "Target-Shed"

// Headers that entry hosts set on requests.
const (
	headerRequestID      = "Quetzal-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	// lateDelay is added to the run time of a request with FaultLate.
	lateDelay = 2 * time.Second
	// chunkBytes is the size of one write of a response to a request with HeaderResponseBytes.
	chunkBytes = 32 << 10
)

// Response is the response body of a request that ran.
type Response struct {
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	// BodyBytes and BodyHash are the size and the xxHash of the request body.
	BodyBytes int64  `json:"body_bytes"`
	BodyHash  string `json:"body_hash"`
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if f.ShedAll || f.ShedWithoutHeader || f.Draining {
		s.recorder.addShed()
		s.shed(w, !f.ShedWithoutHeader)
		return
	}
	long := r.Header.Get(HeaderLong) != ""
	generation, ok := s.recorder.begin(id, r.Header.Get(headerIdempotencyKey), s.opts.Slots, long)
	if !ok {
		s.shed(w, true)
		return
	}
	finished := false
	defer func() { s.recorder.end(generation, long, !finished) }()
	if r.Header.Get(HeaderFault) == FaultCrash {
		s.crashAndRestart(f)
		<-r.Context().Done()
		return
	}
	hash := xxhash.New()
	n, err := io.Copy(hash, r.Body)
	if err != nil || !s.simulateRun(r, f) {
		return
	}
	finished = true
	s.respond(w, r, Response{
		Target: s.opts.Name, RequestID: id, Path: r.URL.Path,
		BodyBytes: n, BodyHash: hex.EncodeToString(hash.Sum(nil)),
	})
}

func (s *Server) shed(w http.ResponseWriter, withHeader bool) {
	if withHeader {
		w.Header().Set(HeaderShed, "1")
	}
	if s.Faults().Draining {
		w.Header().Set("Connection", "close")
	}
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

// simulateRun waits for the request's run time. It returns false if the caller disconnects.
func (s *Server) simulateRun(r *http.Request, f Faults) bool {
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

// coldFactor returns the factor for run times, which falls from ColdStartFactor to 1 within
// ColdStartTime after the start.
func (s *Server) coldFactor() float64 {
	s.mu.Lock()
	age := time.Since(s.startedAt)
	s.mu.Unlock()
	if s.opts.ColdStartFactor <= 1 || age >= s.opts.ColdStartTime {
		return 1
	}
	remaining := 1 - float64(age)/float64(s.opts.ColdStartTime)
	return 1 + (s.opts.ColdStartFactor-1)*remaining
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, response Response) {
	switch r.Header.Get(HeaderFault) {
	case FaultTruncatedHeader:
		panic(http.ErrAbortHandler)
	case FaultTruncatedBody:
		s.truncateBody(w)
	case FaultResponseMismatch:
		response.RequestID = "crossed-" + response.RequestID
	}
	w.Header().Set(headerRequestID, response.RequestID)
	if n, err := strconv.ParseInt(r.Header.Get(HeaderResponseBytes), 10, 64); err == nil && n >= 0 {
		writeZeros(w, n)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response) // the caller may have disconnected
}

// truncateBody sends half of the declared body and then closes the connection.
func (s *Server) truncateBody(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(2*chunkBytes))
	_, _ = w.Write(make([]byte, chunkBytes))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func writeZeros(w http.ResponseWriter, n int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	chunk := make([]byte, chunkBytes)
	for n > 0 {
		size := min(n, chunkBytes)
		if _, err := w.Write(chunk[:size]); err != nil {
			return
		}
		n -= size
	}
}
