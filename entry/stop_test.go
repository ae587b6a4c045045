package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// blockedOutput is a log output that nobody reads: each write blocks until open is closed.
type blockedOutput struct{ open chan struct{} }

func (o blockedOutput) Write(p []byte) (int, error) {
	<-o.open
	return len(p), nil
}

// stopTime stops a host and returns how long that took.
func (c *cluster) stopTime(h *Host) time.Duration {
	c.t.Helper()
	start := time.Now()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		h.Stop(c.t.Context())
	}()
	select {
	case <-stopped:
	case <-time.After(waitTimeout):
		c.t.Fatalf("the host has not stopped after %v", waitTimeout)
	}
	return time.Since(start)
}

// grace is the grace period of the cluster's hosts.
func (h *Host) grace() time.Duration { return time.Duration(h.settings.Load().Bounds.Grace) }

// TestStopWithBlockedLogOutput: an output that takes no log lines must not keep a host from
// ending within its grace period.
func TestStopWithBlockedLogOutput(t *testing.T) {
	out := blockedOutput{open: make(chan struct{})}
	defer close(out.open)
	c := newCluster(t, 1, 0)
	c.logs = out
	h := c.addHost("front-0")
	c.eventually("host is ready", h.ready)
	if took := c.stopTime(h); took > h.grace() {
		t.Errorf("the stop took %v, the grace period is %v", took, h.grace())
	}
}

// rawRequest returns the bytes of a request to the stand-in's routes.
func rawRequest(method, path, id, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Identifier: %s\r\nDeadline-Milliseconds: 20000\r\n%s", method, path, standin.HostName, id, more)
}

// TestStopEndsWithinGrace stops a host whose caller has sent something and then neither
// reads, sends nor closes. What counts as not read must not delay the stop: it must end
// before the time for which requests in flight are waited for. What is in flight must not
// hold it beyond the grace period.
func TestStopEndsWithinGrace(t *testing.T) {
	whole := rawRequest("GET", "/search/1", "a", "\r\n")
	for _, tc := range []struct {
		name, sent string
		responses  int
		// inFlight is true if a request is in flight at the stop.
		inFlight bool
	}{
		{"idle", whole, 1, false},
		{"idle after pipelined requests", strings.Repeat(whole, 20), 20, false},
		{"nothing sent", "", 0, false},
		{"part of a header", rawRequest("GET", "/search/1", "a", ""), 0, false},
		{"part of a header behind responses", whole + whole + "GET /sea", 2, false},
		{"part of a body", rawRequest("POST", "/book/1", "a", "Content-Length: 100000\r\n\r\nx"), 0, true},
		{"responses not read", strings.Repeat(whole, 500), 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, 1)
			h := c.hosts[0]
			conn := c.sendRaw(h, tc.sent)
			reader := bufio.NewReader(conn)
			for range tc.responses {
				skipResponse(t, reader)
			}
			time.Sleep(50 * time.Millisecond)
			took := c.stopTime(h)
			limit := h.grace()
			if !tc.inFlight {
				limit -= stopMargin
			}
			if took >= limit {
				t.Errorf("the stop took %v, want less than %v", took, limit)
			}
		})
	}
}

// TestLateRemovalSparesRowOfNextStart: the removal of a host's row that got no response, and that the store
// performs once the host has started again, must not remove the new row.
func TestLateRemovalSparesRowOfNextStart(t *testing.T) {
	const late = time.Second
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	c.eventually("the host has its row", h.announced.Load)
	c.endpoints[0].SetFaults(standin.StoreFaults{Late: late})
	h.withdraw()
	removed := time.Now().Add(late)
	h.close()
	next := c.addHost(h.self.Name)
	c.eventually("the host has its row again", next.announced.Load)
	if time.Now().After(removed) {
		t.Fatal("the start took too long for this test")
	}
	for end := removed.Add(late); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !c.store.HasHost(h.self.Name) {
			t.Fatal("the row of the new start was removed")
		}
	}
}

func (c *cluster) sendRaw(h *Host, text string) net.Conn {
	c.t.Helper()
	conn, err := net.Dial("tcp", h.addr())
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		c.t.Fatal(err)
	}
	return conn
}

func skipResponse(t *testing.T, r *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
}
