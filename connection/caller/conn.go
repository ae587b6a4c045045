package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/process/memory"
)

// readState is what the reading goroutine of a connection does.
type readState uint8

const (
	// readIdle waits for the first byte of a request.
	readIdle readState = iota
	// readHead reads a request header.
	readHead
	// readWaiting waits until the request that was read may start.
	readWaiting
	// readBody leaves reading to the handler of a request with a body.
	readBody
	// readEnding discards what the caller sends, since no further request is served.
	readEnding
)

// pastDeadline interrupts a read.
var pastDeadline = time.Unix(1, 0)

// conn is a caller's connection. One goroutine reads requests and starts a goroutine for
// each; those write the responses in turn.
type conn struct {
	server *Server
	net    net.Conn
	head   *headReader
	writer *bufio.Writer
	remote string
	// ctx is the context of all requests. It ends when the caller has closed the connection
	// or a response has closed it.
	ctx    context.Context
	cancel context.CancelFunc
	// holder is what the connection draws on the server's account.
	holder *memory.Holder
	// handlers counts the running handlers.
	handlers handlerGroup

	mu       sync.Mutex
	state    readState
	inFlight int
	// headStart is the time of the first byte of the header that is being read.
	headStart time.Time
	// last is the exchange that was started last, nil if none is in flight.
	last *exchange
	// exclusive is true while last is served alone.
	exclusive bool
	// closing is true once the last response has been determined.
	closing bool
	// finished is true once the response that closes the connection has been sent.
	finished bool
	// changed receives a value when an exchange has ended.
	changed chan struct{}
}

// newConn returns a connection. It fails if the server's account has no room for it.
func newConn(s *Server, accepted net.Conn) (*conn, error) {
	c := &conn{server: s, net: accepted, remote: accepted.RemoteAddr().String(), changed: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	holder, err := s.Memory.Open(c.remote, connBytes, c.abort)
	if err != nil {
		c.cancel()
		return nil, err
	}
	c.holder = holder
	c.ctx = memory.NewContext(c.ctx, holder)
	c.head = newHeadReader(holder.Reader(accepted), s.Limits().HeaderBytes)
	c.head.holder = holder
	c.handlers.workers = s.workers
	c.writer = bufio.NewWriter(holder.Writer(deadlineWriter{accepted}))
	return c, nil
}

// deadlineWriter limits the time of each write.
type deadlineWriter struct{ net.Conn }

// Write implements io.Writer.
func (w deadlineWriter) Write(p []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeStallTimeout)) // fails only on a closed connection, as Write does then
	return w.Conn.Write(p)
}

// serve reads and serves requests until the connection ends.
func (c *conn) serve() {
	for c.serveNext() {
	}
	c.end()
}

// serveNext reads one request and starts it. It returns false when no further request is
// to be read.
func (c *conn) serveNext() bool {
	if err := c.awaitRequest(); err != nil {
		return c.readFailed(err)
	}
	if !c.head.isComplete() {
		c.setState(readHead)
	}
	c.head.limit = c.server.Limits().HeaderBytes
	r, err := c.head.read()
	if err != nil {
		return c.readFailed(err)
	}
	x := newExchange(c, r)
	return c.awaitStart(x) && c.awaitBody(x)
}

// awaitRequest waits for the first byte of a request. One that has arrived is read although the time has passed, as this
// process may have had none to read it earlier.
func (c *conn) awaitRequest() error {
	c.setState(readIdle)
	err := c.head.awaitFirstByte()
	if isTimeout(err) && bytesWaiting(c.net) {
		c.setState(readHead)
		err = c.head.awaitFirstByte()
	}
	return err
}

// readFailed handles a failed read of a request. It always returns false.
func (c *conn) readFailed(err error) bool {
	status := 0
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = c.server.longHeaderStatus(c.head.limit)
	case errors.Is(err, errVersion):
		status = http.StatusHTTPVersionNotSupported
	case errors.Is(err, errMalformed):
		status = http.StatusBadRequest
	case errors.Is(err, memory.ErrShort):
		status = http.StatusServiceUnavailable
	case isTimeout(err):
		return false
	default:
		c.cancel()
		return false
	}
	if c.server.OnReject != nil && !errors.Is(err, memory.ErrShort) {
		c.server.OnReject(c.remote, err)
	}
	x := newRejection(c, status)
	if c.awaitStart(x) {
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
	}
	return false
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// awaitStart waits until x may be served and starts it. It returns false when x must not
// be served any more. Meanwhile it reads ahead as far as the buffer allows, so that the
// caller's end of the connection is noticed.
func (c *conn) awaitStart(x *exchange) bool {
	for {
		started, closing := c.tryStart(x)
		if started || closing {
			return started
		}
		err := c.head.awaitByte()
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			if !c.awaitChange() {
				return false
			}
		case !isTimeout(err):
			c.cancel()
			return false
		}
	}
}

