package forward

import (
	"net/http"

	"quetzalknot/request/claim"
	"quetzalknot/verdict"
)

// maxReplayBytes is the largest response body that is kept in memory for duplicates.
const maxReplayBytes = 64 << 10

// responseRecorder writes a response to the first caller and keeps a copy for
// duplicates. It goes on recording when the first caller disconnects.
type responseRecorder struct {
	http.ResponseWriter
	status int
	header http.Header
	body   []byte
	// callerErr is the first error of writing to the first caller.
	callerErr error
	// tooLarge is set when the body exceeds maxReplayBytes and is not kept.
	tooLarge bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseRecorder) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
		w.header = w.Header().Clone()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer. It fails only when the caller has disconnected and the
// response is too large to be kept.
func (w *responseRecorder) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if len(w.body)+len(p) > maxReplayBytes {
		w.tooLarge = true
		w.body = nil
	}
	if !w.tooLarge {
		w.body = append(w.body, p...)
	}
	if w.callerErr == nil {
		_, w.callerErr = w.ResponseWriter.Write(p)
	}
	if w.callerErr != nil && w.tooLarge {
		return 0, w.callerErr
	}
	return len(p), nil
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *responseRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// result returns the recorded response. complete is false if the response was aborted.
func (w *responseRecorder) result(v verdict.Verdict, complete bool) claim.Response {
	resp := claim.Response{Verdict: v, Status: w.status, Whole: complete && !w.tooLarge}
	if resp.Whole {
		resp.Header, resp.Body = w.header, w.body
	}
	return resp
}
