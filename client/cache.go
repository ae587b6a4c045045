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
	// lookupTimeout limits a look-up at one API host.
	lookupTimeout = 2 * time.Second
	// maxAnswerBytes limits how much is read of a look-up answer.
	maxAnswerBytes = 64 << 10
	// maxCachedServices limits the number of services in the cache.
	maxCachedServices = 1024
	// staleRetryInterval is how long a stale answer is used before the look-up is tried again.
	staleRetryInterval = time.Second
	// maxStateAge is the age that the state of an API host that answers look-ups may have. It is
	// the entry hosts' limit, spread.MaxStateAge.
	maxStateAge = 15 * time.Second
)

// cache holds the latest look-up answer for each service.
type cache struct {
	options   Options
	transport http.RoundTripper
	suspects  *suspects
	group     singleflight.Group
	// nextAPI rotates the API address that a look-up tries first, to spread the load.
	nextAPI atomic.Uint32

	mu      sync.Mutex
	answers map[string]cacheEntry
}

type cacheEntry struct {
	answer lookup.Answer
	// fetchedAt is when the answer arrived.
	fetchedAt time.Time
	// refreshAt is when the answer's time to live ends and it must be looked up again.
	refreshAt time.Time
	// usableUntil is when the answer may no longer be used, even if the refresh fails.
	usableUntil time.Time
}

func newCache(o Options, t http.RoundTripper, s *suspects) *cache {
	return &cache{options: o, transport: t, suspects: s, answers: make(map[string]cacheEntry)}
}

// Lookup returns the entry hosts of a service, best first. It returns a cached answer until
// the answer's time to live has passed. While look-ups fail for another reason than that the
// service does not exist or the look-up is invalid, it returns the cached answer for up to
// Options.Stale longer. An API host that does not know the service, while another one does not
// answer, may lack a service that was just added; it ends the use only of an answer that is older
// than its state can be. The error is a *LookupError.
func (c *Client) Lookup(ctx context.Context, service string) (lookup.Answer, error) {
	return c.lookups.get(ctx, service)
}

func (c *cache) get(ctx context.Context, service string) (lookup.Answer, error) {
	entry, ok := c.load(service)
	now := c.options.Now()
	if ok && now.Before(entry.refreshAt) {
		return entry.answer, nil
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
		return c.serveStale(service, entry, ok, result.Err)
	}
}

// serveStale returns the cached answer after a failed refresh while it is usable, unless
// the response of an API host was final.
func (c *cache) serveStale(service string, entry cacheEntry, ok bool, cause error) (lookup.Answer, error) {
	var lookupErr *LookupError
	final := errors.As(cause, &lookupErr) && lookupErr.final
	now := c.options.Now()
	if !ok || final || !now.Before(entry.usableUntil) {
		return lookup.Answer{}, cause
	}
	entry.refreshAt = now.Add(staleRetryInterval)
	c.store(service, entry)
	return entry.answer, nil
}

// refresh asks the API hosts in turn until one answers. A host that does not know the service
// may only lack its newest version, so the others are asked too; if none of them knows the
// service either, the failure has status 404 even when some did not respond.
func (c *cache) refresh(ctx context.Context, service string) (lookup.Answer, error) {
	start := int(c.nextAPI.Add(1))
	asOf := c.options.Now().Add(-maxStateAge)
	anyFailed := false
	failure := &LookupError{Service: service, Err: errors.New("no API host answered")}
	addrs := c.apiAddrs(service)
	for i := range addrs {
		addr := addrs[(start+i)%len(addrs)]
		answer, err := c.fetch(ctx, addr, service)
		if err == nil {
			c.storeAnswer(service, answer)
			return answer, nil
		}
		if failure.Status != http.StatusNotFound {
			failure = err
		}
		if err.Status == http.StatusBadRequest {
			failure.final = true
			break
		}
		anyFailed = anyFailed || err.Status != http.StatusNotFound
	}
	if failure.Status == http.StatusNotFound {
		entry, _ := c.load(service)
		failure.final = failure.final || !anyFailed || !asOf.Before(entry.fetchedAt)
	}
	return lookup.Answer{}, failure
}

// apiAddrs returns the configured API addresses and those in the cached answer, so
// that a caller with outdated settings still finds an API host.
func (c *cache) apiAddrs(service string) []string {
	addrs := append([]string(nil), c.options.API...)
	entry, _ := c.load(service)
	for _, host := range entry.answer.Entries {
		if host.API != "" {
			addrs = append(addrs, host.API)
		}
	}
	return addrs
}

func (c *cache) fetch(ctx context.Context, addr, service string) (lookup.Answer, *LookupError) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"service": {service}, "caller": {c.options.Caller}}
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

func (c *cache) storeAnswer(service string, answer lookup.Answer) {
	now := c.options.Now()
	refreshAt := now.Add(time.Duration(answer.TTLMS) * time.Millisecond)
	c.store(service, cacheEntry{answer: answer, fetchedAt: now, refreshAt: refreshAt, usableUntil: refreshAt.Add(c.options.Stale)})
}

func (c *cache) load(service string) (cacheEntry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.answers[service]
	return entry, ok
}

func (c *cache) store(service string, entry cacheEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.answers[service]; !ok && len(c.answers) >= maxCachedServices {
		clear(c.answers)
	}
	c.answers[service] = entry
}
