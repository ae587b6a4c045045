package entry

import (
	"fmt"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// pauseNotice is how long after a refusal with Retry-After a host must keep the pause, pauseRequests how many
// requests may reach the target in it, and pauseLength its length.
const (
	pauseNotice   = 500 * time.Millisecond
	pauseRequests = 2
	pauseLength   = 3 * time.Second
)

// TestTargetThatAsksForAPauseGetsNoRequests guards against requests to a target that has turned one away with
// 503 and Retry-After, before that time is over, and against a pause without an end. It is the only target,
// so that no other is preferred.
func TestTargetThatAsksForAPauseGetsNoRequests(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.targets[0].Say(standin.Notice{RetryAfter: fmt.Sprint(pauseLength.Seconds())})
	c.targets[0].SetBehaviour(standin.Shed, 0)
	c.eventually("the target refuses a request", func() bool { return c.requestTo("first") == 503 && c.targets[0].Refusals() > 0 })
	refused := time.Now()
	time.Sleep(pauseNotice)
	before := c.targets[0].Refusals()
	for n := 0; time.Since(refused) < pauseLength-pauseNotice; n++ {
		if status := c.requestTo(fmt.Sprint("pause", n)); status != 503 {
			t.Fatalf("a request that no target takes got status %d", status)
		}
	}
	if n := c.targets[0].Refusals() - before; n > pauseRequests {
		t.Errorf("%d requests reached a target in its pause; at most %d are allowed", n, pauseRequests)
	}
	c.targets[0].SetBehaviour(standin.Good, 0)
	c.eventually("the target is used again", func() bool { return c.requestTo("last") == 200 })
	if paused := time.Since(refused); paused > pauseLength+time.Second {
		t.Errorf("the target was not used for %v, want about %v", paused, pauseLength)
	}
}

// requestTo sends a request through the first host and returns the status of the response.
func (c *cluster) requestTo(id string) int {
	return send(c.hosts[0].addr(), "GET", "/search/1", id, "").Status
}
