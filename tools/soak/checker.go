package soak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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
	// maxAttempts is the number of targets to which the routes allow an idempotent request to be
	// sent.
	maxAttempts = 2
	// maxIdle limits the time for which an idle caller keeps its connection between requests.
	maxIdle = 10 * time.Second
	// deliveryMargin is the time that a request may spend on its way to a target.
	deliveryMargin = 500 * time.Millisecond
)

// checker sends the callers' requests, and records the responses and the violations of
// guarantees.
type checker struct {
	cluster *cluster
	// processes are the disturbances of the hosts' processes, and states those that delay the
	// newest desired state or the targets' reports on a host.
	processes, states *disturbances
	stalls            *stallMonitor
	notices           *noticeChecker
	// dump makes a host that leaves a request without a response end with all its goroutines
	// in its log.
	dump bool

	mu sync.Mutex
	// violations are the messages about broken guarantees.
	violations []string
	// harnessErr is the first error of the soak run itself.
	harnessErr error
	// reportedNotRun are requests whose caller was told that they did not run.
	reportedNotRun map[string]bool
	// maxRuns are the numbers of times that requests may run.
	maxRuns map[string]int
	// departed are the departures of targets, by host, that were violated already.
	departed map[string]bool
	// stopping are the hosts that are shutting down after SIGTERM.
	stopping map[int]bool
	// droppedByStop are the requests that received no complete response while the host was
	// shutting down after SIGTERM.
	droppedByStop []string

	sent, served, notRun, failed, dropped, sentAgain atomic.Int64
}

