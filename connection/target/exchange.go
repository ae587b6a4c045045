package target

import (
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

// maxInterim is how many 1xx answers a target may send before its answer.
const maxInterim = 8

var (
	// ErrCrossed reports an answer that belongs to another request.
	ErrCrossed = errors.New("answer belongs to another request")
	// ErrInterim reports a 1xx answer that was not asked for, or too many of them.
	ErrInterim = errors.New("unexpected interim answer")
	// ErrNoLength reports an answer body that only the end of the connection would end.
	ErrNoLength = errors.New("answer has neither a length nor chunks")
	// ErrCallerBody reports that the request body could not be read from the caller.
	ErrCallerBody = errors.New("request body from the caller")
)

// longAgo is a deadline that has always passed.
var longAgo = time.Unix(1, 0)

// Call is one request to one target.
type Call struct {
	// Addr is the target's IP address and port.
	Addr string
	// Request is sent as it is. Its body may still be read until the answer's body is closed.
	Request *http.Request
	// EchoHeader names the header that the target repeats from the request in its
	// answer. Empty: answers are not checked.
	EchoHeader string
	// Inline says that the body is short and in memory, so that it is written before
	// the answer is read.
	Inline bool
	// Fresh keeps the request off connections that were idle for long.
	Fresh bool
	// Unframed accepts answers whose body only the end of the connection ends.
	Unframed bool
	// Abrupt closes the connection at once when the request is given up, in place of
	// waiting for the target to end it.
	Abrupt bool
	// Deadline is the time by which the target was told to end the request.
	Deadline time.Time
	// StopBody makes a blocked read of the request body return an error that is
	// context.Canceled. It may be nil.
	StopBody func()
	// Ended is called once, when the target is known to have ended the request, or
	// its deadline and a grace time have passed. It may be nil.
	Ended func()
}

func (c *Call) end() {
	if c.Ended != nil {
		c.Ended()
	}
}

// Exchange sends one request and returns the answer's header. The body ends the
// exchange when it is closed; a connection whose answer was not read whole is
// never used again. When ctx ends, the request is cancelled at the target. Every
// error is a verdict.Error.
func (p *Pool) Exchange(ctx context.Context, call *Call) (*http.Response, error) {
	maxIdle := idleTime
	if call.Fresh {
		maxIdle = freshIdleTime
	}
	for {
		c, err := p.connection(ctx, call.Addr, maxIdle)
		if err != nil {
			call.end()
			return nil, verdict.Wrap(verdict.NotRun, "dial", err)
		}
		x := newExchange(ctx, p, c, call)
		resp, err := x.run()
		if err == nil {
			return resp, nil
		}
		if !x.tryFresh {
			return nil, err
		}
		maxIdle = 0
	}
}

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	call *Call
	ctx  context.Context

	stop        func() bool
	interrupted chan struct{}
	before      int64
	body        *trackedBody
	sent        chan error
	sendErr     error
	sendDone    bool
	resp        *http.Response
	settled     bool
	crossed     bool
	// tryFresh is set when nothing was written because a reused connection was closed.
	tryFresh bool
}

func newExchange(ctx context.Context, p *Pool, c *conn, call *Call) *exchange {
	x := &exchange{pool: p, conn: c, call: call, ctx: ctx, before: c.written.n}
	x.interrupted = make(chan struct{})
	x.stop = context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(longAgo)
		close(x.interrupted)
	})
	return x
}

// run sends the request and reads the answer's header.
func (x *exchange) run() (*http.Response, error) {
	x.send()
	resp, err := x.readHeader()
	if err == nil && x.body.broken() {
		err = ErrCallerBody // an answer to a part of a request is not passed on
	}
	if err == nil {
		x.resp = resp
		x.conn.keep = keepAlive(resp.Header)
		resp.Body = &answerBody{ReadCloser: resp.Body, x: x}
		return resp, nil
	}
	x.stopSending()
	return nil, x.fail(err)
}

