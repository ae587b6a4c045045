package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
)

// changeBound is the time within which a change must be in force at all hosts.
const changeBound = 2500 * time.Millisecond

// silence makes the store leave the hosts' calls for a table unanswered that it receives from
// now on.
func (c *cluster) silence(tables ...string) {
	for _, e := range c.endpoints {
		e.Silence(tables...)
	}
}

// awaitUnansweredCalls changes the state and makes the store silent for the tables, until each
// host has sent a call for changes that is never answered. The silence goes on.
func (c *cluster) awaitUnansweredCalls(version int, tables ...string) {
	c.t.Helper()
	c.store.PutState(standin.DesiredState(version, coldPerSecond))
	c.store.PutTarget("i-0", c.targets[0].Report("bokun", "no-gler", "ready", version))
	c.eventually("all have the version", func() bool { return c.allHaveVersion(version) })
	c.silence(tables...)
	before := c.storeCalls()
	c.eventually("all hosts have called", func() bool {
		for i, calls := range c.storeCalls() {
			if calls < before[i]+len(tables) {
				return false
			}
		}
		return true
	})
}

// TestChangeInForceAfterUnansweredCall guards against calls for changes that the store never
// answers and that hide all later changes.
func TestChangeInForceAfterUnansweredCall(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.awaitUnansweredCalls(2, adapter.OperatorTable, adapter.TargetTable)
	c.silence()
	c.store.PutState(standin.DesiredState(3, coldPerSecond))
	acknowledged := time.Now()
	c.eventually("all have the version", func() bool { return c.allHaveVersion(3) })
	if took := time.Since(acknowledged); took > changeBound {
		t.Errorf("an acknowledged state was in force after %v; at most %v are allowed", took, changeBound)
	}
}

// TestUnknownRouteNotDeniedBeforeStateConfirmed guards against status 404 for a route that was
// added, from a host whose call for the state stays unanswered.
func TestUnknownRouteNotDeniedBeforeStateConfirmed(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.awaitUnansweredCalls(2, adapter.OperatorTable)
	time.Sleep(changeBound)
	if got := send(c.hosts[0].addr(), "GET", "/added-route/", "r-1", ""); got.Status != http.StatusServiceUnavailable {
		t.Errorf("a request on a route that may have been added got status %d, want 503", got.Status)
	}
}

// TestRemovalInForceAfterUnansweredCall guards against calls for changes that the store never answers
// and that hide the targets that leave later.
func TestRemovalInForceAfterUnansweredCall(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.awaitUnansweredCalls(2, adapter.OperatorTable, adapter.TargetTable)
	c.silence()
	c.store.PutTarget("i-1", c.targets[1].Report("bokun", "no-gler", "draining", 3))
	c.store.RemoveTarget("i-2")
	c.expectUsed(1)
}

// expectUsed checks that in time all hosts use this many targets, since the others have left.
func (c *cluster) expectUsed(targets int64) {
	c.t.Helper()
	acknowledged := time.Now()
	c.eventually("the targets that are left are used", func() bool {
		for _, h := range c.hosts {
			if h.fleet.Count("ready", time.Now()) != targets {
				return false
			}
		}
		return true
	})
	if took := time.Since(acknowledged); took > changeBound {
		c.t.Errorf("targets that had left were used for %v; at most %v are allowed", took, changeBound)
	}
}

// TestRemovalInForceBetweenChangesAfterSilence guards against changes of the state that arrive after a silence of the
// store, and that hide that calls for the targets still wait: the small form of deploy/days/darkened.toml.
func TestRemovalInForceBetweenChangesAfterSilence(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.awaitUnansweredCalls(2, adapter.OperatorTable, adapter.TargetTable)
	c.silence()
	for version := 3; version <= 4; version++ {
		c.store.PutState(standin.DesiredState(version, coldPerSecond))
		c.eventually("all have the version", func() bool { return c.allHaveVersion(version) })
		c.store.PutTarget(fmt.Sprint("i-", version-2), c.targets[version-2].Report("bokun", "no-gler", "draining", version))
		c.store.RemoveTarget(fmt.Sprint("i-", version-1))
		c.expectUsed(int64(5 - version))
	}
}