func newChecker(c *cluster) *checker {
	checker := &checker{
		cluster: c, processes: newDisturbances(len(c.hosts)), states: newDisturbances(len(c.hosts)),
		reportedNotRun: make(map[string]bool), maxRuns: make(map[string]int), stopping: make(map[int]bool),
		departed: make(map[string]bool),
	}
	checker.stalls = newStallMonitor(c.hosts, checker.isSettled)
	checker.notices = newNoticeChecker(checker)
	for _, t := range c.targets {
		t.Observe(func(id string) { checker.checkDeparture(t.ID, id) })
	}
	return checker
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

// isSettled reports whether a host's process has been undisturbed since a time and is not
// shutting down.
func (c *checker) isSettled(host int, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.stopping[host] && c.processes.settledAt(host, since)
}

// setStopping records that a host begins or has finished a graceful shutdown.
func (c *checker) setStopping(i int, stopping bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping[i] = stopping
}

// recordDropped records a request that received no complete response in time. It is a
// violation when there was no response at all though the process of the generation, to which
// the connection leads, was undisturbed.
func (c *checker) recordDropped(host, generation int, id string, sentAt time.Time, status int) {
	c.dropped.Add(1)
	if c.recordDroppedByStop(host, id) || status != 0 {
		return
	}
	if c.processes.settledAt(host, sentAt) && c.cluster.hosts[host].currentGeneration() == generation {
		c.recordViolation("request %s got no response after %v; %s", id, rounded(time.Since(sentAt)), c.stalls.describe(host, sentAt))
		if c.dump {
			c.dumpGoroutines(host)
		}
	}
}

// dumpGoroutines makes a host end with all its goroutines in its log. The host counts as
// disturbed from then on.
func (c *checker) dumpGoroutines(host int) {
	c.processes.begin(host)
	c.states.begin(host)
	c.cluster.hosts[host].signal(syscall.SIGQUIT)
}

// recordDroppedByStop records a dropped request if its host is stopping, and reports whether
// it is.
func (c *checker) recordDroppedByStop(host int, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping[host] {
		c.droppedByStop = append(c.droppedByStop, id)
	}
	return c.stopping[host]
}

// requestID returns the id of a request that is sent to a host.
func requestID(host int, sender string, n int) string {
	return fmt.Sprintf("%d-%s-%d", host, sender, n)
}

// hostOf returns the host that a request is sent to, by the request's id.
func hostOf(id string) (int, error) {
	number, _, _ := strings.Cut(id, "-")
	return strconv.Atoi(number)
}

// checkDeparture checks that a target that gets a request has not left before. The first
// request from each host after that is a violation.
func (c *checker) checkDeparture(target, id string) {
	now, leftAt := time.Now(), c.cluster.leftAt(target)
	if leftAt.IsZero() || now.Sub(leftAt) <= changeBound+deliveryMargin {
		return
	}
	host, err := hostOf(id)
	if err != nil {
		c.recordViolation("%s got a request with the wrong id %q", target, id)
		return
	}
	if c.states.settledAt(host, now) && c.isFirst(fmt.Sprint(host, target, leftAt.UnixNano())) {
		c.recordViolation("request %s reached %s %v after it had left; %s", id, target, rounded(now.Sub(leftAt)), c.stalls.describe(host, leftAt))
	}
}

// isFirst reports whether a departure is violated for the first time.
func (c *checker) isFirst(departure string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.departed[departure]
	c.departed[departure] = true
	return !known
}

// sendRequests sends requests to one host until ctx is cancelled, with pauses of the given
// length. It reuses its connection, also of a host that is no longer ready, until the host
// closes it or a request fails.
func (c *checker) sendRequests(ctx context.Context, host int, name string, pause func() time.Duration) {
	var conn *standin.Caller
	generation := 0
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, pause())
		if conn == nil {
			var err error
			generation = c.cluster.hosts[host].currentGeneration()
			if conn, err = standin.Dial(c.cluster.hosts[host].entry, dialTimeout); err != nil {
				conn = nil
				continue
			}
		}
		if !c.sendRequest(conn, host, generation, requestID(host, name, n), n) {
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
func (c *checker) sendRequest(conn *standin.Caller, host, generation int, id string, n int) bool {
	sentAt := time.Now()
	response, err := conn.Send(c.newCall(id, n), requestTimeout)
	if err != nil {
		c.recordDropped(host, generation, id, sentAt, response.Status)
		return false
	}
	c.checkResponse(id, response)
	return !response.Closes
}

// newCall returns a request and counts it as sent. Every third n gives one that is not
// idempotent, with a body.
func (c *checker) newCall(id string, n int) standin.Call {
	call := standin.Call{ID: id, Method: "GET", Path: "/search/1", Object: fmt.Sprint(n % 20), Timeout: callerTimeout}
	maxRuns := maxAttempts
	if n%3 == 0 {
		call.Method, call.Path, call.Body = "POST", "/book/1", strings.Repeat("a booking ", 1+n%maxBookings)
		maxRuns = 1
	}
	c.mu.Lock()
	c.maxRuns[id] = maxRuns
	c.mu.Unlock()
	c.sent.Add(1)
	return call
}

func (c *checker) checkResponse(id string, response standin.Response) {
	c.notices.passedOn(id, response)
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

// checkReady checks that all hosts are ready.
func (c *checker) checkReady() {
	for _, h := range c.cluster.hosts {
		if !h.isReady() {
			c.recordViolation("%s is not ready after the last fault", h.name)
		}
	}
}

// checkExecutions compares the runs that targets counted with the responses that callers
// received. The callers must have ended.
func (c *checker) checkExecutions() {
	for _, id := range c.droppedByStop {
		for _, t := range c.cluster.targets {
			if t.RunsOf(id) > 0 {
				c.recordViolation("request %s ran, but its connection was dropped by a graceful stop", id)
			}
		}
	}
	for id, maxRuns := range c.maxRuns {
		runs := 0
		for _, t := range c.cluster.targets {
			runs += t.RunsOf(id)
		}
		if runs > maxRuns {
			c.recordViolation("request %s ran %d times, at most %d are allowed", id, runs, maxRuns)
		}
		if runs > 0 && c.reportedNotRun[id] {
			c.recordViolation("request %s was reported as not run, but ran", id)
		}
	}
}
