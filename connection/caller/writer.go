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
}

// NewWriter returns a writer for one answer.
func NewWriter(w http.ResponseWriter, control *http.ResponseController, limits Limits) *Writer {
	return &Writer{ResponseWriter: w, control: control, pace: pace{limits: limits}}
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
