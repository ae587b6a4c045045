package soak

import (
	"context"
	"fmt"
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
	// callerWaits is how long callers say that they wait.
	callerWaits = 2500 * time.Millisecond
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
	var conn *standin.Caller
	for n := 0; ctx.Err() == nil; n++ {
		pause(ctx, callerPause)
		if conn == nil {
			var err error
			if conn, err = standin.Dial(c.site.hosts[host].entry, time.Second); err != nil {
				conn = nil
				continue
			}
		}
		if !c.exchange(conn, host, fmt.Sprintf("%d-%d-%d", host, caller, n), n) {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// exchange sends one request and checks its answer. It returns false when the
// connection is not to be used again.
func (c *checks) exchange(conn *standin.Caller, host int, id string, n int) bool {
	call := standin.Call{ID: id, Method: "GET", Path: "/search/1", Object: fmt.Sprint(n % 20), Left: callerWaits}
	if n%3 == 0 {
		call.Method, call.Path, call.Body = "POST", "/book/1", strings.Repeat("a booking ", 1+n%2000)
		c.mu.Lock()
		c.unsafe[id] = true
		c.mu.Unlock()
	}
	c.sent.Add(1)
	reply, err := conn.Send(call, callTimeout)
	if err != nil {
		c.lost(host, id)
		return false
	}
	c.judge(id, reply)
	return !reply.Closes
}

func (c *checks) judge(id string, reply standin.Reply) {
	switch reply.Status {
	case http.StatusOK:
		c.served.Add(1)
		if reply.ID != id || reply.Body != standin.Body || !reply.Signed {
			c.broken("request %s got another answer: %+v", id, reply)
		}
	case http.StatusServiceUnavailable:
		c.refused.Add(1)
		c.mu.Lock()
		c.notRun[id] = true
		c.mu.Unlock()
		if !reply.ComeBack {
			c.broken("request %s was not run and is not told when to come back", id)
		}
	case http.StatusNotFound, http.StatusBadRequest:
		c.broken("proper request %s got %d", id, reply.Status)
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
	conn, err := standin.Dial(addr, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	id := fmt.Sprint("probe-", version, "-", time.Now().UnixNano())
	reply, err := conn.Send(standin.Call{ID: id, Method: "GET", Path: fmt.Sprintf("/v%d/x", version), Left: callerWaits}, callTimeout)
	if err != nil {
		return 0
	}
	return reply.Status
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
