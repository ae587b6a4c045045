package partner

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestWithdrawnReportDoesNotVouch: once a partner says that it no longer gets responses from
// the store, its earlier report that it does must not count.
func TestWithdrawnReportDoesNotVouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 9)
		last, reader := groups[8], groups[0].opts.Self
		positions := map[string]uint64{table: 0}
		last.receive(&Heartbeat{From: reader, Fresh: true, Positions: positions})
		time.Sleep(100 * time.Millisecond)
		last.receive(&Heartbeat{From: reader, Troubled: true, Positions: positions})
		if last.FollowsStore(time.Now()) {
			t.Error("the host follows the store by the word of a partner that has withdrawn it")
		}
	})
}
