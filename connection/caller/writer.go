package caller

import (
	"net/http"
	"time"
)

// Writer writes a response to the caller within limits.
type Writer struct {
	http.ResponseWriter
	control *http.ResponseController
	rate    rateMeter
	status  int
}

// NewWriter returns a writer for one response.
func NewWriter(w http.ResponseWriter, control *http.ResponseController, limits Limits) *Writer {
	return &Writer{ResponseWriter: w, control: control, rate: rateMeter{limits: limits}}
}

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Status returns the status that was written, or 0.
func (w *Writer) Status() int { return w.status }

// Bytes returns the number of body bytes written.
func (w *Writer) Bytes() int64 { return w.rate.bytes }

// Finish sets the deadline of the writes that the server makes after the handler returns.
func (w *Writer) Finish() {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.rate.limits.StallTimeout)) // test connections do not support deadlines
}

// Write implements io.Writer. It fails with ErrTooSlow when the caller does not receive
// fast enough.
func (w *Writer) Write(p []byte) (int, error) {
	start := time.Now()
	_ = w.control.SetWriteDeadline(start.Add(w.rate.limits.StallTimeout)) // test connections do not support deadlines
	n, err := w.ResponseWriter.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.rate.record(n, time.Since(start))
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
