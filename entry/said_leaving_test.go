package entry

import (
	"fmt"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// awaitRun sends requests through the first host until a target has run one more.
func (c *cluster) awaitRun(target int) {
	c.t.Helper()
	before, n := c.targets[target].Runs(), 0
	c.eventually("the target runs a request", func() bool {
		n++
		send(c.hosts[0].addr(), "GET", "/search/1", fmt.Sprint("until", target, "-", n), "")
		return c.targets[target].Runs() > before
	})
}

// requestsTo sends requests through the first host and returns how many of them a target ran.
func (c *cluster) requestsTo(target int) int {
	before := c.targets[target].Runs()
	for i := range 50 {
		send(c.hosts[0].addr(), "GET", "/search/1", fmt.Sprint("to", target, "-", before, "-", i), "")
	}
	return c.targets[target].Runs() - before
}

// TestTargetThatSaysItLeavesGetsNoRequests guards against requests to a target whose responses say that
// it is leaving, while the store still lists it as ready, and also writes its report again.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.targets[0].Say(standin.Notice{Leaving: true})
	c.awaitRun(0)
	time.Sleep(drainBound)
	if n := c.requestsTo(0); n > 0 {
		t.Errorf("%d of 50 requests reached a target %v after it had said that it leaves", n, drainBound)
	}
	c.store.PutTarget("i-0", c.targets[0].Report("bokun", "no-gler", "ready", 2))
	c.store.RemoveTarget("i-1")
	c.eventually("the second target is gone", func() bool { return c.hosts[0].fleet.Size() == 1 })
	if n := c.requestsTo(0); n > 0 {
		t.Errorf("%d of 50 requests reached a target that had said that it leaves, after its next report", n)
	}
}
