package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/verdict"
)

// maxInterim is the number of 1xx responses accepted before the final response.
const maxInterim = 8

var (
	// ErrResponseMismatch reports a response that belongs to another request.
	ErrResponseMismatch = errors.New("response belongs to another request")
	// ErrInterim reports an unsupported 1xx response, or too many of them.
	ErrInterim = errors.New("unexpected interim response")
	// ErrNoLength reports a response body that is ended only by the end of the connection.
	ErrNoLength = errors.New("response has neither a length nor chunked encoding")
	// ErrCallerBody reports that reading the request body from the caller failed.
	ErrCallerBody = errors.New("cannot read the request body from the caller")
)

// pastDeadline is a deadline in the past, which interrupts reads and writes.
var pastDeadline = time.Unix(1, 0)

// Call is a request to one target.
type Call struct {
	// Addr is the IP address and port of the target.
	Addr string
	// Request is sent unchanged. Its body may be read until the response body is closed. With
	// GetBody, a body that was read in vain is replaced.
	Request *http.Request
	// EchoHeader names the request header that the target must repeat in its response.
	// When it is empty, responses are not checked.
	EchoHeader string
	// Inline declares that the body is short and in memory, so that it can be written
	// before the response is read.
	Inline bool
	// RecentConnection uses only connections that were idle for a short time.
	RecentConnection bool
	// AllowUnframed accepts responses whose body is ended only by the end of the connection.
	AllowUnframed bool
	// CloseOnCancel closes the connection as soon as the request is cancelled or has
	// failed, instead of waiting for the target to end it.
	CloseOnCancel bool
	// Deadline is the time by which the target has been told to end the request.
	Deadline time.Time
	// StopBody makes a blocked read of the request body return an error that wraps
	// context.Canceled. It may be nil.
	StopBody func()
	// Ended is called once, when the target is known to have ended the request, or when
	// the deadline and a grace time have passed. With CloseOnCancel it is called as soon
	// as the connection is closed. It may be nil.
	Ended func()
	// Reused is set by Exchange: the connection carried other requests before, so that bytes
	// of their responses may come late on it.
	Reused bool
}

func (c *Call) end() {
	if c.Ended != nil {
		c.Ended()
	}
}

// Exchange sends a request and returns the response when its header has been read.
// Closing the response body ends the exchange. A connection whose response was not read
// completely, or whose response has Close set, by the target or by the caller of Exchange, is
// not reused. When ctx is done, the request is cancelled at the target.
// Every error is a verdict.Error.
func (p *Pool) Exchange(ctx context.Context, call *Call) (*http.Response, error) {
	maxIdle := maxIdleTime
	if call.RecentConnection {
		maxIdle = shortIdleTime
	}
	for {
		c, err := p.get(ctx, call.Addr, maxIdle)
		if err != nil {
			call.end()
			return nil, verdict.Wrap(verdict.NotRun, "dial", err)
		}
		call.Reused = c.reused
		x := newExchange(ctx, p, c, call)
		resp, err := x.run()
		if err == nil {
			return resp, nil
		}
		if !x.retryOnNewConn {
			return nil, err
		}
		if bodyErr := renewBody(call.Request); bodyErr != nil {
			call.end()
			return nil, err
		}
		maxIdle = 0
	}
}

// SetBody sets a body in memory, which can be sent again when nothing of it was sent.
func SetBody(r *http.Request, data []byte) {
	r.ContentLength, r.TransferEncoding = int64(len(data)), nil
	r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(data)), nil }
	r.Body, _ = r.GetBody() // never fails
}

// renewBody replaces the body of a request that may have been read.
func renewBody(r *http.Request) error {
	if r.GetBody == nil {
		return nil // stale has found the body unread
	}
	body, err := r.GetBody()
	if err == nil {
		r.Body = body
	}
	return err
}

// exchange is the state of one request on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	call *Call
	ctx  context.Context

	stopWatch func() bool
	// interrupted is waited for after stopWatch returned false.
	interrupted   sync.WaitGroup
	writtenBefore int64
	body          *trackedBody
	sendResult    chan error
	sendErr       error
	sendDone      bool
	resp          *http.Response
	respBody      responseBody
	detached      bool
	mismatched    bool
	// retryOnNewConn is set when a reused connection was closed before anything was written.
	retryOnNewConn bool
}

func newExchange(ctx context.Context, p *Pool, c *conn, call *Call) *exchange {
	x := &exchange{pool: p, conn: c, call: call, ctx: ctx, writtenBefore: c.written.n}
	c.wire.Expect(call.Request.Method)
	x.interrupted.Add(1)
	x.stopWatch = context.AfterFunc(ctx, x.interrupt)
	return x
}

// interrupt ends reads and writes when ctx is done.
func (x *exchange) interrupt() {
	_ = x.conn.SetDeadline(pastDeadline)
	x.interrupted.Done()
}

// run sends the request and reads the response header.
func (x *exchange) run() (*http.Response, error) {
	x.send()
	resp, err := x.readHeader()
	if err == nil && x.body.broken() {
		err = ErrCallerBody // a response to an incomplete request is not relayed
	}
	if err == nil {
		x.resp = resp
		x.conn.idleTimeout = keepAliveTimeout(resp.Header)
		x.respBody = responseBody{ReadCloser: resp.Body, x: x}
		resp.Body = &x.respBody
		return resp, nil
	}
	x.stopSending()
	return nil, x.fail(err)
}

