package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/process/membership"
)

// rowRewriteSpread is the time after a restore over which the hosts write their member
// rows again: with 910 hosts, 15 rows a second.
const rowRewriteSpread = time.Minute

// readMembers merges the member rows written since the last read.
func (p *Poller) readMembers(ctx context.Context) error {
	began := time.Now()
	for {
		if err := p.limiter.Wait(ctx); err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		p.engine.Metrics.Counter("spread.store_reads_total").Add(1)
		rows, next, more, err := p.Rows.Changed(callCtx, p.memberCursor, pageRows, time.Now())
		cancel()
		if err != nil {
			return err
		}
		p.mergeRows(rows)
		p.memberCursor = next
		if !more {
			p.engine.Members.Discovery().RowsRead(began)
			return nil
		}
	}
}

// mergeRows adds members from their rows and notes when the rows of other hosts expire.
func (p *Poller) mergeRows(rows []membership.Row) {
	self := p.engine.Members.Self()
	for _, row := range rows {
		if row.Host != self.Host {
			p.othersUntil[row.Host] = row.LeaseUntil
		}
		if row.Host != self.Host || row.Incarnation > self.Incarnation {
			p.engine.Members.MergeRow(row.Member)
		}
	}
}

// renewLeaseIfAlone renews the lease of a host that has no other member to confirm it. A
// host that cannot reach the others is not alone: the others may consider it dead. So it
// renews the lease only once the rows of all other members have expired.
func (p *Poller) renewLeaseIfAlone(began time.Time) {
	for _, until := range p.othersUntil {
		if until.After(began) {
			return
		}
	}
	if len(p.engine.Members.Reachable()) == 0 {
		p.engine.Members.Lease().Renew(began)
	}
}

// renewRow writes the member row of this process when its renewal is due or when its
// Leaving flag has changed.
func (p *Poller) renewRow(ctx context.Context) {
	p.renewAfterRestore()
	self := p.engine.Members.Self()
	due := time.Now().After(p.renewAt) || self.Leaving != p.announcedLeaving && time.Now().After(p.renewFailedAt.Add(maxStoreBackoff))
	if !due || ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p.engine.Metrics.Counter("spread.store_writes_total").Add(1)
	err := p.Rows.Announce(ctx, self, time.Now())
	switch {
	case errors.Is(err, membership.ErrSuperseded):
		p.engine.Members.Lease().Revoke()
		evSuperseded.Log(p.engine.Log).Err(err).Send()
	case err != nil:
		evRowFailed.Log(p.engine.Log).Err(err).Send()
		p.renewFailedAt = time.Now()
		p.renewAt = p.renewFailedAt.Add(maxStoreBackoff/2 + rand.N(maxStoreBackoff))
		return
	}
	p.announcedLeaving = self.Leaving
	p.engine.Members.Discovery().Announced(time.Now())
	interval := membership.RowRenewInterval(self)
	p.renewAt = time.Now().Add(interval*3/4 + rand.N(interval/2))
}

// renewAfterRestore makes the renewal of the member row due soon when the table was restored
// from a copy, which may lack the row.
func (p *Poller) renewAfterRestore() {
	era := p.engine.Position().Era
	if era <= p.rowEra {
		return
	}
	p.rowEra = era
	soon := time.Now().Add(rand.N(rowRewriteSpread))
	if p.renewAt.After(soon) {
		p.renewAt = soon
	}
}
