package client

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"quetzalknot/verdict"
	"quetzalknot/version/lookup"
)

// Headers that the client sets on requests.
const (
	HeaderService        = "Quetzal-Service"
	HeaderClient         = "Quetzal-Client"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Quetzal-Timeout-Ms"
)

// entryCheckInterval is the time between two checks that the entry host of a request
// in flight still accepts connections.
const entryCheckInterval = time.Second

// errEntryGone reports that the entry host stopped accepting connections.
var errEntryGone = errors.New("the entry host no longer accepts connections")

func newKey(prefix string) string { return prefix + ulid.Make().String() }

// call is one request with the state of its attempts.
type call struct {
	client         *Client
	service        string
	req            *http.Request
	cancel         func()
	key            string
	failedAttempts []Attempt
	// attemptCount counts all attempts, including those that received a response.
	attemptCount int
	// mayHaveRun is true once any attempt may have run the request.
	mayHaveRun bool
}

// run makes attempts until one receives a final response or no further attempt is allowed.
func (c *call) run(ctx context.Context) (*http.Response, verdict.Verdict, error) {
	answer, err := c.client.Lookup(ctx, c.service)
	if err != nil {
		return nil, verdict.NotRun, c.newError(err)
	}
	entries := c.client.suspects.order(answer.Entries, c.client.now())
	if len(entries) == 0 {
		return nil, verdict.NotRun, c.newError(ErrNoEntry)
	}
	c.key = c.chooseKey(cmp.Or(entries[0].KeyPrefix, answer.KeyPrefix))
	for {
		entry := entries[c.attemptCount%len(entries)]
		c.renewKey(entry)
		resp, err := c.attempt(ctx, entry)
		c.attemptCount++
		next := c.decide(resp, err)
		c.recordResult(entry, err)
		if !next.retry || !sleep(ctx, next.delay) {
			return c.finish(resp, next.verdict, err)
		}
		closeBody(resp)
	}
}

// chooseKey returns the idempotency key: the one that the caller has set in the header, a new
// one for a non-idempotent request, or "".
func (c *call) chooseKey(prefix string) string {
	if key := c.req.Header.Get(HeaderIdempotencyKey); key != "" {
		return key
	}
	if idempotent(c.req.Method) || c.client.options.Unkeyed || prefix == "" {
		return ""
	}
	return newKey(prefix)
}

// renewKey replaces a generated key, while no earlier attempt may have run, by one that
// the next entry host owns. Otherwise the request could not run when the host that owns
// the old key is down.
func (c *call) renewKey(entry lookup.Host) {
	generated := c.key != "" && c.req.Header.Get(HeaderIdempotencyKey) == ""
	if generated && c.attemptCount > 0 && !c.mayHaveRun && entry.KeyPrefix != "" {
		c.key = newKey(entry.KeyPrefix)
	}
}

func (c *call) attempt(ctx context.Context, entry lookup.Host) (*http.Response, error) {
	out, err := c.outbound(ctx, entry)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, "prepare", err)
	}
	ctx, cancel := context.WithCancelCause(out.Context())
	done := make(chan struct{})
	defer close(done)
	go c.client.watchEntry(ctx, entry.Addr, done, cancel)
	var wrote atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }})
	resp, err := c.client.transport.RoundTrip(out.WithContext(traced))
	if err == nil {
		return resp, nil
	}
	if cause := context.Cause(ctx); errors.Is(cause, errEntryGone) {
		err = cause
	}
	if wrote.Load() {
		// A dial error does not prove that the request was not sent: the transport
		// may have sent it on a reused connection before it dialed again.
		return nil, verdict.Wrap(verdict.MayHaveRun, "send", err)
	}
	return nil, verdict.Wrap(verdictOf(err), "send", err)
}

// verdictOf returns NotRun for a failure to connect, before any byte was sent, and
// MayHaveRun for any later failure.
func verdictOf(err error) verdict.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// watchEntry cancels a request in flight when its entry host stops accepting connections. It
// returns when done is closed.
func (c *Client) watchEntry(ctx context.Context, addr string, done <-chan struct{}, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(entryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		conn, err := c.dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			cancel(errEntryGone)
			return
		}
		_ = conn.Close()
	}
}

func (c *call) outbound(ctx context.Context, entry lookup.Host) (*http.Request, error) {
	out := c.req.Clone(ctx)
	if c.attemptCount > 0 && c.hasBody() {
		body, err := c.req.GetBody()
		if err != nil {
			return nil, err
		}
		out.Body = body
	}
	out.URL.Scheme = "http"
	out.URL.Host = entry.Addr
	out.Host = c.service
	if out.Header == nil {
		out.Header = make(http.Header)
	}
	out.Header.Set(HeaderService, c.service)
	if address := c.client.options.Address; address.IsValid() {
		out.Header.Set(HeaderClient, address.String())
	}
	if c.key != "" {
		out.Header.Set(HeaderIdempotencyKey, c.key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := deadline.Sub(c.client.now()).Milliseconds()
		out.Header.Set(HeaderTimeout, strconv.FormatInt(max(remaining, 1), 10))
	}
	return out, nil
}

func (c *call) hasBody() bool { return c.req.Body != nil && c.req.Body != http.NoBody }

// recordResult updates the suspects with the result of an attempt, and keeps a failed
// attempt for the final error.
func (c *call) recordResult(entry lookup.Host, err error) {
	if err == nil {
		c.client.suspects.clear(entry.Addr)
		return
	}
	c.failedAttempts = append(c.failedAttempts, Attempt{Host: entry.Name, Verdict: verdict.Of(err), Err: err})
	c.client.suspects.add(entry.Addr, c.client.now())
}

func (c *call) finish(resp *http.Response, v verdict.Verdict, err error) (*http.Response, verdict.Verdict, error) {
	if err != nil {
		failure := c.newError(err)
		return nil, failure.Verdict, failure
	}
	if v == verdict.NotRun && c.mayHaveRun {
		v = verdict.MayHaveRun
	}
	return resp, v, nil
}

func (c *call) newError(err error) *Error {
	v := verdict.NotRun
	if c.mayHaveRun {
		v = verdict.MayHaveRun
	}
	return &Error{Service: c.service, Verdict: v, Attempts: c.failedAttempts, Err: err}
}

func closeBody(resp *http.Response) {
	if resp != nil {
		_ = resp.Body.Close()
	}
}

// sleep waits for d. It returns false when ctx has ended or its deadline is too close.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
