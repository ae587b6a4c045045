package entry

import (
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
	"quetzalknot/process/mirror"
)

// largeState returns a desired state with many routes.
func largeState(version, routes int) string {
	return standin.WithRoutes(standin.DesiredState(version, coldPerSecond), routes)
}

// TestLargeStateReachesNarrowHosts guards against transfers between hosts that end after a fixed time, whatever their size:
// a host with a narrow link then fetches a large state for ever.
func TestLargeStateReachesNarrowHosts(t *testing.T) {
	const routes = 1000
	c := newReadersCluster(t, largeState(1, 10), 0)
	for _, h := range c.followers {
		c.narrow(h, narrowLink)
	}
	c.store.PutState(largeState(2, routes))
	c.requireFollowersChanged(2, 2)
	time.Sleep(2 * feedPause)
	c.store.PutState(largeState(3, routes))
	c.store.PutTarget("i-1", c.targets[1].Report("bokun", "no-gler", "draining", 2))
	c.requireFollowersChanged(3, 1)
}

// TestLargeStatesFollowEachOther guards against hosts that begin to fetch a state when they hear of it and then hear of the
// next one too late, or fetch both at once.
func TestLargeStatesFollowEachOther(t *testing.T) {
	const routes = 500
	c := newReadersCluster(t, largeState(1, routes), 0)
	for _, h := range c.followers {
		c.narrow(h, narrowLink)
	}
	const versions = 6
	for version := 2; version < versions; version++ {
		c.store.PutState(largeState(version, routes+50*version))
		time.Sleep(300 * time.Millisecond)
	}
	c.store.PutState(largeState(versions, routes))
	c.store.PutTarget("i-1", c.targets[1].Report("bokun", "no-gler", "draining", 2))
	c.requireFollowersChanged(versions, 1)
}

// TestLargeStateReachesNarrowHostWithoutPartners guards against calls to the store that end after a fixed time, whatever the
// size of the answer.
func TestLargeStateReachesNarrowHostWithoutPartners(t *testing.T) {
	const routes = 750
	c := newCluster(t, 2, 1)
	time.Sleep(2 * feedPause)
	c.narrow(c.hosts[0], narrowLink)
	c.store.PutState(largeState(2, routes))
	acknowledged := time.Now()
	c.eventually("the state is in force", func() bool { return c.hosts[0].stateVersion() == 2 })
	if took := time.Since(acknowledged); took > changeBound {
		t.Errorf("the state was in force after %v; at most %v are allowed", took, changeBound)
	}
}

// TestNarrowHostStartsWithLargeState guards against starting hosts with narrow links that never get the tables.
func TestNarrowHostStartsWithLargeState(t *testing.T) {
	const routes = 5000
	c := newCluster(t, 2, 3)
	c.store.PutState(largeState(2, routes))
	for _, h := range c.hosts {
		c.eventually("the state is in force", func() bool { return h.stateVersion() == 2 })
	}
	c.startNarrow = true
	started := c.addHost("front-9")
	c.eventually("the started host is ready", started.ready)
}

// TestRemovalNotDelayedByLargeState guards against changes of targets that wait until a large state is decoded.
func TestRemovalNotDelayedByLargeState(t *testing.T) {
	const routes = 10_000
	c := newCluster(t, 2, 1)
	h := c.hosts[0]
	position := h.mirror.Position(adapter.OperatorTable)
	state := mirror.Delta{
		Table: adapter.OperatorTable, Era: position.Era, UpTo: position.Revision + 1,
		Records: []mirror.Record{{Key: "config", Revision: position.Revision + 1, Value: []byte(largeState(2, routes))}},
	}
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		h.apply(state)
	}()
	time.Sleep(20 * time.Millisecond)
	h.apply(removal(h, "i-1"))
	if h.stateVersion() != 1 {
		t.Error("the removal of a target was applied after the large state only")
	}
	<-applied
	if h.stateVersion() != 2 {
		t.Errorf("version %d is in force, want 2", h.stateVersion())
	}
}
