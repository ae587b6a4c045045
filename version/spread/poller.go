package spread

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"quetzalknot/platform"
	"quetzalknot/process/membership"
	"quetzalknot/version/state"
	"quetzalknot/version/store"
)

const (
	// pollInterval is the mean interval between reads of newly accepted tickets by a poller.
	pollInterval = time.Second
	// pollersPerDomain is the number of hosts in a failure domain that poll the table service.
	pollersPerDomain = 2
	// memberReadPolls is the number of polls between reads of changed member rows.
	memberReadPolls = 10
	// pageRows is the page size of reads.
	pageRows = 200
	// storeTimeout bounds one call to the table service or object store.
	storeTimeout = 5 * time.Second
	// maxStoreBackoff bounds the backoff of a host while the table service is unavailable.
	maxStoreBackoff = 10 * time.Second
	// readsPerSecond bounds the reads of one host, so that hosts that catch up do not
	// use up the capacity of the table service.
	readsPerSecond = 5
)

// errEarlierEra reports an answer from before a restore of the table that this host has seen.
var errEarlierEra = errors.New("the table answers from an earlier era")

// Sources holds the platform services that a Poller uses.
type Sources struct {
	Store     *store.Store
	Rows      *membership.Rows
	Snapshots *store.Snapshots
	// Hosts is the platform's list of hosts, which may lag behind. May be nil.
	Hosts platform.HostList
	// Seeds are the addresses of hosts to contact first while the platform is unavailable.
	Seeds []string
}

// Poller reads tickets and members from the platform into an engine. Only a few hosts
// of each failure domain poll.
type Poller struct {
	Sources
	engine       *Engine
	tickets      *Tickets
	state        *state.State
	limiter      *rate.Limiter
	retryBackoff *backoff.ExponentialBackOff

	// The fields below are used only by Run.

	// memberCursor is the table revision up to which the member rows have been read.
	memberCursor int64
	// readEra is the era of the table when this host last read tickets from it, and hasRead
	// whether it ever did.
	readEra uint64
	hasRead bool
	// repair is set for a while after a restore of the table.
	repair *repair
	// othersUntil is when the member row of each other host expires, as read last.
	othersUntil   map[string]time.Time
	polls         int
	storeDown     bool
	renewAt       time.Time
	renewFailedAt time.Time
	// rowEra is the era of the table for which the member row is written or due.
	rowEra      uint64
	snapshotAt  time.Time
	snapshotSum uint64
	// announcedLeaving is the Leaving flag in the last written member row.
	announcedLeaving bool
}

// NewPoller returns a poller that feeds the engine's tickets and members.
func NewPoller(e *Engine, t *Tickets, s *state.State, sources Sources) *Poller {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = pollInterval
	retryBackoff.MaxInterval = maxStoreBackoff
	return &Poller{
		Sources: sources, engine: e, tickets: t, state: s, othersUntil: make(map[string]time.Time),
		limiter: rate.NewLimiter(readsPerSecond, readsPerSecond), retryBackoff: retryBackoff,
	}
}

