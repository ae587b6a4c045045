package client

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxResponseHeader is the largest response header in bytes.
	maxResponseHeader = 1 << 20
	// writeTimeout limits how long a host may take to receive one request.
	writeTimeout = 10 * time.Second
	// maxDiscardedBody is how many bytes of a response body that was not read to its end are
	// discarded to keep the connection.
	maxDiscardedBody = 64 << 10
)

var (
	// errBodyClosed reports a response body that was not read to its end.
	errBodyClosed = errors.New("response body closed early")
	// errBodyLeft reports a response body whose request's context ended.
	errBodyLeft = errors.New("the context of the request ended")
)

// pipelineCall is a request that waits for its response.
type pipelineCall struct {
	request *http.Request
	// abandoned is true once nobody waits any more. The connection's mu guards it.
	abandoned bool
	// ended is closed when response or err is set.
	ended    chan struct{}
	response *http.Response
	err      error
	// bodyEnded is closed when the body of the response was read or closed.
	bodyEnded chan struct{}
	bodyOnce  sync.Once
	bodyErr   error
}

// endBody ends the body of the response. It returns false if it had ended before.
func (w *pipelineCall) endBody(err error) bool {
	first := false
	w.bodyOnce.Do(func() {
		first, w.bodyErr = true, err
		close(w.bodyEnded)
	})
	return first
}

// afterEnd returns the error of a read after the end of the body.
func (w *pipelineCall) afterEnd() error { return cmp.Or(w.bodyErr, io.EOF) }

// pipelineConn is a connection with requests in flight. Requests are written by the callers
// in turn, responses are read by one goroutine.
type pipelineConn struct {
	net.Conn
	limit   int
	limited *io.LimitedReader
	reader  *bufio.Reader
	// onEnd is called once the connection takes no further request.
	onEnd func(*pipelineConn)

	// writing is held while a request is added and written, so that both have one order.
	writing sync.Mutex
	mu      sync.Mutex
	calls   []*pipelineCall
	// closing is true once no further request may be sent.
	closing bool
}

func newPipelineConn(conn net.Conn, limit int, onEnd func(*pipelineConn)) *pipelineConn {
	limited := &io.LimitedReader{R: conn, N: maxResponseHeader}
	return &pipelineConn{Conn: conn, limit: limit, limited: limited, reader: bufio.NewReader(limited), onEnd: onEnd}
}

func (c *pipelineConn) hasRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && len(c.calls) < c.limit
}

// start writes a request. It returns errConnFull if the connection takes none.
func (c *pipelineConn) start(r *http.Request) (*pipelineCall, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	call := &pipelineCall{request: r, ended: make(chan struct{}), bodyEnded: make(chan struct{})}
	if !c.push(call) {
		return nil, errConnFull
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	if err := r.Write(c.Conn); err != nil {
		c.stopSending() // a response may still come
		return call, nil
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.WroteHeaders != nil {
		trace.WroteHeaders()
	}
	return call, nil
}

func (c *pipelineConn) push(call *pipelineCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || len(c.calls) >= c.limit {
		return false
	}
	c.calls = append(c.calls, call)
	return true
}

func (c *pipelineConn) stopSending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// await waits for the response to a call.
func (c *pipelineConn) await(ctx context.Context, call *pipelineCall) (*http.Response, error) {
	select {
	case <-call.ended:
		return call.response, call.err
	case <-ctx.Done():
		c.abandon(call)
		return nil, context.Cause(ctx)
	}
}

// abandon records that nobody waits for a call any more. If that holds for all calls, the
// connection is closed, so that the host cancels them.
func (c *pipelineConn) abandon(call *pipelineCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call.abandoned, c.closing = true, true
	call.endBody(errBodyClosed)
	for _, other := range c.calls {
		if !other.abandoned {
			return
		}
	}
	_ = c.Close()
}

func (c *pipelineConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		c.closing = true
		_ = c.Close()
	}
}

// read reads responses until the connection ends, and fails the calls without one.
func (c *pipelineConn) read() {
	err := c.readAll()
	c.stopSending()
	_ = c.Close()
	c.onEnd(c)
	c.writing.Lock() // a request that is being written is in calls afterwards
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		call.err = err
		close(call.ended)
	}
	c.calls = nil
}

// readAll reads responses. It returns an error marked errUnanswered after a response that
// closed the connection, or when the host closed it between two responses.
func (c *pipelineConn) readAll() error {
	for answered := 0; ; answered++ {
		if _, err := c.reader.Peek(1); err != nil {
			err = errors.Wrap(err, "read a response")
			if answered > 0 && errors.Is(err, io.EOF) {
				err = errors.Mark(err, errUnanswered)
			}
			return err
		}
		call := c.first()
		if call == nil {
			return errors.New("a response came without a request")
		}
		c.limited.N = maxResponseHeader
		resp, err := readFinal(c.reader, call.request)
		if err != nil {
			return err
		}
		c.limited.N = math.MaxInt64
		if err := c.deliver(call, resp); err != nil {
			return err
		}
		if resp.Close {
			return errUnanswered
		}
	}
}

// readFinal reads a response and skips interim ones.
func readFinal(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, request)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

func (c *pipelineConn) first() *pipelineCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		return nil
	}
	return c.calls[0]
}

// deliver hands a response to its caller and waits until the body was read or closed, or the
// context of the request ends. It returns an error if the next response cannot be read.
func (c *pipelineConn) deliver(call *pipelineCall, resp *http.Response) error {
	source := resp.Body
	if source == http.NoBody {
		call.endBody(nil)
	}
	resp.Body = &pipelineBody{source: source, call: call}
	c.mu.Lock()
	c.calls = c.calls[1:]
	c.closing = c.closing || resp.Close
	c.mu.Unlock()
	ctx := call.request.Context()
	stop := context.AfterFunc(ctx, func() {
		if call.endBody(errors.Mark(context.Cause(ctx), errBodyLeft)) {
			c.stopSending()
			_ = c.Close() // interrupts a read of the body
		}
	})
	defer stop()
	call.response = resp
	close(call.ended)
	<-call.bodyEnded
	switch {
	case errors.Is(call.bodyErr, errBodyLeft):
		return errUnanswered
	case errors.Is(call.bodyErr, errBodyClosed):
		if _, err := io.CopyN(io.Discard, source, maxDiscardedBody); err != io.EOF {
			return errUnanswered
		}
		return nil
	}
	return call.bodyErr
}

// pipelineBody is the body of a response.
type pipelineBody struct {
	source io.ReadCloser
	call   *pipelineCall
}

// Read implements io.Reader.
func (b *pipelineBody) Read(p []byte) (int, error) {
	select {
	case <-b.call.bodyEnded:
		return 0, b.call.afterEnd()
	default:
	}
	n, err := b.source.Read(p)
	switch {
	case err == io.EOF:
		b.call.endBody(nil)
	case err != nil:
		b.call.endBody(err)
	}
	return n, err
}

// Close implements io.Closer. A long rest of the body ends the connection.
func (b *pipelineBody) Close() error {
	b.call.endBody(errBodyClosed)
	return nil
}
