package entry

import (
	"sync"
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
)

// TestSendRateNotLimitedAfterStoreReturned: a periodic task that has seen the store away must not limit the
// requests after the store's answer has lifted the limit.
func TestSendRateNotLimitedAfterStoreReturned(t *testing.T) {
	const rounds = 200000
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	for range 2 {
		tasks.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					h.limitSendRate()
				}
			}
		})
	}
	limited := 0
	for range rounds {
		h.storeStatus.recordFailure(adapter.TargetTable, time.Now())
		h.storeSucceeded(adapter.TargetTable, time.Now())
		if h.fleet.SendRateLimited() {
			limited++
		}
	}
	close(stop)
	tasks.Wait()
	if limited > 0 {
		t.Errorf("limited after the store's answer in %d of %d rounds", limited, rounds)
	}
}

// TestSendLimitLastsUntilReportsAreBack: when the store came back, the hosts sent freely to targets whose reports that they are
// cold came up to two seconds later (incident 0016).
func TestSendLimitLastsUntilReportsAreBack(t *testing.T) {
	c := newCluster(t, 2, 2)
	for _, e := range c.endpoints {
		e.SetFaults(standin.StoreFaults{Refuse: 503})
	}
	for _, h := range c.hosts {
		c.eventually("the requests are limited", func() bool { return !h.upToDate() && h.fleet.SendRateLimited() })
	}
	for _, e := range c.endpoints {
		e.SetFaults(standin.StoreFaults{})
	}
	for _, h := range c.hosts {
		c.eventually("the store is read again", h.upToDate)
	}
	time.Sleep(3 * tickInterval)
	for _, h := range c.hosts {
		if h.reportsMayBeMissing(time.Now()) && !h.fleet.SendRateLimited() {
			t.Errorf("%s sends freely while reports may be missing", h.self.Name)
		}
		c.eventually("the requests are no longer limited", func() bool { return !h.fleet.SendRateLimited() })
		if h.reportsMayBeMissing(time.Now()) {
			t.Errorf("%s sends freely before the reports must be back", h.self.Name)
		}
	}
}
