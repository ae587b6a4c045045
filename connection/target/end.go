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
	// endGrace is how long after its deadline a target may still run a request that
	// it was told to end.
	endGrace = 2 * time.Second
	// lastWriteTime bounds the last write of a request that is answered already.
	lastWriteTime = time.Second
	// endBytes is how many bytes of an unwanted answer are read before the
	// connection is closed.
	endBytes = 256 << 10
	// closedGrace is how long a target may take to notice a closed connection while
	// it writes an answer.
	closedGrace = 250 * time.Millisecond
)

var errDeadline = os.ErrDeadlineExceeded

// answerBody is an answer's body. Its Close ends the exchange.
type answerBody struct {
	io.ReadCloser
	x      *exchange
	whole  bool
	err    error
	closed bool
}

// Read implements io.Reader. An error other than io.EOF is a verdict.Error.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF && b.x.body.broken():
		b.err = ErrCallerBody
		err = verdict.Wrap(verdict.MayHaveRun, "read answer body", b.x.cause(ErrCallerBody))
	case err == io.EOF:
		b.whole = true
	case err != nil:
		b.err = err
		err = verdict.Wrap(verdict.MayHaveRun, "read answer body", b.x.cause(err))
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.whole && b.ReadCloser == http.NoBody {
		b.whole = true
	}
	x := b.x
	if !b.whole {
		x.stopSending()
		x.abandon(b.err)
		return nil
	}
	bodySent := x.bodySent()
	x.stopSending()
	if x.settle() && bodySent && !x.resp.Close && x.conn.in.Buffered() == 0 {
		x.pool.put(x.conn)
	} else {
		_ = x.conn.Close()
	}
	x.call.end()
	return nil
}

// bodySent reports whether the whole request was sent. When the body was read to
// its end only the last write can be under way; it is waited for.
func (x *exchange) bodySent() bool {
	if !x.finishedSending() && x.body.atEnd() {
		_ = x.conn.SetWriteDeadline(time.Now().Add(lastWriteTime))
		x.sendErr = <-x.sent
		x.sendDone = true
		_ = x.conn.SetWriteDeadline(time.Time{})
	}
	return x.finishedSending() && x.sendErr == nil
}

// settle ends the watch over ctx. It returns false when ctx ended first; the
// connection's deadline has then passed.
func (x *exchange) settle() bool {
	if x.settled || x.stop() {
		x.settled = true
		return true
	}
	<-x.interrupted
	return false
}

// abandon ends an exchange without a whole answer. The target's own end of the
// connection ends the request; otherwise it is cancelled at the target and waited for.
func (x *exchange) abandon(readErr error) {
	x.settle()
	if endedByTarget(readErr) || x.call.Abrupt {
		_ = x.conn.Close()
		x.call.end()
		return
	}
	x.pool.ending.Add(1)
	go func() {
		defer x.pool.ending.Done()
		x.waitForEnd()
	}()
}

// endedByTarget reports whether a read error means that the target closed the connection.
func endedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// EndedByTarget reports whether an exchange failed because the target closed or
// reset the connection.
func EndedByTarget(err error) bool { return endedByTarget(err) || errors.Is(err, syscall.EPIPE) }

// waitForEnd cancels the request by closing the sending side, and reads until the
// target closes the connection or has answered whole.
func (x *exchange) waitForEnd() {
	until := x.call.Deadline
	if now := time.Now(); until.Before(now) {
		until = now
	}
	_ = x.conn.SetDeadline(until.Add(endGrace))
	if err := x.conn.closeWrite(); err != nil && !errors.Is(err, net.ErrClosed) {
		_ = x.conn.Close()
	}
	n, err := io.CopyN(io.Discard, x.rest(), endBytes)
	_ = x.conn.Close()
	if n == endBytes && err == nil {
		time.AfterFunc(closedGrace, x.call.end)
		return
	}
	x.call.end()
}

// rest returns what is left of the answer.
func (x *exchange) rest() io.Reader {
	if x.resp != nil {
		if b, ok := x.resp.Body.(*answerBody); ok {
			return b.ReadCloser
		}
	}
	if x.crossed {
		return x.conn.in
	}
	resp, err := x.readHeader()
	if err != nil {
		return x.conn.in
	}
	return resp.Body
}
