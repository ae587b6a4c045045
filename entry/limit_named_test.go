package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

const (
	// limitNotice is how long after a target first names a limit the hosts must keep it.
	limitNotice = 4 * time.Second
	// limitSpan is the time in which a target that names a limit may get limitOverrun times what that
	// allows, and limitExtra requests.
	limitSpan    = 4 * time.Second
	limitOverrun = 1.5
	limitExtra   = 5
)

// arrivals records when requests reach a target.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add(string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// since returns the arrivals from a time on.
func (a *arrivals) since(start time.Time) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, at := range a.times {
		if !at.Before(start) {
			return a.times[i:]
		}
	}
	return nil
}

// most returns the largest number of arrivals within limitSpan, from a time on.
func (a *arrivals) most(start time.Time) int {
	times, most, first := a.since(start), 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= limitSpan {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// sendEverywhere sends requests to all hosts until the returned function is called. It returns the
// responses by status then.
func (c *cluster) sendEverywhere() (stop func() map[int]int) {
	ctx, cancel := context.WithCancel(c.t.Context())
	var senders sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for i, h := range c.hosts {
		senders.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				got := send(h.addr(), "GET", "/search/1", fmt.Sprint("everywhere", i, "-", n), "")
				mu.Lock()
				statuses[got.Status]++
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() map[int]int {
		cancel()
		senders.Wait()
		return statuses
	}
}

// TestNamedLimitHoldsOverAllHosts guards against a target that names a limit and gets more than that
// from all hosts together.
func TestNamedLimitHoldsOverAllHosts(t *testing.T) {
	for _, limit := range []float64{1, 5} {
		t.Run(fmt.Sprint(limit, " a second"), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, 6)
			var got arrivals
			c.targets[0].Observe(got.add)
			c.targets[0].Say(standin.Notice{Limit: fmt.Sprint(limit)})
			stop := c.sendEverywhere()
			c.eventually("the target has named its limit", func() bool { return len(got.since(time.Time{})) > 0 })
			bound := got.since(time.Time{})[0].Add(limitNotice)
			time.Sleep(time.Until(bound.Add(2 * limitSpan)))
			statuses := stop()
			if most, allowed := got.most(bound), limitOverrun*limit*limitSpan.Seconds()+limitExtra; float64(most) > allowed {
				t.Errorf("%d requests in %v at a target that names a limit of %v a second; at most %v are allowed", most, limitSpan, limit, allowed)
			}
			if len(statuses) != 1 || statuses[200] == 0 {
				t.Errorf("responses by status: %v, want 200 only, since the other target has no limit", statuses)
			}
		})
	}
}

// TestEndedLimitIsKnownEverywhere guards against hosts that keep a limit for good since they send nothing
// to the target that would say that it has ended, and against a limit that only one host knows.
func TestEndedLimitIsKnownEverywhere(t *testing.T) {
	c := newCluster(t, 2, 6)
	c.targets[0].Say(standin.Notice{Limit: "1"})
	c.awaitRun(0)
	limited := func(n int64) func() bool {
		return func() bool {
			for _, h := range c.hosts {
				if h.fleet.Count("limited", time.Now()) != n {
					return false
				}
			}
			return true
		}
	}
	c.eventually("all hosts know the limit", limited(1))
	c.targets[0].Say(standin.Notice{})
	stop := c.sendEverywhere()
	c.eventually("all hosts know its end", limited(0))
	stop()
}

// TestOnlyTargetWithLimit: what the only target of a service does not take must be refused at once and
// truthfully, and the target must still get requests.
func TestOnlyTargetWithLimit(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.targets[0].Say(standin.Notice{Limit: "2"})
	c.awaitRun(0)
	var got arrivals
	c.targets[0].Observe(got.add)
	stop := c.sendEverywhere()
	start := time.Now()
	time.Sleep(2 * limitSpan)
	statuses := stop()
	if n := len(got.since(start.Add(limitSpan))); n < 4 {
		t.Errorf("%d requests reached the target in %v, want at least half of its limit", n, limitSpan)
	}
	if n := len(got.since(time.Time{})); n != statuses[200] {
		t.Errorf("%d requests reached the target; responses by status: %v", n, statuses)
	}
	if statuses[503] == 0 || len(statuses) != 2 {
		t.Errorf("responses by status: %v, want 200 and 503", statuses)
	}
}
