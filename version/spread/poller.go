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
	// pollInterval is the mean time between two reads of the head by a poller.
	pollInterval = time.Second
	// pollersPerDomain is how many hosts of a failure domain watch the head.
	pollersPerDomain = 2
	// membersEvery is after how many polls a poller reads changed member rows.
	membersEvery = 10
	// pageRows is how many rows one read asks for.
	pageRows = 200
	// storeTimeout bounds one call to the table service or object store.
	storeTimeout = 5 * time.Second
	// maxStorePause bounds the pause of a host while the table service is down.
	maxStorePause = 10 * time.Second
	// readsPerSecond bounds the reads of one host, so that hosts that catch up leave
	// room for others.
	readsPerSecond = 5
	// snapshotInterval is the least time between two snapshots.
	snapshotInterval = 2 * time.Minute
)

// Sources are the platform's services as a poller uses them.
type Sources struct {
	Store     *store.Store
	Rows      *membership.Rows
	Snapshots *store.Snapshots
	// Hosts is the lagging list of hosts.
	Hosts platform.HostList
	// Seeds are addresses to begin with while the platform is down.
	Seeds []string
}

// Poller brings tickets and members from the platform into an engine. Only a few
// hosts of each failure domain read regularly.
type Poller struct {
	Sources
	engine  *Engine
	tickets *Tickets
	state   *state.State
	limit   *rate.Limiter
	pauses  *backoff.ExponentialBackOff

	// The rest belongs to Run.
	rows          int64
	polls         int
	down          bool
	renewAt       time.Time
	renewFailedAt time.Time
	snapshotAt    time.Time
	snapshotSum   uint64
	leavingKnown  bool
}

// NewPoller returns a poller that feeds the engine's tickets and members.
func NewPoller(e *Engine, t *Tickets, s *state.State, from Sources) *Poller {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = pollInterval
	pauses.MaxInterval = maxStorePause
	return &Poller{Sources: from, engine: e, tickets: t, state: s, limit: rate.NewLimiter(readsPerSecond, readsPerSecond), pauses: pauses}
}

// Run loads the state, then polls while this host is a poller, until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	p.renewAt = time.Now()
	p.snapshotAt = time.Now().Add(rand.N(snapshotInterval))
	for {
		err := p.step(ctx)
		p.report(err)
		pause := pollInterval*3/4 + rand.N(pollInterval/2)
		if err != nil {
			pause = max(pause, p.pauses.NextBackOff())
		} else {
			p.pauses.Reset()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// report logs the begin and the end of an outage once.
func (p *Poller) report(err error) {
	if err != nil && !p.down {
		evStoreDown.Log(p.engine.Log).Err(err).Send()
	}
	if err == nil && p.down {
		evStoreUp.Log(p.engine.Log).Send()
	}
	p.down = err != nil
}

// step does what is due. Only a failed read of the table service is an error: the
// other services and writes are tried again in their own time.
func (p *Poller) step(ctx context.Context) error {
	defer p.renew(ctx)
	if !p.engine.Whole() {
		if err := p.start(ctx); err != nil {
			p.callSeeds(ctx)
			return err
		}
	}
	if !p.onDuty() {
		return nil
	}
	if err := p.poll(ctx); err != nil {
		return err
	}
	p.polls++
	if p.polls%membersEvery == 1 {
		if err := p.readMembers(ctx); err != nil {
			return err
		}
	}
	p.snapshot(ctx)
	return nil
}

// onDuty reports whether this host is one of the pollers of its failure domain.
func (p *Poller) onDuty() bool {
	self := p.engine.Members.Self()
	var domain []membership.Member
	for _, m := range p.engine.Members.Live() {
		if m.FailureDomain == self.FailureDomain {
			domain = append(domain, m)
		}
	}
	return membership.Rank("poll", self.Host, domain) < pollersPerDomain
}

// start reads the members, the newest snapshot and the tickets after it.
func (p *Poller) start(ctx context.Context) error {
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
	evStarted.Log(p.engine.Log).Uint64("version", p.state.Newest()).Dur("took_ms", time.Since(began)).Send()
	return nil
}

// loadSnapshot takes in the newest whole snapshot. It does not make the state
// fresh: the tickets after it are still to be read.
func (p *Poller) loadSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	snap, err := p.Snapshots.Read(ctx, func(key string, err error) {
		evDamaged.Log(p.engine.Log).Str("object", key).Err(err).Send()
	})
	if err != nil {
		return err
	}
	p.tickets.Add(snap.Records...)
	p.engine.fresh.mark(time.Time{}, snap.Revision)
	return nil
}

// poll reads the tickets accepted since the last read, by any host of which this
// one has learned, and pushes the new ones.
func (p *Poller) poll(ctx context.Context) error {
	for {
		if err := p.limit.Wait(ctx); err != nil {
			return err
		}
		began := time.Now()
		page, err := p.page(ctx)
		if err != nil {
			return err
		}
		for _, key := range page.Unreadable {
			if p.tickets.noteUnreadable(key) {
				evUnreadable.Log(p.engine.Log).Str("row", key).Send()
			}
		}
		if delta := p.tickets.Add(page.Records...); delta != nil {
			p.engine.Publish(TicketsTopic, delta)
		}
		if !page.More {
			p.engine.MarkFresh(began, page.Next)
			p.holdAlone(began)
			return nil
		}
		p.engine.fresh.mark(time.Time{}, page.Next)
	}
}

func (p *Poller) page(ctx context.Context) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p.engine.Metrics.Counter("spread.store_reads_total").Add(1)
	return p.Store.Page(ctx, p.engine.Revision(), pageRows)
}

