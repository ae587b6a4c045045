// Package client is the client library for callers: it looks up entry hosts,
// caches the answers, and sends requests with retries that depend on the verdict, which says
// whether a target ran the request.
//
// A request is retried only when it is safe to do so: when no target ran it, when
// its method is idempotent, or when it carries an idempotency key.
package client

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"quetzalknot/httpwire"
	"quetzalknot/verdict"
)

// Defaults of Options.
const (
	DefaultTimeout     = 10 * time.Second
	DefaultAttempts    = 3
	DefaultDialTimeout = time.Second
	// DefaultStale is how long a cached look-up answer may be used past its time to live
	// while look-ups fail.
	DefaultStale = 10 * time.Minute
)

const (
	// idleConnsPerHost is how many idle connections are kept to each entry host.
	idleConnsPerHost = 256
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 60 * time.Second
)

// Options configure a Client.
type Options struct {
	// API lists IP addresses with ports of entry hosts' look-up listeners. At least one.
	API []string
	// Address is the client address that look-ups and requests state. Without one, the
	// entry host uses the remote address of the connection.
	Address netip.Addr
	// Caller is the name of this caller. It spreads callers that share an address
	// over the entry hosts. Default: a random name.
	Caller string
	// Timeout is the deadline of a request whose context has none. Default 10 s.
	Timeout time.Duration
	// Attempts limits how often one request is sent. Default 3.
	Attempts int
	// DialTimeout limits how long opening a connection may take. Default 1 s.
	DialTimeout time.Duration
	// Stale is how long a cached look-up answer may be used past its time to live while
	// look-ups fail. Default 10 min.
	Stale time.Duration
	// Unkeyed disables the generation of idempotency keys for non-idempotent
	// requests. Such a request without a key is never retried once it may have run.
	Unkeyed bool
	// Transport sends the requests. Default: an httpwire.Transport.
	Transport http.RoundTripper
	// Pipeline is the number of idempotent requests without a body that may be in flight on
	// one connection to an entry host; responses come in their order. With 0 a connection has
	// one request at a time.
	Pipeline int
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

// New returns a client. It does not connect to any host.
func New(o Options) (*Client, error) {
	if len(o.API) == 0 {
		return nil, errors.New("client: at least one API address is required")
	}
	for _, addr := range o.API {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, errors.Newf("client: API address %q is not an IP address and port", addr)
		}
	}
	o.applyDefaults()
	c := &Client{options: o, transport: o.Transport, now: o.Now, suspects: newSuspects()}
	c.dialer.Timeout = o.DialTimeout
	if c.transport == nil {
		c.transport = httpwire.NewTransport(&http.Transport{
			DialContext: c.dialer.DialContext, DisableCompression: true,
			MaxIdleConnsPerHost: idleConnsPerHost, IdleConnTimeout: idleConnTimeout,
		})
	}
	c.lookups = newCache(o, c.transport, c.suspects)
	if o.Pipeline > 0 {
		c.transport = NewPipelined(c.transport, o.Pipeline, c.dialer.DialContext)
	}
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
	if o.Caller == "" {
		o.Caller = ulid.Make().String()
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
// keeps it and sets it in the header Idempotency-Key may retry the same request
// from any process, and the request runs at most once.
func (c *Client) NewKey(ctx context.Context, service string) (string, error) {
	answer, err := c.Lookup(ctx, service)
	if err != nil {
		return "", err
	}
	return newKey(answer.KeyPrefix), nil
}

// Do sends a request to a service. The request's URL needs only path and query.
// A request with a body is retried only when req.GetBody is set, as
// http.NewRequest does.
//
// If the error is nil, the caller must close the response's body. The verdict is
// then that of the response, or MayHaveRun when the response says NotRun but an
// earlier attempt may have run. Otherwise the response is nil and the error is an
// *Error with the verdict over all attempts.
func (c *Client) Do(ctx context.Context, service string, req *http.Request) (*http.Response, verdict.Verdict, error) {
	ctx, cancel := c.withDeadline(ctx)
	pending := &call{client: c, service: service, req: req, cancel: cancel}
	resp, v, err := pending.run(ctx)
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

// withJitter lengthens a delay by up to a quarter, so that callers whose requests were
// rejected at the same time do not retry at the same time.
func withJitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/4+1))
}
