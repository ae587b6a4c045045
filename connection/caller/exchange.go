package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	errConnClosed = errors.New("connection is closed")
	errBodyClosed = errors.New("request body is closed")
)

// exchange is one request of a connection and its response. It is the http.ResponseWriter
// of the handler.
type exchange struct {
	conn *conn
	r    *http.Request
	// rejection is the status of a request that could not be read, else 0.
	rejection int
	// exclusive is true if the request must be served alone.
	exclusive bool
	body      *requestBody
	// previous is the exchange before this one on the connection, or nil.
	previous *exchange
	// done is closed when the response has been written.
	done chan struct{}

	header      http.Header
	status      int
	wroteHeader bool
	// noBody is true if the response has no body whatever the handler writes.
	noBody  bool
	chunked bool
	// length is the length of the response body, or -1 if it is unknown.
	length, written int64
	// closes is true if the connection is closed after the response. It is final once decided
	// is true, which the lock of the connection guards.
	closes, decided bool
	err             error
}

func newExchange(c *conn, r *http.Request) *exchange {
	x := &exchange{conn: c, header: make(http.Header), length: -1, done: make(chan struct{})}
	r.RemoteAddr = c.remote
	x.exclusive = r.Body != http.NoBody || !c.server.Idempotent(r)
	x.r = r.WithContext(c.ctx)
	if r.Body != http.NoBody {
		x.body = &requestBody{x: x, source: r.Body, done: make(chan struct{}), expects: expectsContinue(r)}
		x.r.Body = x.body
	}
	return x
}

// newRejection returns the exchange of a request that could not be read.
func newRejection(c *conn, status int) *exchange {
	return &exchange{conn: c, rejection: status, exclusive: true, header: make(http.Header), length: -1, done: make(chan struct{})}
}

// expectation returns what the caller expects before it sends the body, or "". HTTP/1.0 has no
// expectations.
func expectation(r *http.Request) string {
	if !r.ProtoAtLeast(1, 1) {
		return ""
	}
	return r.Header.Get("Expect")
}

func expectsContinue(r *http.Request) bool { return strings.EqualFold(expectation(r), "100-continue") }

// run serves the request and writes the response.
func (x *exchange) run() {
	defer x.conn.exchangeEnded(x)
	defer close(x.done)
	defer x.releaseBody()
	if !x.handle() {
		x.awaitTurn()
		x.conn.breakOff()
		return
	}
	x.finish()
}

// handle calls the handler. It returns false if the handler aborted the response.
func (x *exchange) handle() (ok bool) {
	defer func() {
		if recover() != nil {
			ok = false
		}
	}()
	switch {
	case x.rejection != 0:
		x.reject(x.rejection)
	case x.body != nil && expectation(x.r) != "" && !x.body.expects:
		x.reject(http.StatusExpectationFailed)
	default:
		x.conn.server.Handler.ServeHTTP(x, x.r)
	}
	return true
}

// reject writes a response without running the handler, after which the connection closes.
func (x *exchange) reject(status int) {
	text := http.StatusText(status) + "\n"
	x.header.Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		x.header.Set("Retry-After", refusalRetryAfter)
	}
	x.header.Set("Content-Type", "text/plain; charset=utf-8")
	x.header.Set("Content-Length", strconv.Itoa(len(text)))
	x.WriteHeader(status)
	_, _ = io.WriteString(x, text) // the caller may have disconnected
}

// awaitTurn waits until the response before this one has been written.
func (x *exchange) awaitTurn() {
	if x.previous != nil {
		<-x.previous.done
		x.previous = nil
	}
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter. It waits until all responses before this one
// have been written.
func (x *exchange) WriteHeader(status int) {
	if x.wroteHeader || status < http.StatusOK {
		return // interim responses are not passed on
	}
	x.wroteHeader, x.status = true, status
	x.awaitTurn()
	if x.conn.ctx.Err() != nil {
		x.err = errConnClosed
		return
	}
	x.frame()
	x.decideClose()
	x.writeHead()
}

// frame determines how the end of the response body is marked.
func (x *exchange) frame() {
	x.noBody = (x.r != nil && x.r.Method == http.MethodHead) || x.status == http.StatusNoContent || x.status == http.StatusNotModified
	if n, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		x.length = n
		return
	}
	delete(x.header, "Content-Length")
	switch {
	case x.noBody:
	case x.isHTTP10():
		x.closes = true
	default:
		x.chunked = true
	}
}

func (x *exchange) isHTTP10() bool { return x.r != nil && x.r.ProtoMinor == 0 }

// decideClose determines whether the connection is closed after this response. Then no
// further request of it is started.
func (x *exchange) decideClose() {
	c := x.conn
	explicit := strings.EqualFold(x.header.Get("Connection"), "close")
	c.mu.Lock()
	defer c.mu.Unlock()
	draining := c.server.draining.Load() && c.last == x
	if explicit || draining || x.isHTTP10() || (x.r != nil && x.r.Close) || !x.bodyDiscardable() {
		x.closes = true
	}
	x.decided = true
	c.closing = c.closing || x.closes
}

// bodyDiscardable reports whether the request body was read, or may still be read and is short
// enough to be discarded.
func (x *exchange) bodyDiscardable() bool {
	if x.body == nil || x.body.complete() {
		return true
	}
	return !x.body.expects && !x.body.closed.Load() && x.r.ContentLength >= 0 && x.r.ContentLength <= maxDiscardedBody
}

// writtenByServer are the headers that writeHead writes itself.
var writtenByServer = map[string]bool{"Connection": true, "Transfer-Encoding": true}