// send writes the request, beside the reading when it has a body.
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
	x.sent = make(chan error, 1)
	go func() {
		err := x.write(&out)
		if err != nil && x.body.failure() != nil {
			// The target sees the broken body, and the reading ends.
			_ = x.conn.closeWrite()
			_ = x.conn.SetReadDeadline(longAgo)
		}
		x.sent <- err
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

// stopSending ends the sending and waits until nothing more is written.
func (x *exchange) stopSending() {
	if x.finishedSending() {
		return
	}
	_ = x.conn.SetWriteDeadline(longAgo)
	if x.call.StopBody != nil {
		x.call.StopBody()
	}
	x.sendErr = <-x.sent
	x.sendDone = true
}

// finishedSending reports whether the sending has ended, with or without an error.
func (x *exchange) finishedSending() bool {
	if x.sendDone {
		return true
	}
	select {
	case x.sendErr = <-x.sent:
		x.sendDone = true
	default:
	}
	return x.sendDone
}

func (x *exchange) readHeader() (*http.Response, error) {
	if x.sendDone && x.sendErr != nil && x.conn.written.n == x.before {
		return nil, x.sendErr
	}
	for range maxInterim {
		x.conn.limit.left = maxAnswerHeader
		resp, err := http.ReadResponse(x.conn.in, x.call.Request)
		x.conn.limit.left = unlimited
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, x.check(resp)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrInterim
		}
	}
	return nil, ErrInterim
}

// check refuses answers that are not known to belong to the request, or whose end
// could not be told from a break.
func (x *exchange) check(resp *http.Response) error {
	if !x.call.Unframed && resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
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
	x.crossed = true
	return errors.Wrapf(ErrCrossed, "%s = %q", name, got)
}

// keepAliveSlack is how long before the target's own limit a connection is not used
// any more.
const keepAliveSlack = time.Second

// keepAlive returns how long the target keeps an idle connection, less a slack, or 0
// when it does not say.
func keepAlive(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && strings.EqualFold(name, "timeout") && seconds >= 0 {
			return max(keepAliveSlack/2, time.Duration(seconds)*time.Second-keepAliveSlack)
		}
	}
	return 0
}

// fail turns the failure of a request whose sending has ended into its verdict.
func (x *exchange) fail(readErr error) error {
	if x.conn.written.n == x.before {
		x.settle()
		_ = x.conn.Close()
		x.tryFresh = x.stale() && x.ctx.Err() == nil
		if !x.tryFresh {
			x.call.end()
		}
		return verdict.Wrap(verdict.NotRun, "write request", x.cause(readErr))
	}
	x.abandon(readErr)
	op := "read answer header"
	if x.sendErr != nil && !x.stoppedBySelf() {
		op = "write request"
	}
	return verdict.Wrap(verdict.MayHaveRun, op, x.cause(readErr))
}

// stoppedBySelf reports that the sending failed only because the reading had.
func (x *exchange) stoppedBySelf() bool { return errors.Is(x.sendErr, errDeadline) }

// cause prefers what ended the request over what was seen of it on the connection.
func (x *exchange) cause(readErr error) error {
	switch {
	case x.body.broken() && !x.crossed:
		return errors.Mark(errors.Wrap(x.body.failure(), "request body"), ErrCallerBody)
	case x.ctx.Err() != nil:
		return context.Cause(x.ctx)
	case x.sendErr != nil && x.conn.written.n == x.before:
		return x.sendErr
	default:
		return readErr
	}
}

// stale reports that a reused connection was found closed before a byte of the
// request was written and before its body was touched.
func (x *exchange) stale() bool {
	untouched := x.body == nil || !x.body.touched()
	return x.conn.reused && x.conn.written.n == x.before && untouched
}

// trackedBody remembers whether the request body was read and how that ended.
type trackedBody struct {
	io.ReadCloser
	mu   sync.Mutex
	read bool
	eof  bool
	err  error
	// left is how many bytes are still to be read, when the length is known.
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

// broken reports whether the body failed by itself, and not because it was stopped.
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
