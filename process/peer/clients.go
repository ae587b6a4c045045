package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds the opening of a TCP connection. helloTimeout bounds the TLS
	// handshake and the hellos that follow.
	dialTimeout = 2 * time.Second
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 2 * time.Second
	// clientInFlight bounds the calls in flight to one address.
	clientInFlight = 16
	// initialBackoff and maxBackoff bound the delay after a failed connection attempt.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// clientIdleTimeout is the time after which an unused connection is not used again; it
	// is closed by the next call to its address or the next call that adds an address. It
	// is shorter than idleTimeout, after which the server closes the connection.
	clientIdleTimeout = time.Minute
)

var (
	// ErrBackoff reports a call that was not sent, because the last connection attempt to
	// the address failed and its backoff has not passed.
	ErrBackoff = errors.New("connection backoff has not passed")
	// ErrClosed reports a call after Close.
	ErrClosed = errors.New("peer client pool is closed")
)

// RPCClient makes RPC calls to other hosts. It is an interface so that tests can use a
// fake network.
type RPCClient interface {
	// Call calls method, in the form Service.Method, at addr. It returns when the reply
	// has arrived, the context ends, or the connection fails. After an error the other
	// host may or may not have run the call, and reply must not be read, since a late
	// response may still be written to it.
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// DialFunc opens a connection. It has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ClientPool is an RPCClient that keeps one connection to each address. It is safe for
// concurrent use.
type ClientPool struct {
	identity *Identity
	dialFunc DialFunc
	hello    hello
	// Traffic counts the messages and bytes of all connections.
	Traffic Traffic
	// OnMessage is called for each call that is sent and each reply that arrives, with the
	// other host's address, the method and the size. It is set before the first call and
	// may be nil.
	OnMessage func(addr, method string, m MessageSize)

	mu     sync.Mutex
	closed bool
	conns  map[string]*peerConn
}

// NewClientPool returns a ClientPool without open connections. With a nil identity its
// connections are not encrypted. If dial is nil, it uses net.Dialer.
func NewClientPool(identity *Identity, dial DialFunc) *ClientPool {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &ClientPool{identity: identity, dialFunc: dial, hello: ownHello(), conns: make(map[string]*peerConn)}
}

// peerConn holds the connection to one address and the backoff after failed attempts.
type peerConn struct {
	// inFlight is a semaphore for the calls in flight. A call beyond its capacity waits
	// for a slot or the end of its context.
	inFlight chan struct{}
	// dialing is held while a connection is opened.
	dialing chan struct{}

	// The fields below are guarded by ClientPool.mu.
	client   *rpc.Client
	lastUsed time.Time
	backoff  *backoff.ExponentialBackOff
	retryAt  time.Time
	lastErr  error
}

func newPeerConn() *peerConn {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialBackoff
	delays.MaxInterval = maxBackoff
	return &peerConn{inFlight: make(chan struct{}, clientInFlight), dialing: make(chan struct{}, 1), backoff: delays}
}

// Call implements RPCClient. A connection that is being opened when ctx ends is kept for
// later calls.
func (c *ClientPool) Call(ctx context.Context, addr, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	pc, err := c.connFor(addr)
	if err != nil {
		return err
	}
	if err := acquire(ctx, pc.inFlight); err != nil {
		return err
	}
	defer func() { <-pc.inFlight }()
	client, err := c.client(ctx, addr, pc)
	if err != nil {
		return err
	}
	return c.send(ctx, pc, client, method, args, reply)
}

func acquire(ctx context.Context, slots chan struct{}) error {
	select {
	case slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *ClientPool) send(ctx context.Context, pc *peerConn, client *rpc.Client, method string, args, reply any) error {
	done := make(chan *rpc.Call, 1)
	go client.Go(method, args, reply, done) // sending may block for up to writeTimeout
	select {
	case <-ctx.Done():
		return ctx.Err()
	case call := <-done:
		var remote rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &remote) {
			c.drop(pc, client)
		}
		return call.Error
	}
}

func (c *ClientPool) connFor(addr string) (*peerConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	pc := c.conns[addr]
	if pc == nil {
		c.dropIdle()
		pc = newPeerConn()
		c.conns[addr] = pc
	}
	if pc.idle() {
		pc.close()
	}
	pc.lastUsed = time.Now()
	return pc, nil
}

// dropIdle closes and removes the idle connections. c.mu must be held.
func (c *ClientPool) dropIdle() {
	for addr, pc := range c.conns {
		if pc.idle() {
			pc.close()
			delete(c.conns, addr)
		}
	}
}

// idle reports whether the connection has been unused for clientIdleTimeout.
func (pc *peerConn) idle() bool {
	return time.Since(pc.lastUsed) >= clientIdleTimeout && len(pc.inFlight) == 0
}

// close closes the connection, if it is open, so that the next call opens a new one.
func (pc *peerConn) close() {
	if pc.client != nil {
		_ = pc.client.Close()
		pc.client = nil
	}
}

// client returns the RPC client of a connection and opens the connection if needed.
func (c *ClientPool) client(ctx context.Context, addr string, pc *peerConn) (*rpc.Client, error) {
	if err := acquire(ctx, pc.dialing); err != nil {
		return nil, err
	}
	c.mu.Lock()
	client, retryAt, lastErr := pc.client, pc.retryAt, pc.lastErr
	c.mu.Unlock()
	if client != nil {
		<-pc.dialing
		return client, nil
	}
	if time.Now().Before(retryAt) {
		<-pc.dialing
		return nil, errors.Mark(errors.Wrapf(lastErr, "peer %s", addr), ErrBackoff)
	}
	opened := make(chan openResult, 1)
	go func() {
		defer func() { <-pc.dialing }()
		opened <- c.open(addr, pc)
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case result := <-opened:
		return result.client, result.err
	}
}

// openResult is the outcome of an attempt to open a connection.
type openResult struct {
	client *rpc.Client
	err    error
}

// open opens the connection to an address. pc.dialing must be held. It is bounded by
// dialTimeout and helloTimeout, not by the context of a call, so that a connection that
// takes longer than one call is opened in the end.
func (c *ClientPool) open(addr string, pc *peerConn) openResult {
	conn, err := c.dial(context.Background(), addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		pc.lastErr = err
		pc.retryAt = time.Now().Add(pc.backoff.NextBackOff())
		return openResult{err: errors.Wrapf(err, "peer %s", addr)}
	}
	if c.closed {
		_ = conn.Close()
		return openResult{err: ErrClosed}
	}
	pc.backoff.Reset()
	pc.client = rpc.NewClientWithCodec(c.newCodec(conn, addr))
	return openResult{client: pc.client}
}

// newCodec returns the codec of a connection to an address.
func (c *ClientPool) newCodec(conn net.Conn, addr string) *codec {
	codec := newCodec(conn, &c.Traffic, 0)
	if c.OnMessage != nil {
		codec.onMessage = func(method string, m MessageSize) { c.OnMessage(addr, method, m) }
	}
	return codec
}

func (c *ClientPool) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialFunc(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn = &countingConn{Conn: conn, traffic: &c.Traffic}
	if c.identity != nil {
		conn = tls.Client(conn, c.identity.clientConfig())
	}
	if _, err := exchangeHellos(conn, c.hello); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (c *ClientPool) drop(pc *peerConn, client *rpc.Client) {
	c.mu.Lock()
	if pc.client == client {
		pc.client = nil
	}
	c.mu.Unlock()
	_ = client.Close()
}

// Close closes all connections. Later calls fail with ErrClosed.
func (c *ClientPool) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, pc := range c.conns {
		pc.close()
	}
	clear(c.conns)
}
