package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quetzalknot/platform/standin"
)

const (
	// callerPause is the time between two requests of a caller.
	callerPause = 20 * time.Millisecond
	// callTimeout bounds a request; its route's timeout is shorter.
	callTimeout = 3 * time.Second
	// inForceWithin is how long a desired state may take to be in force on a host that
	// is not disturbed.
	inForceWithin = 5 * time.Second
	// settled is how long a host must have been undisturbed to be judged.
	settled = 5 * time.Second
)

// checks collects what callers and targets see.
type checks struct {
	site *site

	mu        sync.Mutex
	promises  []string
	problem   error
	notRun    map[string]bool
	unsafe    map[string]bool
	disturbed []time.Time
	// stopping are hosts that end as planned.
	stopping map[int]bool
	// cutByStop are the requests that were cut on hosts that end as planned.
	cutByStop []string

	sent, served, refused, broke, cut atomic.Int64
}

func newChecks(s *site) *checks {
	return &checks{site: s, notRun: make(map[string]bool), unsafe: make(map[string]bool), stopping: make(map[int]bool), disturbed: make([]time.Time, len(s.hosts))}
}

// broken notes a broken promise.
func (c *checks) broken(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.promises = append(c.promises, fmt.Sprintf(format, args...))
}

// failed notes that the soak itself could not go on.
func (c *checks) failed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.problem == nil {
		c.problem = err
	}
}

// disturb notes that a host is disturbed at this moment.
func (c *checks) disturb(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbed[i] = time.Now()
}

// stop notes that a host begins or ends a planned stop.
func (c *checks) stop(i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping[i] = on
}

// lost notes a request whose connection ended without an answer.
func (c *checks) lost(host int, id string) {
	c.cut.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping[host] {
		c.cutByStop = append(c.cutByStop, id)
	}
}

func (c *checks) calm(i int, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disturbed[i].Before(since.Add(-settled))
}

// call sends requests through one host until ctx ends. It keeps its connection until
// the host closes it.
func (c *checks) call(ctx context.Context, host, caller int) {
	addr := c.site.hosts[host].entry
	var conn net.Conn
	var in *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		pause(ctx, callerPause)
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
				conn = nil
				continue
			}
			in = bufio.NewReader(conn)
		}
		if !c.exchange(conn, in, host, fmt.Sprintf("%d-%d-%d", host, caller, n), n) {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// exchange sends one request and checks its answer. It returns false when the
// connection is not to be used again.
func (c *checks) exchange(conn net.Conn, in *bufio.Reader, host int, id string, n int) bool {
	method, path, body := "GET", "/search/1", ""
	if n%3 == 0 {
		method, path, body = "POST", "/book/1", strings.Repeat("a booking ", 1+n%2000)
		c.mu.Lock()
		c.unsafe[id] = true
		c.mu.Unlock()
	}
	r, err := http.NewRequest(method, "http://bokun.example"+path, strings.NewReader(body))
	if err != nil {
		c.failed(err)
		return false
	}
	r.Header.Set("Request-Identifier", id)
	r.Header.Set("Deadline-Milliseconds", "2500")
	r.Header.Set("Cookie", fmt.Sprint("Affinity-Key=", n%20))
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	c.sent.Add(1)
	if err := r.Write(conn); err != nil {
		c.lost(host, id)
		return false
	}
	resp, err := http.ReadResponse(in, r)
	if err != nil {
		c.lost(host, id)
		return false
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.lost(host, id)
		return false
	}
	c.judge(id, resp, string(text))
	return !resp.Close
}

func (c *checks) judge(id string, resp *http.Response, body string) {
	switch resp.StatusCode {
	case http.StatusOK:
		c.served.Add(1)
		if resp.Header.Get("Request-Identifier") != id || body != standin.Body || resp.Header.Get("Response-Stamp") == "" {
			c.broken("request %s got another answer: %v %q", id, resp.Header, body)
		}
	case http.StatusServiceUnavailable:
		c.refused.Add(1)
		c.mu.Lock()
		c.notRun[id] = true
		c.mu.Unlock()
		if resp.Header.Get("Retry-After") == "" {
			c.broken("request %s was not run and is not told when to come back", id)
		}
	case http.StatusNotFound, http.StatusBadRequest:
		c.broken("proper request %s got %d", id, resp.StatusCode)
	default:
		c.broke.Add(1)
	}
}

// expectVersion checks that the hosts that are not disturbed serve a version's own
// route in time.
func (c *checks) expectVersion(version int) {
	since := time.Now()
	go func() {
		time.Sleep(inForceWithin)
		for i, h := range c.site.hosts {
			if !c.calm(i, since) {
				continue
			}
			c.site.mu.Lock()
			newest := c.site.version == version
			c.site.mu.Unlock()
			if status := probe(h.entry, version); newest && status == http.StatusNotFound && c.calm(i, since) {
				c.broken("%s answers 404 on the route of version %d, %v after it was written", h.name, version, inForceWithin)
			}
		}
	}()
}

// probe returns the status of a request on the route that names a version, or 0.
func probe(addr string, version int) int {
	r, err := http.NewRequest("GET", fmt.Sprintf("http://%s/v%d/x", addr, version), nil)
	if err != nil {
		return 0
	}
	r.Host = "bokun.example"
	r.Header.Set("Request-Identifier", fmt.Sprint("probe-", version, time.Now().UnixNano()))
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// final checks what targets ran against what callers were told.
func (c *checks) final() {
	for _, id := range c.cutByStop {
		for _, t := range c.site.targets {
			if t.Ran(id) > 0 {
				c.broken("request %s was passed on and cut by a planned stop", id)
			}
		}
	}
	for id := range c.unsafe {
		runs := 0
		for _, t := range c.site.targets {
			runs += t.Ran(id)
		}
		if runs > 1 {
			c.broken("request %s ran %d times", id, runs)
		}
		if runs > 0 && c.notRun[id] {
			c.broken("request %s was said not to have run, but ran", id)
		}
	}
}
