// Package caller limits the resources that a caller's connection may use: the size of a
// request body, the time without progress, the transfer rate and the number of connections.
package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrTooLarge reports a request body that is larger than its limit.
	ErrTooLarge = errors.New("request body is too large")
	// ErrTooSlow reports a caller that sends or receives too slowly.
	ErrTooSlow = errors.New("caller is too slow")
	// errStopped reports a read after Stop.
	errStopped = errors.Wrap(context.Canceled, "reading of the request body was stopped")
)

// Limits apply to the request body and the response of one request.
type Limits struct {
	// BodyBytes is the largest request body in bytes.
	BodyBytes int64
	// StallTimeout is the longest time without progress in either direction.
	StallTimeout time.Duration
	// BytesPerSecond is the lowest average rate in either direction, measured only over
	// the time spent waiting for the caller.
	BytesPerSecond int64
}

// rateMeter measures the transfer rate of a caller in one direction.
type rateMeter struct {
	limits Limits
	bytes  int64
	waited time.Duration
}

// record adds a transfer and returns ErrTooSlow when the average rate is below the limit.
// The first StallTimeout of waiting is not counted, so that a short pause never fails a
// request.
func (m *rateMeter) record(n int, elapsed time.Duration) error {
	m.bytes += int64(n)
	m.waited += elapsed
	excess := m.waited - m.limits.StallTimeout
	if excess <= 0 || float64(m.bytes) >= excess.Seconds()*float64(m.limits.BytesPerSecond) {
		return nil
	}
	return errors.Wrapf(ErrTooSlow, "%d bytes in %v", m.bytes, m.waited.Round(time.Millisecond))
}

// Body is a request body that is read from the caller within limits. A short body can be
// buffered and read again.
type Body struct {
	src        io.ReadCloser
	control    *http.ResponseController
	rate       rateMeter
	buffered   []byte
	isBuffered bool
	reader     *bytes.Reader
	touched    atomic.Bool
	stopped    atomic.Bool
	ended      atomic.Bool
	tee        io.Writer
}

// NewBody returns a Body that reads from src.
func NewBody(src io.ReadCloser, control *http.ResponseController, limits Limits) *Body {
	return &Body{src: src, control: control, rate: rateMeter{limits: limits}}
}

// Tee copies all bytes that are read from now on to w.
func (b *Body) Tee(w io.Writer) { b.tee = w }

// Buffer reads the complete body into memory. It fails with ErrTooLarge when the body has
// more than limit bytes.
func (b *Body) Buffer(limit int64) error {
	data, err := io.ReadAll(io.LimitReader(readerFunc(b.readSource), limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	b.buffered, b.isBuffered = data, true
	b.reader = bytes.NewReader(data)
	return nil
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Buffered returns the buffered body, and whether the body is buffered.
func (b *Body) Buffered() ([]byte, bool) { return b.buffered, b.isBuffered }

// Rewind prepares the body to be read from its start again. It returns false when this is
// not possible, because an unbuffered body was already read.
func (b *Body) Rewind() bool {
	if b.isBuffered {
		b.reader = bytes.NewReader(b.buffered)
		return true
	}
	return !b.touched.Load()
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.isBuffered {
		return b.reader.Read(p)
	}
	b.touched.Store(true)
	n, err := b.readSource(p)
	if b.tee != nil {
		_, _ = b.tee.Write(p[:n])
	}
	return n, err
}

// readSource reads from the caller and enforces the limits.
func (b *Body) readSource(p []byte) (int, error) {
	if b.stopped.Load() {
		return 0, errStopped
	}
	start := time.Now()
	_ = b.control.SetReadDeadline(start.Add(b.rate.limits.StallTimeout)) // test connections do not support deadlines
	if b.stopped.Load() {
		return 0, errStopped
	}
	n, err := b.src.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
		_ = b.control.SetReadDeadline(time.Time{})
	}
	if b.rate.bytes+int64(n) > b.rate.limits.BodyBytes {
		return 0, errors.Wrapf(ErrTooLarge, "more than %d bytes", b.rate.limits.BodyBytes)
	}
	if slow := b.rate.record(n, time.Since(start)); slow != nil && err != io.EOF {
		return n, slow
	}
	if err != nil && err != io.EOF {
		return n, b.readError(err, time.Since(start))
	}
	return n, err
}

// readError classifies a failed read as too slow, stopped or a connection error.
func (b *Body) readError(err error, waited time.Duration) error {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &timeout) && timeout.Timeout() && waited >= b.rate.limits.StallTimeout:
		return errors.Wrapf(ErrTooSlow, "no byte for %v", b.rate.limits.StallTimeout)
	case b.stopped.Load():
		return errStopped
	default:
		return errors.Wrap(err, "read from caller")
	}
}

// Stop makes a blocked Read return and later ones fail. It has no effect on a body that
// was read to its end or is buffered.
func (b *Body) Stop() {
	if b.ended.Load() || b.isBuffered {
		return
	}
	b.stopped.Store(true)
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
}

// Close implements io.Closer. It does nothing, because the server closes the source.
func (b *Body) Close() error { return nil }
