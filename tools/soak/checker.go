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
	// requestPause is the time between a response and the caller's next request.
	requestPause = 20 * time.Millisecond
	// requestTimeout limits the wait for a response. The timeout of the route is shorter.
	requestTimeout = 3 * time.Second
	// dialTimeout limits the time for opening a connection to a host.
	dialTimeout = time.Second
	// maxBookings bounds the length of a request body, in repetitions of a text.
	maxBookings = 2000
	// callerTimeout is the deadline that callers send with a request.
	callerTimeout = 2500 * time.Millisecond
	// inForceLimit is the time within which a new desired state must be in force on hosts
	// without a recent fault.
	inForceLimit = 5 * time.Second
	// settleTime is the time after a fault for which a host is not checked for new desired
	// states.
	settleTime = 5 * time.Second
)

// checker sends the callers' requests, and records the responses and the violations of
// guarantees.
type checker struct {
	cluster *cluster
	// versionChecks are the goroutines of expectVersion.
	versionChecks sync.WaitGroup

	mu sync.Mutex
	// violations are the messages about broken guarantees.
	violations []string
	// harnessErr is the first error of the soak run itself.
	harnessErr error
	// reportedNotRun are requests whose caller was told that they did not run, and
	// nonIdempotent those with an unsafe method, which must not run twice.
	reportedNotRun map[string]bool
	nonIdempotent  map[string]bool
	// lastDisturbed is the time at which each host's last fault began or ended, by index.
	lastDisturbed []time.Time
	// stopping are the hosts that are shutting down after SIGTERM.
	stopping map[int]bool
	// droppedByStop are the requests that received no complete response while the host was
	// shutting down after SIGTERM.
	droppedByStop []string

	sent, served, notRun, failed, dropped, sentAgain atomic.Int64
}

func newChecker(c *cluster) *checker {
	return &checker{cluster: c, reportedNotRun: make(map[string]bool), nonIdempotent: make(map[string]bool), stopping: make(map[int]bool), lastDisturbed: make([]time.Time, len(c.hosts))}
}

// recordViolation records that a guarantee was broken.
func (c *checker) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordError keeps the first error of the soak run itself.
func (c *checker) recordError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.harnessErr == nil {
		c.harnessErr = err
	}
}

// markDisturbed records that a fault of a host begins or ends now.
func (c *checker) markDisturbed(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastDisturbed[i] = time.Now()
}

// setStopping records that a host begins or has finished a graceful shutdown.
func (c *checker) setStopping(i int, stopping bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping[i] = stopping
}

// recordDropped records a request that received no complete response in time.
func (c *checker) recordDropped(host int, id string) {
	c.dropped.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping[host] {
		c.droppedByStop = append(c.droppedByStop, id)
	}
}

func (c *checker) undisturbedSince(i int, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastDisturbed[i].Before(since.Add(-settleTime))
}

// sendRequests sends requests to one host until ctx is cancelled. It reuses its connection
// until the host closes it or a request fails.
func (c *checker) sendRequests(ctx context.Context, host, caller int) {
	var conn *standin.Caller
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, requestPause)
		if conn == nil {
			var err error
			if conn, err = standin.Dial(c.cluster.hosts[host].entry, dialTimeout); err != nil {
				conn = nil
				continue
			}
		}
		if !c.sendRequest(conn, host, fmt.Sprintf("%d-%d-%d", host, caller, n), n) {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// sendRequest sends one request and checks its response. It returns false if the
// connection must not be reused.
func (c *checker) sendRequest(conn *standin.Caller, host int, id string, n int) bool {
	response, err := conn.Send(c.newCall(id, n), requestTimeout)
	if err != nil {
		c.recordDropped(host, id)
		return false
	}
	c.checkResponse(id, response)
	return !response.Closes
}

// newCall returns a request and counts it as sent. Every third n gives one that is not
// idempotent, with a body.
func (c *checker) newCall(id string, n int) standin.Call {
	call := standin.Call{ID: id, Method: "GET", Path: "/search/1", Object: fmt.Sprint(n % 20), Timeout: callerTimeout}
	if n%3 == 0 {
		call.Method, call.Path, call.Body = "POST", "/book/1", strings.Repeat("a booking ", 1+n%maxBookings)
		c.mu.Lock()
		c.nonIdempotent[id] = true
		c.mu.Unlock()
	}
	c.sent.Add(1)
	return call
}

func (c *checker) checkResponse(id string, response standin.Response) {
	switch response.Status {
	case http.StatusOK:
		c.served.Add(1)
		if response.ID != id || response.Body != standin.Body || !response.Stamped {
			c.recordViolation("request %s got a wrong response: %+v", id, response)
		}
	case http.StatusServiceUnavailable:
		c.notRun.Add(1)
		c.mu.Lock()
		c.reportedNotRun[id] = true
		c.mu.Unlock()
		if !response.HasRetryAfter {
			c.recordViolation("the response to request %s, which was not run, has no Retry-After header", id)
		}
	case http.StatusNotFound, http.StatusBadRequest:
		c.recordViolation("valid request %s got status %d", id, response.Status)
	default:
		c.failed.Add(1)
	}
}

// expectVersion checks, in a goroutine, that hosts without a recent fault serve the route
// of a new version within inForceLimit. It ends without a check when ctx ends before.
func (c *checker) expectVersion(ctx context.Context, version int) {
	since := time.Now()
	c.versionChecks.Go(func() {
		sleep(ctx, inForceLimit)
		for i, h := range c.cluster.hosts {
			if ctx.Err() != nil || !c.undisturbedSince(i, since) {
				continue
			}
			c.cluster.mu.Lock()
			isNewest := c.cluster.version == version
			c.cluster.mu.Unlock()
			if status := probeVersion(h.entry, version); isNewest && status == http.StatusNotFound && c.undisturbedSince(i, since) {
				c.recordViolation("%s responds with 404 to the route of version %d, %v after the version was written", h.name, version, inForceLimit)
			}
		}
	})
}

// probeVersion returns the response status of a request for the route of a version, or 0 if
// there is no response.
func probeVersion(addr string, version int) int {
	conn, err := standin.Dial(addr, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	id := fmt.Sprint("probe-", version, "-", time.Now().UnixNano())
	response, err := conn.Send(standin.Call{ID: id, Method: "GET", Path: fmt.Sprintf("/v%d/x", version), Timeout: callerTimeout}, requestTimeout)
	if err != nil {
		return 0
	}
	return response.Status
}

// finish waits for the checks that still run, and compares the runs that targets counted
// with the responses that callers received. The callers must have ended.
func (c *checker) finish() {
	c.versionChecks.Wait()
	c.checkExecutions()
}

func (c *checker) checkExecutions() {
	for _, id := range c.droppedByStop {
		for _, t := range c.cluster.targets {
			if t.RunsOf(id) > 0 {
				c.recordViolation("request %s ran, but its connection was dropped by a graceful stop", id)
			}
		}
	}
	for id := range c.nonIdempotent {
		runs := 0
		for _, t := range c.cluster.targets {
			runs += t.RunsOf(id)
		}
		if runs > 1 {
			c.recordViolation("request %s ran %d times", id, runs)
		}
		if runs > 0 && c.reportedNotRun[id] {
			c.recordViolation("request %s was reported as not run, but ran", id)
		}
	}
}
