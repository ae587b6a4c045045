package entry

import (
	"sync"
	"testing"
	"time"

	"quetzalknot/platform/adapter"
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