func (x *exchange) writeHead() {
	w := x.conn.writer
	line := append(w.AvailableBuffer(), "HTTP/1.1 "...)
	if x.isHTTP10() {
		line = append(w.AvailableBuffer(), "HTTP/1.0 "...)
	}
	line = strconv.AppendInt(line, int64(x.status), 10)
	line = append(append(line, ' '), statusText(x.status)...)
	line = append(line, "\r\n"...)
	if _, ok := x.header["Date"]; !ok {
		line = append(append(line, dateLine(time.Now())...), "\r\n"...)
	}
	_, _ = w.Write(line) // bufio keeps the first error
	if x.closes {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	if x.chunked {
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	_ = x.header.WriteSubset(w, writtenByServer)
	_, x.err = w.WriteString("\r\n")
}

// dateText is the Date header of one second, counted from the Unix epoch.
type dateText struct {
	second int64
	line   string
}

// lastDate is the Date header that was used last.
var lastDate atomic.Pointer[dateText]

// dateLine returns the Date header at a time, without line end.
func dateLine(now time.Time) string {
	second := now.Unix()
	if last := lastDate.Load(); last != nil && last.second == second {
		return last.line
	}
	next := &dateText{second: second, line: "Date: " + now.UTC().Format(http.TimeFormat)}
	lastDate.Store(next)
	return next.line
}

func statusText(status int) string {
	if text := http.StatusText(status); text != "" {
		return text
	}
	return "Status " + strconv.Itoa(status)
}

// Write implements io.Writer.
func (x *exchange) Write(p []byte) (int, error) {
	if !x.wroteHeader {
		x.WriteHeader(http.StatusOK)
	}
	switch {
	case x.err != nil:
		return 0, x.err
	case x.noBody:
		return len(p), nil
	case x.length >= 0 && x.written+int64(len(p)) > x.length:
		return 0, http.ErrContentLength
	case len(p) == 0:
		return 0, nil
	}
	x.written += int64(len(p))
	w := x.conn.writer
	if x.chunked {
		_, _ = fmt.Fprintf(w, "%x\r\n", len(p))
	}
	n, err := w.Write(p)
	if x.chunked {
		_, err = w.WriteString("\r\n")
	}
	x.err = err
	return n, err
}

// finish completes the response. An incomplete one ends the connection.
func (x *exchange) finish() {
	if !x.wroteHeader {
		x.header.Set("Content-Length", "0")
		x.WriteHeader(http.StatusOK)
	}
	if x.chunked && x.err == nil {
		_, x.err = x.conn.writer.WriteString("0\r\n\r\n")
	}
	short := x.length >= 0 && x.written < x.length && !x.noBody
	if x.err != nil || short || x.conn.writer.Flush() != nil {
		x.conn.breakOff()
		return
	}
	if x.closes {
		x.conn.cancelBehind(x)
	}
}

// cancelBehind cancels the requests that were started behind the exchange whose response
// has closed the connection.
func (c *conn) cancelBehind(x *exchange) {
	c.mu.Lock()
	behind := c.last != x
	c.finished = true
	c.mu.Unlock()
	if behind {
		c.cancel()
	}
}

// breakOff closes the connection at once, unless the last response has been sent: then the
// caller gets time to receive it.
func (c *conn) breakOff() {
	if !c.isFinished() {
		c.abort()
	}
}

func (c *conn) isFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished
}

// releaseBody discards a short rest of the request body and lets the connection be read
// again.
func (x *exchange) releaseBody() {
	if x.body != nil {
		x.body.release()
	}
}

// requestBody is the body of a request. The handler may close it while another goroutine
// reads it.
type requestBody struct {
	x      *exchange
	source io.Reader
	// expects is true if the caller waits for an interim response before it sends the body.
	expects bool
	// done is closed when the body is read to its end or no longer needed.
	done     chan struct{}
	doneOnce sync.Once
	ended    atomic.Bool
	closed   atomic.Bool
	// continued is true once the interim response was sent. Only the reader uses it.
	continued bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, errBodyClosed
	}
	if b.expects && !b.continued {
		b.continued = true
		b.sendContinue()
	}
	b.x.conn.holder.Run(-1) // it waits for the caller
	n, err := b.source.Read(p)
	b.x.conn.holder.Run(1)
	switch {
	case err == io.EOF:
		b.ended.Store(true)
		b.doneOnce.Do(func() { close(b.done) })
	case err != nil && !b.closed.Load() && isConnError(err):
		b.x.conn.cancel() // the caller has gone
	}
	return n, err
}

// isConnError reports whether reading a body failed because the connection ended. Otherwise
// the body is malformed, and the caller can still get a response.
func isConnError(err error) bool {
	var failed net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &failed)
}

// sendContinue sends the interim response. The request is served alone, so no other
// response is being written.
func (b *requestBody) sendContinue() {
	_, _ = b.x.conn.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	_ = b.x.conn.writer.Flush() // if it fails, so does the read
}

// Close implements io.Closer. It interrupts a blocked Read.
func (b *requestBody) Close() error {
	if b.ended.Load() || b.closed.Swap(true) {
		return nil
	}
	b.x.conn.interruptBody(b.x)
	return nil
}

// complete reports whether the body was read to its end.
func (b *requestBody) complete() bool { return b.ended.Load() }

// release discards a short rest of the body after the response, and ends the body.
func (b *requestBody) release() {
	if !b.ended.Load() && !b.closed.Load() && !b.x.closes && b.x.conn.ctx.Err() == nil {
		_ = b.x.conn.net.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, b, maxDiscardedBody) // the body is incomplete after an error
	}
	b.doneOnce.Do(func() { close(b.done) })
}
