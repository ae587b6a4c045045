package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"quetzalknot/version/lookup"
)

const (
	// lookupTimeout bounds one look-up at one API host.
	lookupTimeout = 2 * time.Second
	// maxAnswerBytes is the largest accepted answer to a look-up.
	maxAnswerBytes = 64 << 10
	// maxCachedServices bounds the cache.
	maxCachedServices = 1024
	// retryPause is the time between two look-ups while only a stale answer is there.
	retryPause = time.Second
)

// cache holds the last look-up answer of each service.
type cache struct {
	options   Options
	transport http.RoundTripper
	suspects  *suspects
	group     singleflight.Group
	// next is the API address to start from, so that callers spread over the hosts.
	next atomic.Uint32

	mu      sync.Mutex
	answers map[string]cached
}

type cached struct {
	answer lookup.Answer
	// freshUntil is when the answer must be asked for again.
	freshUntil time.Time
	// usableUntil is when it stops serving even without a new one.
	usableUntil time.Time
}

func newCache(o Options, t http.RoundTripper, s *suspects) *cache {
	return &cache{options: o, transport: t, suspects: s, answers: make(map[string]cached)}
}

// Lookup returns the entry hosts of a service, best first, from the cache while
// the answer is fresh. When no API host answers, the last answer serves on for
// Options.Stale. The error is a *LookupError.
func (c *Client) Lookup(ctx context.Context, service string) (lookup.Answer, error) {
	return c.lookups.get(ctx, service)
}

func (c *cache) get(ctx context.Context, service string) (lookup.Answer, error) {
	known, ok := c.load(service)
	now := c.options.Now()
	if ok && now.Before(known.freshUntil) {
		return known.answer, nil
	}
	flight := c.group.DoChan(service, func() (any, error) {
		return c.refresh(context.WithoutCancel(ctx), service)
	})
	select {
	case <-ctx.Done():
		return lookup.Answer{}, &LookupError{Service: service, Err: ctx.Err()}
	case result := <-flight:
		if result.Err == nil {
			return result.Val.(lookup.Answer), nil
		}
		return c.stale(service, known, ok, result.Err)
	}
}

// stale returns the last answer while it is usable and nobody refused the service.
func (c *cache) stale(service string, known cached, ok bool, cause error) (lookup.Answer, error) {
	var refused *LookupError
	final := errors.As(cause, &refused) && refused.Status == http.StatusNotFound
	now := c.options.Now()
	if !ok || final || !now.Before(known.usableUntil) {
		return lookup.Answer{}, cause
	}
	known.freshUntil = now.Add(retryPause)
	c.store(service, known)
	return known.answer, nil
}

func (c *cache) refresh(ctx context.Context, service string) (lookup.Answer, error) {
	start := int(c.next.Add(1))
	failure := &LookupError{Service: service, Err: errors.New("no API host answered")}
	addrs := c.apiAddrs(service)
	for i := range addrs {
		addr := addrs[(start+i)%len(addrs)]
		answer, err := c.ask(ctx, addr, service)
		if err == nil {
			c.keep(service, answer)
			return answer, nil
		}
		failure = err
		if err.Status == http.StatusNotFound || err.Status == http.StatusBadRequest {
			break
		}
	}
	return lookup.Answer{}, failure
}

// apiAddrs returns the configured API hosts and those that the last answer named,
// so that a caller whose settings are old still finds a host.
func (c *cache) apiAddrs(service string) []string {
	addrs := append([]string(nil), c.options.API...)
	known, _ := c.load(service)
	for _, host := range known.answer.Entries {
		if host.API != "" {
			addrs = append(addrs, host.API)
		}
	}
	return addrs
}

func (c *cache) ask(ctx context.Context, addr, service string) (lookup.Answer, *LookupError) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"service": {service}}
	if c.options.Address.IsValid() {
		query.Set("client", c.options.Address.String())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/lookup?"+query.Encode(), nil)
	if err != nil {
		return lookup.Answer{}, &LookupError{Service: service, Err: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return lookup.Answer{}, &LookupError{Service: service, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return lookup.Answer{}, &LookupError{Service: service, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return lookup.Answer{}, &LookupError{Service: service, Status: resp.StatusCode, Err: errors.New(string(data))}
	}
	var answer lookup.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return lookup.Answer{}, &LookupError{Service: service, Err: err}
	}
	return answer, nil
}

func (c *cache) keep(service string, answer lookup.Answer) {
	now := c.options.Now()
	fresh := now.Add(time.Duration(answer.TTLMS) * time.Millisecond)
	c.store(service, cached{answer: answer, freshUntil: fresh, usableUntil: fresh.Add(c.options.Stale)})
}

func (c *cache) load(service string) (cached, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.answers[service]
	return known, ok
}

func (c *cache) store(service string, known cached) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.answers[service]; !ok && len(c.answers) >= maxCachedServices {
		clear(c.answers)
	}
	c.answers[service] = known
}