// tryStart starts x if it may be served now. closing is true when nothing further may. The
// read deadline is set before the handler can read the body.
func (c *conn) tryStart(x *exchange) (started, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	draining := c.inFlight > 0 && c.server.draining.Load()
	switch {
	case c.closing || c.ctx.Err() != nil || (draining && !c.last.decided):
		return false, true
	case draining || c.exclusive || c.inFlight >= maxPipelined || (x.exclusive && c.inFlight > 0):
		c.setStateLocked(readWaiting)
		return false, false
	}
	x.previous, c.last = c.last, x
	c.exclusive = x.exclusive
	c.closing = x.r != nil && x.r.Close
	c.inFlight++
	c.holder.Run(1)
	c.holder.Progressed()
	c.setStateLocked(readBody)
	c.handlers.Go(x.run)
	return true, false
}

// awaitChange waits until an exchange has ended, without reading. It returns false when the
// caller has closed the connection.
func (c *conn) awaitChange() bool {
	select {
	case <-c.changed:
		return true
	case <-time.After(goneCheckInterval):
		return c.checkCaller()
	}
}

// checkCaller cancels the requests if the caller has closed the connection, and returns
// false then.
func (c *conn) checkCaller() bool {
	if !closedByPeer(c.net) {
		return true
	}
	c.cancel()
	return false
}

// awaitBody waits until the body of the last started request is read or its handler has
// ended. It returns false when no further request can be read.
func (c *conn) awaitBody(x *exchange) bool {
	if x.body == nil {
		return !c.isClosing()
	}
	ticker := time.NewTicker(goneCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-x.body.done:
			return x.body.complete() && !c.isClosing()
		case <-ticker.C:
			if !c.checkCaller() {
				return false
			}
		}
	}
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// end waits for the requests in flight, meanwhile discards what the caller sends, and
// closes the connection. After a response that closes it, what comes meanwhile is read, so that the response
// arrives; at the end of an idle time nothing is, as a request may be on its way.
func (c *conn) end() {
	c.setState(readEnding)
	for c.requestsInFlight() && c.ctx.Err() == nil {
		if _, err := io.Copy(io.Discard, c.head.buffer); !isTimeout(err) {
			c.cancel()
		}
	}
	c.handlers.Wait()
	if c.isFinished() {
		c.linger()
	}
	c.abort()
}

func (c *conn) requestsInFlight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight > 0
}

// linger closes this side's direction and reads until the caller has closed its own.
func (c *conn) linger() {
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.net) // any end will do
}

// abort closes the connection at once and cancels its requests.
func (c *conn) abort() {
	c.cancel()
	_ = c.net.Close()
}

func (c *conn) setState(s readState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setStateLocked(s)
}

// setStateLocked changes the state and sets the read deadline for it. mu must be held.
func (c *conn) setStateLocked(s readState) {
	if s == readHead && c.state != readHead {
		c.headStart = time.Now()
	}
	c.state = s
	deadline := time.Time{}
	switch {
	case s == readIdle && c.inFlight == 0 && c.server.draining.Load():
		deadline = time.Now().Add(drainIdleTimeout)
	case s == readIdle && c.inFlight == 0:
		deadline = time.Now().Add(c.server.Limits().IdleTimeout)
	case s == readHead:
		deadline = c.headStart.Add(c.server.headerTimeout())
	case s == readEnding && c.inFlight == 0:
		deadline = pastDeadline
	}
	_ = c.net.SetReadDeadline(deadline) // fails only on a closed connection, as the read does then
}

// updateDeadline sets the read deadline of a connection that waits for a request or the rest
// of a header again.
func (c *conn) updateDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == readIdle || c.state == readHead {
		c.setStateLocked(c.state)
	}
}

// interruptBody makes a blocked read of the body of x fail. It does nothing once the connection
// is read for something else.
func (c *conn) interruptBody(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == readBody && c.last == x {
		_ = c.net.SetReadDeadline(pastDeadline)
	}
}

// exchangeEnded records that an exchange has ended, and wakes the reading goroutine if it
// waits for that.
func (c *conn) exchangeEnded(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.holder.Run(-1)
	c.holder.Progressed()
	if c.last == x {
		c.exclusive = false
	}
	if c.inFlight == 0 {
		c.last = nil
	}
	switch c.state {
	case readIdle, readEnding:
		c.setStateLocked(c.state)
	case readWaiting:
		_ = c.net.SetReadDeadline(pastDeadline)
	case readHead, readBody:
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}
