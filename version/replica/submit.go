package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
	"quetzalknot/process/settings"
	"quetzalknot/version/spread"
	"quetzalknot/version/state"
	"quetzalknot/version/store"
	"quetzalknot/version/ticket"
)

// Submit checks a ticket, writes it to the platform's table service, puts it into force
// on this host and pushes it to the other hosts. It returns a ticket.CheckError if the
// ticket is invalid, a store.ConflictError if it conflicts with an accepted one, and an
// error marked with platform.ErrUnknownOutcome if it may have been accepted; submit the
// same ticket again in that case.
func (r *Replica) Submit(ctx context.Context, t *ticket.Ticket) (state.Record, error) {
	if err := r.check(ctx, t); err != nil {
		return state.Record{}, err
	}
	record, err := t.Record(time.Now().UTC())
	if err != nil {
		return state.Record{}, err
	}
	if err := r.checkConflict(ctx, record); err != nil {
		return state.Record{}, err
	}
	accepted, err := r.store.Submit(ctx, record)
	if err != nil {
		return state.Record{}, err
	}
	evAccepted.Log(r.log).Uint64("ticket", accepted.Number).Str("operator", accepted.Operator).Send()
	if delta := r.tickets.Add(accepted); delta != nil {
		r.engine.Publish(spread.TicketsTopic, delta)
	}
	return accepted, nil
}

// checkConflict returns a store.ConflictError if the ticket conflicts with one in force on this
// host. The table service may lack that one until it is written again, if it was restored from a
// copy. A ticket that the table service has was accepted before, which the store finds out.
func (r *Replica) checkConflict(ctx context.Context, record state.Record) error {
	conflict, found := r.merged.Conflict(record)
	if !found {
		return nil
	}
	if _, err := r.store.Ticket(ctx, record.Number); !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	refused := &store.ConflictError{Number: record.Number, Winner: conflict.Winner}
	if conflict.Object != (state.Key{}) {
		refused.Object = conflict.Object.String()
	}
	return refused
}

// check checks a ticket. Before it is rejected because of an unknown reference, newer
// tickets are read from the table service, since one of them may contain the object.
func (r *Replica) check(ctx context.Context, t *ticket.Ticket) error {
	err := t.CheckAgainst(r.checkContext())
	if err == nil || t.CheckAgainst(CheckContext(r.settings.Topology)) != nil {
		return err
	}
	at := r.engine.Position()
	page, readErr := r.store.Page(ctx, at.Revision, maxPageSize)
	if readErr == nil && page.Era != at.Era {
		page, readErr = r.store.Page(ctx, 0, maxPageSize)
	}
	if readErr != nil {
		return err
	}
	if delta := r.tickets.Add(page.Records...); delta != nil {
		r.engine.Publish(spread.TicketsTopic, delta)
	}
	return t.CheckAgainst(r.checkContext())
}

// checkContext returns the topology and, while this host is up to date, the
// configuration in force, against which the references of a ticket are checked.
func (r *Replica) checkContext() ticket.CheckContext {
	env := CheckContext(r.settings.Topology)
	if r.UpToDate() {
		env.InForce = r.config.Load()
	}
	return env
}

// CheckContext returns the regions and failure domains of a topology, for checking
// tickets.
func CheckContext(topology settings.Topology) ticket.CheckContext {
	var env ticket.CheckContext
	for _, r := range topology.Regions {
		env.Regions = append(env.Regions, ticket.Region{Name: r.Name, FailureDomains: r.FailureDomains})
	}
	return env
}
