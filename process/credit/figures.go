package credit

import (
	"expvar"

	"quetzalknot/process/metrics"
)

// counters are the figures of lending and borrowing.
type counters struct {
	borrows *expvar.Int
	served  *expvar.Int
	pledges *expvar.Int
	failed  *expvar.Int
	writes  *expvar.Int
	lent    *expvar.Int
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		borrows: set.Counter("credit.borrow_calls_total"),
		served:  set.Counter("credit.borrow_calls_served_total"),
		pledges: set.Counter("credit.promise_calls_total"),
		failed:  set.Counter("credit.failed_calls_total"),
		writes:  set.Counter("credit.table_writes_total"),
		lent:    set.Counter("credit.loans_lent_total"),
	}
}

func (c *counters) gauges(set *metrics.Set, s *Service) {
	set.Gauge("credit.partitions_owned", func() int64 { return int64(len(s.owned())) })
	set.Gauge("credit.loans_held", func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		held := 0
		for _, l := range s.holder.lines {
			held += len(l.loans)
		}
		return int64(held)
	})
}