// send writes the request. A body that is not inline is written concurrently, so that the
// response can be read meanwhile.
func (x *exchange) send() {
	r := x.call.Request
	if r.Body == nil || r.Body == http.NoBody || x.call.Inline {
		x.sendErr = x.write(r)
		x.sendDone = true
		return
	}
	x.body = &trackedBody{ReadCloser: r.Body, left: r.ContentLength}
	out := *r
	out.Body = x.body
	x.sendResult = make(chan error, 1)
	go func() {
		err := x.write(&out)
		if err != nil && x.body.failure() != nil {
			// The target sees the end of the incomplete body, and readHeader is interrupted.
			_ = x.conn.closeWrite()
			_ = x.conn.SetReadDeadline(pastDeadline)
		}
		x.sendResult <- err
	}()
}

func (x *exchange) write(r *http.Request) error {
	if err := x.ctx.Err(); err != nil {
		return err
	}
	x.conn.out.Reset(&x.conn.written)
	if err := r.Write(x.conn.out); err != nil {
		return err
	}
	return x.conn.out.Flush()
}

// stopSending interrupts the writing of the request and waits until it has ended.
func (x *exchange) stopSending() {
	if x.finishedSending() {
		return
	}
	_ = x.conn.SetWriteDeadline(pastDeadline)
	if x.call.StopBody != nil {
		x.call.StopBody()
	}
	x.sendErr = <-x.sendResult
	x.sendDone = true
}

// finishedSending reports whether the writing of the request has ended, with or without
// an error.
func (x *exchange) finishedSending() bool {
	if x.sendDone {
		return true
	}
	select {
	case x.sendErr = <-x.sendResult:
		x.sendDone = true
	default:
	}
	return x.sendDone
}

// readHeader reads the header of the final response and skips interim responses.
func (x *exchange) readHeader() (*http.Response, error) {
	if x.sendDone && x.sendErr != nil && x.conn.written.n == x.writtenBefore {
		return nil, x.sendErr
	}
	for range maxInterim {
		x.conn.headerLimit.remaining = maxResponseHeader
		resp, err := http.ReadResponse(x.conn.in, x.call.Request)
		x.conn.headerLimit.remaining = unlimited
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, x.checkResponse(resp)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrInterim
		}
	}
	return nil, ErrInterim
}

// checkResponse rejects responses that belong to another request, or whose end could not
// be distinguished from a broken connection.
func (x *exchange) checkResponse(resp *http.Response) error {
	if !x.call.AllowUnframed && resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return ErrNoLength
	}
	name := x.call.EchoHeader
	if name == "" {
		return nil
	}
	got, want := resp.Header.Get(name), x.call.Request.Header.Get(name)
	if got == want {
		return nil
	}
	x.mismatched = true
	return errors.Wrapf(ErrResponseMismatch, "%s = %q", name, got)
}

// keepAliveSlack is subtracted from the idle timeout of the target, so that a connection
// is not reused when the target is about to close it.
const keepAliveSlack = time.Second

// keepAliveTimeout returns the idle timeout in the target's Keep-Alive header less
// keepAliveSlack, or 0 when there is none.
func keepAliveTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && strings.EqualFold(name, "timeout") && seconds >= 0 {
			return max(keepAliveSlack/2, time.Duration(seconds)*time.Second-keepAliveSlack)
		}
	}
	return 0
}

// fail returns the error of a failed exchange with its verdict. The sending has ended.
func (x *exchange) fail(readErr error) error {
	if x.conn.written.n == x.writtenBefore {
		x.detachContext()
		_ = x.conn.Close()
		x.retryOnNewConn = x.stale() && x.ctx.Err() == nil
		if !x.retryOnNewConn {
			x.call.end()
		}
		return verdict.Wrap(verdict.NotRun, "write request", x.cause(readErr))
	}
	x.abandon(readErr)
	op := "read response header"
	if x.sendErr != nil && !x.sendInterrupted() {
		op = "write request"
	}
	return verdict.Wrap(verdict.MayHaveRun, op, x.cause(readErr))
}

// sendInterrupted reports whether the sending failed only because it was interrupted after
// a read error.
func (x *exchange) sendInterrupted() bool { return errors.Is(x.sendErr, errDeadline) }

// cause returns the cause of the failure, which may be more specific than the error that
// the connection returned.
func (x *exchange) cause(readErr error) error {
	switch {
	case x.body.broken() && !x.mismatched:
		return errors.Mark(errors.Wrap(x.body.failure(), "request body"), ErrCallerBody)
	case x.ctx.Err() != nil && ClosedByTarget(readErr):
		return errors.Mark(context.Cause(x.ctx), errClosedFirst)
	case x.ctx.Err() != nil:
		return context.Cause(x.ctx)
	case x.sendErr != nil && x.conn.written.n == x.writtenBefore:
		return x.sendErr
	default:
		return readErr
	}
}

// stale reports whether a reused connection was closed before any byte of the request was
// written, and its body was not read or can be read again.
func (x *exchange) stale() bool {
	return x.conn.reused && x.conn.written.n == x.writtenBefore && (x.call.Request.GetBody != nil || !x.bodyRead())
}

// bodyRead reports whether any of the request body may have been read.
func (x *exchange) bodyRead() bool {
	if x.body != nil {
		return x.body.touched()
	}
	return x.call.Request.Body != nil && x.call.Request.Body != http.NoBody
}

// trackedBody records whether the request body was read and how the reading ended.
type trackedBody struct {
	io.ReadCloser
	mu   sync.Mutex
	read bool
	eof  bool
	err  error
	// left is the number of unread bytes, if the length is known.
	left int64
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	b.read = true
	b.mu.Unlock()
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left -= int64(n)
	b.eof = err == io.EOF || b.left == 0
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

func (b *trackedBody) atEnd() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.eof
}

func (b *trackedBody) touched() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read
}

// broken reports whether reading the body failed for a reason other than being stopped.
func (b *trackedBody) broken() bool {
	if b == nil {
		return false
	}
	err := b.failure()
	return err != nil && !errors.Is(err, context.Canceled)
}

func (b *trackedBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}