// Run loads the state and then polls, whenever this host is one of the pollers, until
// ctx ends.
func (p *Poller) Run(ctx context.Context) {
	p.renewAt = time.Now()
	p.snapshotAt = time.Now().Add(rand.N(snapshotInterval))
	for {
		err := p.step(ctx)
		p.logOutage(err)
		pause := pollInterval*3/4 + rand.N(pollInterval/2)
		if err != nil {
			pause = max(pause, p.retryBackoff.NextBackOff())
		} else {
			p.retryBackoff.Reset()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// logOutage logs the start and the end of a table service outage once each.
func (p *Poller) logOutage(err error) {
	if err != nil && !p.storeDown {
		evStoreDown.Log(p.engine.Log).Err(err).Send()
	}
	if err == nil && p.storeDown {
		evStoreUp.Log(p.engine.Log).Send()
	}
	p.storeDown = err != nil
}

// step does the work that is due. It returns an error only if a read of the table
// service failed; writes and calls to the other services have their own retry times.
func (p *Poller) step(ctx context.Context) error {
	defer p.renewRow(ctx)
	if !p.engine.Complete() {
		if err := p.load(ctx); err != nil {
			p.exchangeWithSeeds(ctx)
			return err
		}
	}
	if !p.isPoller() {
		return nil
	}
	began := time.Now()
	if err := p.poll(ctx); err != nil {
		return err
	}
	p.polls++
	unconnected := len(p.engine.Members.Reachable()) == 0
	if p.polls%memberReadPolls == 1 || unconnected || p.confirmsAlone(time.Now()) {
		if err := p.readMembers(ctx); err != nil {
			return err
		}
	}
	if unconnected {
		p.renewLeaseIfAlone(began)
	}
	p.writeLostTickets(ctx)
	p.writeSnapshotIfDue(ctx)
	return nil
}

// confirmsAlone reports whether the member rows have to be read now because this host knows
// no other.
func (p *Poller) confirmsAlone(now time.Time) bool {
	return !p.engine.Members.Discovered() && p.engine.Members.Discovery().ConfirmationDue(now)
}

// isPoller reports whether this host is one of the pollers of its failure domain.
func (p *Poller) isPoller() bool {
	self := p.engine.Members.Self()
	var domain []membership.Member
	for _, m := range p.engine.Members.Live() {
		if m.FailureDomain == self.FailureDomain {
			domain = append(domain, m)
		}
	}
	return membership.Rank("poll", self.Host, domain) < pollersPerDomain
}

// load reads the members, the newest snapshot and the tickets accepted after it.
func (p *Poller) load(ctx context.Context) error {
	began := time.Now()
	if err := p.readMembers(ctx); err != nil {
		return err
	}
	if err := p.loadSnapshot(ctx); err != nil && !errors.Is(err, platform.ErrNotFound) {
		evSnapshotFailed.Log(p.engine.Log).Err(err).Send()
	}
	if err := p.poll(ctx); err != nil {
		return err
	}
	evLoaded.Log(p.engine.Log).Uint64("version", p.state.Newest()).Dur("took_ms", time.Since(began)).Send()
	return nil
}

// poll reads the tickets accepted after the engine's position, which also advances
// when another host's watermark is adopted, and pushes the new ones. When the table was
// restored since this host last read it, all tickets are read again.
func (p *Poller) poll(ctx context.Context) error {
	from := p.engine.Position()
	for {
		if err := p.limiter.Wait(ctx); err != nil {
			return err
		}
		began := time.Now()
		page, err := p.page(ctx, from.Revision)
		if err != nil {
			return err
		}
		if page.Era < max(p.readEra, from.Era) {
			return errEarlierEra
		}
		if page.Era > from.Era || p.hasRead && page.Era > p.readEra {
			evRestored.Log(p.engine.Log).Uint64("era", page.Era).Int64("revision", page.Next).Send()
			p.hasRead, p.readEra = true, page.Era
			p.memberCursor = 0
			p.repair = newRepair(began)
			from = Position{Era: page.Era}
			continue
		}
		p.hasRead, p.readEra = true, page.Era
		p.noteInTable(page.Records)
		for _, key := range page.Unreadable {
			if p.tickets.addUnreadable(key) {
				evUnreadable.Log(p.engine.Log).Str("row", key).Send()
			}
		}
		if delta := p.tickets.Add(page.Records...); delta != nil {
			p.engine.Publish(TicketsTopic, delta)
		}
		from = Position{Era: page.Era, Revision: page.Next}
		if !page.More {
			p.engine.RecordRead(began, from)
			return nil
		}
		p.engine.watermark.advance(time.Time{}, from)
	}
}

func (p *Poller) page(ctx context.Context, after int64) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p.engine.Metrics.Counter("spread.store_reads_total").Add(1)
	return p.Store.Page(ctx, after, pageRows)
}

// exchangeWithSeeds exchanges with the hosts from the settings and the platform's list.
// The list is a hint: its hosts become members only if they respond.
func (p *Poller) exchangeWithSeeds(ctx context.Context) {
	seeds := slices.Clone(p.Seeds)
	if p.Hosts != nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		listed, err := p.Hosts.Hosts(callCtx)
		cancel()
		for _, h := range listed {
			if err == nil && !h.Leaving && len(seeds) < 2*membership.MaxPartners {
				seeds = append(seeds, h.Addr)
			}
		}
	}
	var calls sync.WaitGroup
	for _, addr := range seeds {
		if addr == p.engine.Members.Self().PeerAddr {
			continue
		}
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// A seed that does not respond is retried in the next step.
			_ = p.engine.Exchange(callCtx, addr)
		})
	}
	calls.Wait()
}
