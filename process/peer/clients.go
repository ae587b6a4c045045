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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 2 * time.Second
	// clientInFlight bounds the calls in flight to one address.
	clientInFlight = 16
	// firstBackoff and maxBackoff bound the pause after a failed connection.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// clientIdle is how long an unused connection is kept; less than idleTimeout.
	clientIdle = time.Minute
)

var (
	// ErrBackoff reports a call that was not sent, since the last connection to the
	// address failed a short time ago.
	ErrBackoff = errors.New("waiting before the next connection")
	// ErrClosed reports a call after Close.
	ErrClosed = errors.New("peer clients are closed")
)

// Caller makes calls to other hosts. The one method is an interface so that
// tests can put a fake network in its place.
type Caller interface {
	// Call calls method, in the form Service.Method, at addr. It returns when the
	// reply is there, the context ends, or the connection fails. An error does not
	// say whether the other host ran the call. After an error reply must not be
	// read, since a late answer may still be written to it.
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Dial opens a connection; it has the form of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Clients is a Caller that keeps one connection to each address. It is safe for
// concurrent use.
type Clients struct {
	identity *Identity
	dialer   Dial
	hello    hello
	// Traffic counts the clients' messages and bytes.
	Traffic Traffic

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// NewClients returns a Caller without connections. With a nil identity its
// connections are in the clear; a nil dial means net.Dialer.
func NewClients(identity *Identity, dial Dial) *Clients {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Clients{identity: identity, dialer: dial, hello: ownHello(), links: make(map[string]*link)}
}

// link is the connection to one address, and what is known of failed ones.
type link struct {
	// inFlight bounds the calls; a call beyond it waits until its context ends.
	inFlight chan struct{}
	// dialing is held while a connection is opened.
	dialing chan struct{}

	// The rest is guarded by Clients.mu.
	client  *rpc.Client
	used    time.Time
	backoff *backoff.ExponentialBackOff
	retryAt time.Time
	lastErr error
}

func newLink() *link {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstBackoff
	pauses.MaxInterval = maxBackoff
	return &link{inFlight: make(chan struct{}, clientInFlight), dialing: make(chan struct{}, 1), backoff: pauses}
}

// Call implements Caller.
func (c *Clients) Call(ctx context.Context, addr, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	l, err := c.link(addr)
	if err != nil {
		return err
	}
	if err := acquire(ctx, l.inFlight); err != nil {
		return err
	}
	defer func() { <-l.inFlight }()
	client, err := c.client(ctx, addr, l)
	if err != nil {
		return err
	}
	return c.send(ctx, l, client, method, args, reply)
}

func acquire(ctx context.Context, slots chan struct{}) error {
	select {
	case slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Clients) send(ctx context.Context, l *link, client *rpc.Client, method string, args, reply any) error {
	done := make(chan *rpc.Call, 1)
	go client.Go(method, args, reply, done) // sending may block for as long as a write may take
	select {
	case <-ctx.Done():
		return ctx.Err()
	case call := <-done:
		var remote rpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &remote) {
			c.drop(l, client)
		}
		return call.Error
	}
}

func (c *Clients) link(addr string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	l := c.links[addr]
	if l == nil {
		c.dropIdle()
		l = newLink()
		c.links[addr] = l
	}
	l.used = time.Now()
	return l, nil
}

// dropIdle closes connections that have not been used for a while.
func (c *Clients) dropIdle() {
	for addr, l := range c.links {
		if time.Since(l.used) < clientIdle || len(l.inFlight) > 0 {
			continue
		}
		if l.client != nil {
			_ = l.client.Close()
		}
		delete(c.links, addr)
	}
}

// client returns the connection of a link, opened when there is none.
func (c *Clients) client(ctx context.Context, addr string, l *link) (*rpc.Client, error) {
	if err := acquire(ctx, l.dialing); err != nil {
		return nil, err
	}
	defer func() { <-l.dialing }()
	c.mu.Lock()
	client, retryAt, lastErr := l.client, l.retryAt, l.lastErr
	c.mu.Unlock()
	if client != nil {
		return client, nil
	}
	if time.Now().Before(retryAt) {
		return nil, errors.Mark(errors.Wrapf(lastErr, "peer %s", addr), ErrBackoff)
	}
	conn, err := c.dial(ctx, addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		l.lastErr = err
		l.retryAt = time.Now().Add(l.backoff.NextBackOff())
		return nil, errors.Wrapf(err, "peer %s", addr)
	}
	if c.closed {
		_ = conn.Close()
		return nil, ErrClosed
	}
	l.backoff.Reset()
	l.client = rpc.NewClientWithCodec(newCodec(conn, &c.Traffic, 0))
	return l.client, nil
}

func (c *Clients) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialer(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn = &countedConn{Conn: conn, traffic: &c.Traffic}
	if c.identity != nil {
		conn = tls.Client(conn, c.identity.clientConfig())
	}
	if _, err := greet(conn, c.hello); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (c *Clients) drop(l *link, client *rpc.Client) {
	c.mu.Lock()
	if l.client == client {
		l.client = nil
	}
	c.mu.Unlock()
	_ = client.Close()
}

// Close closes every connection. Later calls fail with ErrClosed.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range c.links {
		if l.client != nil {
			_ = l.client.Close()
		}
	}
	clear(c.links)
}
