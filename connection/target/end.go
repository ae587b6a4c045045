package target

import (
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/verdict"
)

const (
	// cancelGrace is how long after its deadline a cancelled request may still run at the
	// target.
	cancelGrace = 2 * time.Second
	// finalWriteTimeout limits the last write of a request whose response is already
	// complete.
	finalWriteTimeout = time.Second
	// maxDiscard is the number of bytes of an unwanted response that are read before the
	// connection is closed.
	maxDiscard = 256 << 10
	// closedGrace is how long a target may take to notice that the connection was closed
	// while it writes a response.
	closedGrace = 250 * time.Millisecond
)

var errDeadline = os.ErrDeadlineExceeded

// responseBody is the body of a response. Close ends the exchange.
type responseBody struct {
	io.ReadCloser
	x        *exchange
	complete bool
	err      error
	closed   bool
}

// Read implements io.Reader. Any error but io.EOF is a verdict.Error; that of an invalid response is marked
// httpwire.ErrInvalid.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF && b.x.body.broken():
		b.err = ErrCallerBody
		err = verdict.Wrap(verdict.MayHaveRun, "read response body", b.x.cause(ErrCallerBody))
	case err == io.EOF:
		b.complete = true
	case err != nil:
		if invalid := b.x.conn.wire.Invalid(); invalid != nil {
			err = invalid // net/http hides it in a trailer
		}
		b.err = err
		err = verdict.Wrap(verdict.MayHaveRun, "read response body", b.x.cause(err))
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.complete && b.ReadCloser == http.NoBody {
		b.complete = true
	}
	x := b.x
	if !b.complete {
		x.stopSending()
		x.abandon(b.err)
		return nil
	}
	bodySent := x.bodySent()
	x.stopSending()
	if x.detachContext() && bodySent && !x.resp.Close && !x.conn.hasUnread() {
		x.pool.putIdle(x.conn)
	} else {
		_ = x.conn.Close()
	}
	x.call.end()
	return nil
}

// bodySent reports whether the complete request was sent. If the body was read to its end,
// only the last write can be in progress, and bodySent waits for it.
func (x *exchange) bodySent() bool {
	if !x.finishedSending() && x.body.atEnd() {
		_ = x.conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
		x.sendErr = <-x.sendResult
		x.sendDone = true
		_ = x.conn.SetWriteDeadline(time.Time{})
	}
	return x.finishedSending() && x.sendErr == nil
}

// detachContext stops the watch over ctx. It returns false when ctx was done first; the
// connection's deadline has then been set to the past.
func (x *exchange) detachContext() bool {
	if x.detached || x.stopWatch() {
		x.detached = true
		return true
	}
	x.interrupted.Wait()
	return false
}

// abandon ends an exchange without a complete response. If the target closed the
// connection, the request has ended. Otherwise abandon cancels it at the target and waits
// for its end in the background or, with CloseOnCancel, closes the connection at once.
func (x *exchange) abandon(readErr error) {
	x.detachContext()
	if closedByTarget(readErr) || x.call.CloseOnCancel {
		_ = x.conn.Close()
		x.call.end()
		return
	}
	x.pool.cancelling.Add(1)
	go func() {
		defer x.pool.cancelling.Done()
		x.waitForEnd()
	}()
}

// closedByTarget reports whether a read error means that the target closed the connection.
func closedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// ClosedByTarget reports whether an exchange failed because the target closed or
// reset the connection.
func ClosedByTarget(err error) bool { return closedByTarget(err) || errors.Is(err, syscall.EPIPE) }

// errClosedFirst marks the error of an exchange that was cancelled after the target had closed the connection.
var errClosedFirst = errors.New("the target closed the connection before")

// ClosedBeforeCancel reports whether an exchange that was cancelled had failed before, because the target closed or reset
// the connection.
func ClosedBeforeCancel(err error) bool { return errors.Is(err, errClosedFirst) }

// waitForEnd cancels the request by closing the sending direction, and reads until the
// target closes the connection or has sent its complete response. It stops cancelGrace
// after the deadline. After maxDiscard bytes it closes the connection and allows the target
// closedGrace to notice that.
func (x *exchange) waitForEnd() {
	until := x.call.Deadline
	if now := time.Now(); until.Before(now) {
		until = now
	}
	_ = x.conn.SetDeadline(until.Add(cancelGrace))
	if err := x.conn.closeWrite(); err != nil && !errors.Is(err, net.ErrClosed) {
		_ = x.conn.Close()
	}
	n, err := io.CopyN(io.Discard, x.unreadResponse(), maxDiscard)
	if x.conn.wire.Invalid() != nil { // the end of the response cannot be known
		n, err = io.CopyN(io.Discard, x.conn.Conn, maxDiscard)
	}
	_ = x.conn.Close()
	if n == maxDiscard && err == nil {
		time.AfterFunc(closedGrace, x.call.end)
		return
	}
	x.call.end()
}

// unreadResponse returns a reader of the unread part of the response.
func (x *exchange) unreadResponse() io.Reader {
	if x.resp != nil {
		if b, ok := x.resp.Body.(*responseBody); ok {
			return b.ReadCloser
		}
	}
	if x.mismatched {
		return x.conn.in
	}
	resp, err := x.readHeader()
	if err != nil {
		return x.conn.in
	}
	return resp.Body
}
