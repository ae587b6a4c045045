package spread

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/process/membership"
	"quetzalknot/version/state"
	"quetzalknot/version/store"
)

const (
	// rewriteTask is the task for which the pollers are ranked after a restore.
	rewriteTask = "rewrite"
	// rewriteTurn is how long a poller leaves the writing of lost tickets to each of those
	// that rank before it.
	rewriteTurn = 2 * time.Second
	// rewritePeriod is how long after a restore lost tickets are looked for.
	rewritePeriod = 5 * time.Minute
	// rewritesPerStep bounds the tickets that a poller writes again in one step.
	rewritesPerStep = 10
)

// repair tracks, after a restore of the table, which tickets the table has.
type repair struct {
	noticedAt time.Time
	// inTable holds the numbers of the tickets that were read from the table since.
	inTable map[uint64]bool
}

func newRepair(now time.Time) *repair {
	return &repair{noticedAt: now, inTable: make(map[uint64]bool)}
}

// lost returns those of the numbers that the table lacks, at most rewritesPerStep.
func (r *repair) lost(numbers []uint64) []uint64 {
	var lost []uint64
	for _, n := range numbers {
		if !r.inTable[n] && len(lost) < rewritesPerStep {
			lost = append(lost, n)
		}
	}
	return lost
}

// noteInTable records tickets that were read from the table.
func (p *Poller) noteInTable(records []state.Record) {
	if p.repair == nil {
		return
	}
	for _, r := range records {
		p.repair.inTable[r.Number] = true
	}
}

// pollers returns the live members that poll the table service.
func (p *Poller) pollers() []membership.Member {
	domains := make(map[string][]membership.Member)
	for _, m := range p.engine.Members.Live() {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
	}
	var pollers []membership.Member
	for _, domain := range domains {
		for _, m := range domain {
			if membership.Rank("poll", m.Host, domain) < pollersPerDomain {
				pollers = append(pollers, m)
			}
		}
	}
	return pollers
}

// writeLostTickets writes the tickets in force that a restored table lacks. The pollers take
// turns, so that one of them writes unless it fails.
func (p *Poller) writeLostTickets(ctx context.Context) {
	if p.repair == nil {
		return
	}
	age := time.Since(p.repair.noticedAt)
	if age > rewritePeriod {
		p.repair = nil
		return
	}
	lost := p.repair.lost(p.state.Numbers())
	if len(lost) == 0 {
		return
	}
	rank := membership.Rank(rewriteTask, p.engine.Members.Self().Host, p.pollers())
	if age < time.Duration(rank)*rewriteTurn {
		return
	}
	for _, number := range lost {
		p.writeLostTicket(ctx, number)
	}
}

// writeLostTicket writes one ticket again. A failed write is tried again in the next step,
// unless the number was taken by a ticket with other content since the restore.
func (p *Poller) writeLostTicket(ctx context.Context, number uint64) {
	r, ok := p.state.Record(number)
	if !ok || p.limiter.Wait(ctx) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p.engine.Metrics.Counter("spread.store_writes_total").Add(1)
	written, err := p.Store.WriteAgain(ctx, r)
	var taken *store.ConflictError
	p.repair.inTable[number] = err == nil || errors.As(err, &taken)
	if err != nil {
		evRewriteFailed.Log(p.engine.Log).Uint64("ticket", number).Err(err).Send()
		return
	}
	if written {
		evRewritten.Log(p.engine.Log).Uint64("ticket", number).Send()
	}
}
