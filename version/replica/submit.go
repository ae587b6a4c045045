package replica

import (
	"context"
	"time"

	"quetzalknot/process/settings"
	"quetzalknot/version/spread"
	"quetzalknot/version/state"
	"quetzalknot/version/ticket"
)

// Submit checks a ticket, accepts it into the platform's table service, and puts
// it into force here and at the other hosts. It returns a ticket.CheckError or a
// store.RefusedError when the ticket is refused, and an error that is
// platform.ErrUnknownOutcome when it may have been accepted: submit it again.
func (r *Replica) Submit(ctx context.Context, t *ticket.Ticket) (state.Record, error) {
	if err := r.check(ctx, t); err != nil {
		return state.Record{}, err
	}
	record, err := t.Record(time.Now().UTC())
	if err != nil {
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

// check checks a ticket. Before a reference is refused, the tickets that have not
// arrived here yet are read, since the object may have just been accepted.
func (r *Replica) check(ctx context.Context, t *ticket.Ticket) error {
	err := t.CheckAgainst(r.surroundings())
	if err == nil || t.CheckAgainst(Surroundings(r.settings.Topology)) != nil {
		return err
	}
	page, readErr := r.store.Page(ctx, r.engine.Revision(), maxListed)
	if readErr != nil {
		return err
	}
	if delta := r.tickets.Add(page.Records...); delta != nil {
		r.engine.Publish(spread.TicketsTopic, delta)
	}
	return t.CheckAgainst(r.surroundings())
}

// surroundings are what references of a ticket are checked against: the topology,
// and the state in force while this host knows that it is fresh.
func (r *Replica) surroundings() ticket.Surroundings {
	around := Surroundings(r.settings.Topology)
	if r.Fresh() {
		around.InForce = r.config.Load()
	}
	return around
}

// Surroundings returns the regions and failure domains of a topology, for the check of tickets.
func Surroundings(topology settings.Topology) ticket.Surroundings {
	var around ticket.Surroundings
	for _, r := range topology.Regions {
		around.Regions = append(around.Regions, ticket.Region{Name: r.Name, FailureDomains: r.FailureDomains})
	}
	return around
}
