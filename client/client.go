// Package client is the callers' side of the system: it looks up entry hosts,
// caches the answers and sends requests with retries that respect verdicts.
//
// A request is sent again only when that can't run it twice: when no target ran
// it, when its method is idempotent, or when it carries an idempotency key.
package client

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/verdict"
)

// Defaults of Options.
const (
	DefaultTimeout     = 10 * time.Second
	DefaultAttempts    = 3
	DefaultDialTimeout = time.Second
	// DefaultStale is how long an answer serves past its time to live while no
	// API host answers.
	DefaultStale = 10 * time.Minute
)

const (
	// idleConnsPerHost is how many idle connections are kept to each entry host.
	idleConnsPerHost = 256
	// idleConnTimeout closes connections that were idle for so long.
	idleConnTimeout = 60 * time.Second
)

// Options configure a Client.
type Options struct {
	// API lists IP addresses with ports of entry hosts' look-up listeners. At least one.
	API []string
	// Address is the client address that is looked up. Without one, the entry
	// host uses the address it sees.
	Address netip.Addr
	// Timeout is the deadline of a request whose context has none. Default 10 s.
	Timeout time.Duration
	// Attempts bounds how often one request is sent. Default 3.
	Attempts int
	// DialTimeout bounds the opening of a connection. Default 1 s.
	DialTimeout time.Duration
	// Stale is how long an answer may serve past its time to live. Default 10 min.
	Stale time.Duration
	// Unkeyed leaves non-idempotent requests without an idempotency key. Such a
	// request is never sent again once it may have run.
	Unkeyed bool
	// Transport sends the requests. Default: a pool of connections.
	Transport http.RoundTripper
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Client sends requests to services. It is safe for concurrent use.
type Client struct {
	options   Options
	transport http.RoundTripper
	dialer    net.Dialer
	now       func() time.Time
	lookups   *cache
	suspects  *suspects
}

// New returns a client. It makes no call yet.
func New(o Options) (*Client, error) {
	if len(o.API) == 0 {
		return nil, errors.New("client: give at least one API address")
	}
	for _, addr := range o.API {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, errors.Newf("client: API address %q: give an IP address and port", addr)
		}
	}
	o.applyDefaults()
	c := &Client{options: o, transport: o.Transport, now: o.Now, suspects: newSuspects()}
	c.dialer.Timeout = o.DialTimeout
	if c.transport == nil {
		c.transport = &http.Transport{
			DialContext: c.dialer.DialContext, DisableCompression: true,
			MaxIdleConnsPerHost: idleConnsPerHost, IdleConnTimeout: idleConnTimeout,
		}
	}
	c.lookups = newCache(o, c.transport, c.suspects)
	return c, nil
}

func (o *Options) applyDefaults() {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Attempts <= 0 {
		o.Attempts = DefaultAttempts
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.Stale <= 0 {
		o.Stale = DefaultStale
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	if t, ok := c.transport.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

// NewKey returns an idempotency key for a non-idempotent request. A caller that
// keeps it and sets it in the header Idempotency-Key may send the same request
// again, from any process, and it runs at most once.
func (c *Client) NewKey(ctx context.Context, service string) (string, error) {
	answer, err := c.Lookup(ctx, service)
	if err != nil {
		return "", err
	}
	return newKey(answer.KeyPrefix), nil
}

// Do sends a request to a service. The request's URL needs only path and query.
// A body is sent again only when req.GetBody is set, as http.NewRequest does.
//
// With a nil error the caller must close the answer's body, and the verdict is
// the one that the answer states. An error is an *Error; it says what is known
// about the request, and the answer is nil.
func (c *Client) Do(ctx context.Context, service string, req *http.Request) (*http.Response, verdict.Verdict, error) {
	ctx, cancel := c.withDeadline(ctx)
	s := &sending{client: c, service: service, req: req, cancel: cancel}
	resp, v, err := s.run(ctx)
	if err != nil {
		cancel()
		return nil, v, err
	}
	resp.Body = &body{ReadCloser: resp.Body, cancel: cancel}
	return resp, v, nil
}

func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

// jittered lengthens a wait by up to a quarter, so that callers that were
// refused at the same moment do not come back at the same moment.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/4+1))
}