// holdAlone renews the lease of a host that has no other to hear from.
func (p *Poller) holdAlone(began time.Time) {
	if len(p.engine.Members.Reachable()) == 0 {
		p.engine.Members.Lease().Renew(began)
	}
}

// readMembers takes in the member rows written since the last read.
func (p *Poller) readMembers(ctx context.Context) error {
	for {
		if err := p.limit.Wait(ctx); err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		p.engine.Metrics.Counter("spread.store_reads_total").Add(1)
		members, next, more, err := p.Rows.Changed(callCtx, p.rows, pageRows, time.Now())
		cancel()
		if err != nil {
			return err
		}
		self := p.engine.Members.Self()
		for _, m := range members {
			if m.Host != self.Host || m.Incarnation > self.Incarnation {
				p.engine.Members.MergeRow(m)
			}
		}
		p.rows = next
		if !more {
			return nil
		}
	}
}

// renew writes the row of this process when it is due, or when it begins to leave.
func (p *Poller) renew(ctx context.Context) {
	self := p.engine.Members.Self()
	due := time.Now().After(p.renewAt) || self.Leaving != p.leavingKnown && time.Now().After(p.renewFailedAt.Add(maxStorePause))
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
		p.renewAt = p.renewFailedAt.Add(maxStorePause/2 + rand.N(maxStorePause))
		return
	}
	p.leavingKnown = self.Leaving
	p.renewAt = time.Now().Add(membership.RenewInterval*3/4 + rand.N(membership.RenewInterval/2))
}

// snapshot writes the state to the object store, on one host, when it has changed.
func (p *Poller) snapshot(ctx context.Context) {
	self := p.engine.Members.Self()
	due := time.Now().After(p.snapshotAt) && p.state.Sum() != p.snapshotSum
	if !due || membership.Rank("snapshot", self.Host, p.engine.Members.Live()) > 0 {
		return
	}
	p.snapshotAt = time.Now().Add(snapshotInterval)
	if err := p.writeSnapshot(ctx); err != nil {
		evSnapshotFailed.Log(p.engine.Log).Err(err).Send()
	}
}

func (p *Poller) writeSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sum := p.state.Sum()
	snap := store.Snapshot{Revision: p.engine.Revision()}
	for _, n := range p.state.Numbers() {
		if r, ok := p.state.Record(n); ok {
			snap.Records = append(snap.Records, r)
		}
	}
	if err := p.Snapshots.Write(ctx, snap); err != nil {
		return err
	}
	p.snapshotSum = sum
	evSnapshot.Log(p.engine.Log).Int64("revision", snap.Revision).Int("tickets", len(snap.Records)).Send()
	return nil
}

// callSeeds exchanges with the hosts that settings and the platform's list name.
// The list is a hint: its hosts become members only by answering.
func (p *Poller) callSeeds(ctx context.Context) {
	seeds := slices.Clone(p.Seeds)
	if p.Hosts != nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		listed, err := p.Hosts.Hosts(callCtx)
		cancel()
		for _, h := range listed {
			if err == nil && !h.Leaving && len(seeds) < 2*membership.Degree {
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
			// A seed that does not answer is tried again with the next step.
			_ = p.engine.Exchange(callCtx, addr)
		})
	}
	calls.Wait()
}
