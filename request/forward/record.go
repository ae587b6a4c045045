package forward

import (
	"net/http"

	"quetzalknot/request/claim"
	"quetzalknot/verdict"
)

// keptAnswerBytes is the largest answer body that is kept for duplicates.
const keptAnswerBytes = 64 << 10

// recorder passes an answer on to the first caller and keeps a copy for duplicates.
// The loss of the first caller does not end the answer.
type recorder struct {
	http.ResponseWriter
	status int
	header http.Header
	body   []byte
	// gone is the error of the first caller's connection.
	gone error
	// tooLarge is set when the answer is not kept.
	tooLarge bool
}

// WriteHeader implements http.ResponseWriter.
func (w *recorder) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
		w.header = w.Header().Clone()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer. It fails only when the caller is gone and the answer
// is too large to be kept.
func (w *recorder) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if len(w.body)+len(p) > keptAnswerBytes {
		w.tooLarge = true
		w.body = nil
	}
	if !w.tooLarge {
		w.body = append(w.body, p...)
	}
	if w.gone == nil {
		_, w.gone = w.ResponseWriter.Write(p)
	}
	if w.gone != nil && w.tooLarge {
		return 0, w.gone
	}
	return len(p), nil
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *recorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// answer returns what was recorded. whole says that the answer was not broken off.
func (w *recorder) answer(v verdict.Verdict, whole bool) claim.Answer {
	a := claim.Answer{Verdict: v, Status: w.status, Whole: whole && !w.tooLarge}
	if a.Whole {
		a.Header, a.Body = w.header, w.body
	}
	return a
}
