package entry

import (
	"testing"
	"time"
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
