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

// Headers of a request and of its answer.
const (
	HeaderService = "Quetzal-Service"
	HeaderClient  = "Quetzal-Client"
	HeaderKey     = "Idempotency-Key"
	HeaderTimeout = "Quetzal-Timeout-Ms"
)

// probeInterval is the time between two checks that the entry host of a waiting
// request still takes connections.
const probeInterval = time.Second

// errEntryGone reports that the entry host stopped taking connections.
var errEntryGone = errors.New("the entry host takes no connections")

func newKey(prefix string) string { return prefix + ulid.Make().String() }

// sending is one request on its way through its attempts.
type sending struct {
	client   *Client
	service  string
	req      *http.Request
	cancel   func()
	key      string
	attempts []Attempt
	// sent counts attempts, also those that were answered.
	sent int
	// ran is true once an attempt may have run.
	ran bool
}

// run sends the request until it is answered or may not be sent again.
func (s *sending) run(ctx context.Context) (*http.Response, verdict.Verdict, error) {
	answer, err := s.client.Lookup(ctx, s.service)
	if err != nil {
		return nil, verdict.NotRun, s.fail(err)
	}
	entries := s.client.suspects.order(answer.Entries, s.client.now())
	if len(entries) == 0 {
		return nil, verdict.NotRun, s.fail(ErrNoEntry)
	}
	s.key = s.chooseKey(cmp.Or(entries[0].KeyPrefix, answer.KeyPrefix))
	for {
		entry := entries[s.sent%len(entries)]
		s.renewKey(entry)
		resp, err := s.attempt(ctx, entry)
		s.sent++
		next := s.next(resp, err)
		s.note(entry, err)
		if !next.again || !sleep(ctx, next.after) {
			return s.finish(resp, next.verdict, err)
		}
		discard(resp)
	}
}

// chooseKey returns the caller's key, a new one for a non-idempotent request, or "".
func (s *sending) chooseKey(prefix string) string {
	if key := s.req.Header.Get(HeaderKey); key != "" {
		return key
	}
	if idempotent(s.req.Method) || s.client.options.Unkeyed || prefix == "" {
		return ""
	}
	return newKey(prefix)
}

// renewKey makes the next entry host the owner of a key that no earlier attempt can
// have run, so that a dead host does not keep the request from running.
func (s *sending) renewKey(entry lookup.Host) {
	made := s.key != "" && s.req.Header.Get(HeaderKey) == ""
	if made && s.sent > 0 && !s.ran && entry.KeyPrefix != "" {
		s.key = newKey(entry.KeyPrefix)
	}
}

func (s *sending) attempt(ctx context.Context, entry lookup.Host) (*http.Response, error) {
	out, err := s.outbound(ctx, entry)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, "prepare", err)
	}
	ctx, cancel := context.WithCancelCause(out.Context())
	answered := make(chan struct{})
	defer close(answered)
	go s.client.probe(ctx, entry.Addr, answered, cancel)
	var wrote atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }})
	resp, err := s.client.transport.RoundTrip(out.WithContext(traced))
	if err == nil {
		return resp, nil
	}
	if cause := context.Cause(ctx); errors.Is(cause, errEntryGone) {
		err = cause
	}
	if wrote.Load() {
		// The transport may have sent the request before, and failed to dial again.
		return nil, verdict.Wrap(verdict.MayHaveRun, "send", err)
	}
	return nil, verdict.Wrap(verdictOf(err), "send", err)
}

// verdictOf tells a failure before the first byte from a later one.
func verdictOf(err error) verdict.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// probe cancels a waiting request when its entry host stops taking connections.
func (c *Client) probe(ctx context.Context, addr string, answered <-chan struct{}, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-answered:
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

func (s *sending) outbound(ctx context.Context, entry lookup.Host) (*http.Request, error) {
	out := s.req.Clone(ctx)
	if s.sent > 0 && s.hasBody() {
		data, err := s.req.GetBody()
		if err != nil {
			return nil, err
		}
		out.Body = data
	}
	out.URL.Scheme = "http"
	out.URL.Host = entry.Addr
	out.Host = s.service
	if out.Header == nil {
		out.Header = make(http.Header)
	}
	out.Header.Set(HeaderService, s.service)
	if address := s.client.options.Address; address.IsValid() {
		out.Header.Set(HeaderClient, address.String())
	}
	if s.key != "" {
		out.Header.Set(HeaderKey, s.key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := deadline.Sub(s.client.now()).Milliseconds()
		out.Header.Set(HeaderTimeout, strconv.FormatInt(max(left, 1), 10))
	}
	return out, nil
}

func (s *sending) hasBody() bool { return s.req.Body != nil && s.req.Body != http.NoBody }

// note keeps a failed attempt and sets the entry host behind the others.
func (s *sending) note(entry lookup.Host, err error) {
	if err == nil {
		s.client.suspects.clear(entry.Addr)
		return
	}
	s.attempts = append(s.attempts, Attempt{Host: entry.Name, Verdict: verdict.Of(err), Err: err})
	s.client.suspects.add(entry.Addr, s.client.now())
}

func (s *sending) finish(resp *http.Response, v verdict.Verdict, err error) (*http.Response, verdict.Verdict, error) {
	if err != nil {
		failure := s.fail(err)
		return nil, failure.Verdict, failure
	}
	if v == verdict.NotRun && s.ran {
		v = verdict.MayHaveRun
	}
	return resp, v, nil
}

func (s *sending) fail(err error) *Error {
	v := verdict.NotRun
	if s.ran {
		v = verdict.MayHaveRun
	}
	return &Error{Service: s.service, Verdict: v, Attempts: s.attempts, Err: err}
}

func discard(resp *http.Response) {
	if resp != nil {
		_ = resp.Body.Close()
	}
}

// sleep waits, and reports false when the context's deadline leaves no time.
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
