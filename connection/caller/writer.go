package caller

import (
	"net/http"
	"time"
)

// Writer writes an answer to the caller within limits.
type Writer struct {
	http.ResponseWriter
	control *http.ResponseController
	pace    pace
	status  int
}

// NewWriter returns a writer for one answer.
func NewWriter(w http.ResponseWriter, control *http.ResponseController, limits Limits) *Writer {
	return &Writer{ResponseWriter: w, control: control, pace: pace{limits: limits}}
}

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Status returns the status written, or 0.
func (w *Writer) Status() int { return w.status }

// Bytes returns how many bytes of the answer's body were written.
func (w *Writer) Bytes() int64 { return w.pace.bytes }

// Finish bounds the writes that the server makes after the handler's return.
func (w *Writer) Finish() {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.pace.limits.Stall)) // a fake connection has none
}

// Write implements io.Writer. It fails with ErrTooSlow when the caller does not
// read fast enough.
func (w *Writer) Write(p []byte) (int, error) {
	start := time.Now()
	_ = w.control.SetWriteDeadline(start.Add(w.pace.limits.Stall)) // a fake connection has none
	n, err := w.ResponseWriter.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.pace.add(n, time.Since(start))
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
