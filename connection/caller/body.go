// Package caller bounds what one caller's connection may cost: the size of a
// request body, the time in which bytes must move, and the number of connections.
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
	// ErrTooLarge reports a request body over its limit.
	ErrTooLarge = errors.New("request body is too large")
	// ErrTooSlow reports a caller that sends or reads too slowly.
	ErrTooSlow = errors.New("caller is too slow")
	// errStopped reports a read of a body that nobody wants any more.
	errStopped = errors.Wrap(context.Canceled, "request body is no longer read")
)

// Limits bound one request's use of its caller's connection.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64
	// Stall is the longest time without a byte in either direction.
	Stall time.Duration
	// BytesPerSecond is the smallest average rate in either direction, counted
	// only over the time spent waiting for the caller.
	BytesPerSecond int64
}

// pace measures how fast a caller moves bytes.
type pace struct {
	limits Limits
	bytes  int64
	waited time.Duration
}

// add counts a transfer and returns ErrTooSlow when the average is below the limit.
// The first stall time is free, so that a short pause never counts.
func (p *pace) add(n int, took time.Duration) error {
	p.bytes += int64(n)
	p.waited += took
	over := p.waited - p.limits.Stall
	if over <= 0 || float64(p.bytes) >= over.Seconds()*float64(p.limits.BytesPerSecond) {
		return nil
	}
	return errors.Wrapf(ErrTooSlow, "%d bytes in %v", p.bytes, p.waited.Round(time.Millisecond))
}

// Body is a request body that is read from the caller within limits. A short body
// can be held whole and read again.
type Body struct {
	src     io.ReadCloser
	control *http.ResponseController
	pace    pace
	held    []byte
	isHeld  bool
	reader  *bytes.Reader
	touched atomic.Bool
	stopped atomic.Bool
	ended   atomic.Bool
	tee     io.Writer
}

// NewBody returns the body of a request.
func NewBody(src io.ReadCloser, control *http.ResponseController, limits Limits) *Body {
	return &Body{src: src, control: control, pace: pace{limits: limits}}
}

// Tee writes all that is read from now on to w also.
func (b *Body) Tee(w io.Writer) { b.tee = w }

// Hold reads the whole body, which must be at most limit bytes, into memory.
func (b *Body) Hold(limit int64) error {
	held, err := io.ReadAll(io.LimitReader(readerFunc(b.readSource), limit+1))
	if err != nil {
		return err
	}
	if int64(len(held)) > limit {
		return errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	b.held, b.isHeld = held, true
	b.reader = bytes.NewReader(held)
	return nil
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Held returns the whole body, and whether it is held.
func (b *Body) Held() ([]byte, bool) { return b.held, b.isHeld }

// Rewind reports whether the next reader gets the whole body, and prepares it.
func (b *Body) Rewind() bool {
	if b.isHeld {
		b.reader = bytes.NewReader(b.held)
		return true
	}
	return !b.touched.Load()
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.isHeld {
		return b.reader.Read(p)
	}
	b.touched.Store(true)
	n, err := b.readSource(p)
	if b.tee != nil {
		_, _ = b.tee.Write(p[:n])
	}
	return n, err
}

func (b *Body) readSource(p []byte) (int, error) {
	if b.stopped.Load() {
		return 0, errStopped
	}
	start := time.Now()
	_ = b.control.SetReadDeadline(start.Add(b.pace.limits.Stall)) // a fake connection has none
	if b.stopped.Load() {
		return 0, errStopped
	}
	n, err := b.src.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
		_ = b.control.SetReadDeadline(time.Time{})
	}
	if b.pace.bytes+int64(n) > b.pace.limits.BodyBytes {
		return 0, errors.Wrapf(ErrTooLarge, "more than %d bytes", b.pace.limits.BodyBytes)
	}
	if slow := b.pace.add(n, time.Since(start)); slow != nil && err != io.EOF {
		return n, slow
	}
	if err != nil && err != io.EOF {
		return n, b.readError(err, time.Since(start))
	}
	return n, err
}

func (b *Body) readError(err error, waited time.Duration) error {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &timeout) && timeout.Timeout() && waited >= b.pace.limits.Stall:
		return errors.Wrapf(ErrTooSlow, "no byte for %v", b.pace.limits.Stall)
	case b.stopped.Load():
		return errStopped
	default:
		return errors.Wrap(err, "read from caller")
	}
}

// Stop makes a blocked Read return, and all later ones fail. A body that was read
// to its end is not affected.
func (b *Body) Stop() {
	if b.ended.Load() || b.isHeld {
		return
	}
	b.stopped.Store(true)
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
}

// Close implements io.Closer. The server closes the source itself.
func (b *Body) Close() error { return nil }
