package credit

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
	"quetzalknot/process/slots"
)

const (
	// rowPrefix is where the partitions' rows are in the table service.
	rowPrefix = "grant/"
	// claimInterval is the time between two looks at the partitions.
	claimInterval = time.Second
	// versionInterval is the time between two looks at the configuration version.
	versionInterval = 50 * time.Millisecond
	// settleTime is how long the set of live hosts must be stable before a
	// partition moves to a better placed host.
	settleTime = 3 * time.Second
	// pageRows is how many rows one read asks for.
	pageRows = 1000
	// claimDelay is the time after the start in which a process claims nothing,
	// because it may not know the other hosts yet.
	claimDelay = time.Second
	// drainTime is how long a partition is closed before it is released with slots
	// still occupied.
	drainTime = 2 * Term
	// drainInterval is the time between two looks while partitions are closed.
	drainInterval = 100 * time.Millisecond
	// maxDraining is how many partitions are closed at once for better placed hosts.
	maxDraining = 2
	// goneTime is how long an owner must be missing from the live hosts before its
	// partitions are taken over.
	goneTime = 3 * time.Second
	// tableTimeout bounds one call to the table service.
	tableTimeout = 2 * time.Second
)

// lookAtPartitions keeps the partitions at each claimInterval and when a new
// configuration version is in force.
func (s *Service) lookAtPartitions(ctx context.Context) {
	version := s.opts.Version()
	hinted := s.hinted.Swap(false)
	interval := claimInterval
	if len(s.draining) > 0 {
		interval = drainInterval
	}
	if !hinted && version == s.keptVersion && time.Since(s.keptAt) < interval {
		return
	}
	s.keptVersion = version
	s.keptAt = time.Now()
	s.keepPartitions(ctx)
}

// keepPartitions reads the rows, claims what this host should own, hands over
// what another should own, and opens the targets of what it owns.
func (s *Service) keepPartitions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	s.place()
	if err := s.readRows(ctx); err != nil {
		evRows.Log(s.opts.Log).Err(err).Send()
	} else {
		s.change(ctx)
	}
	s.adopt()
	s.trigger()
}

// place notes which partition each target belongs to. A target that this process
// has lent from stays where it is until the partition is given up.
func (s *Service) place() {
	targets := s.opts.Targets()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.infos = targets
	for t := range s.homes {
		if !s.adopted[t] {
			delete(s.homes, t)
			delete(s.regions, t)
		}
	}
	for _, t := range targets {
		if !s.adopted[t.Target] {
			s.homes[t.Target] = partitionOf(t.Target, t.Region)
			s.regions[t.Target] = t.Region
		}
	}
}

func (s *Service) readRows(ctx context.Context) error {
	for {
		page, err := s.opts.Table.Changes(ctx, rowPrefix, s.readTo, pageRows)
		if err != nil {
			return err
		}
		if err := s.takeRows(page.Rows); err != nil {
			return err
		}
		s.readTo = page.Next
		if !page.More {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.elector.Informed()
	return nil
}

func (s *Service) takeRows(rows []platform.Row) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		var row Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			return errors.Wrapf(err, "row %s", r.Key)
		}
		name := strings.TrimPrefix(r.Key, rowPrefix)
		if r.Revision <= s.rows[name].revision {
			continue
		}
		s.rows[name] = rowAt{Row: row, revision: r.Revision}
		s.elector.Saw(name, row.Epoch)
		if t := s.tenures[name]; t != nil && t.Epoch < row.Epoch {
			s.lose(name)
		}
		if t := s.tenures[name]; t != nil && t.Epoch == row.Epoch {
			t.Elected(row.Electors)
		}
	}
	return nil
}

// lose forgets a partition that another process owns now.
func (s *Service) lose(partition string) {
	evLost.Log(s.opts.Log).Str("partition", partition).Uint64("epoch", s.tenures[partition].Epoch).Send()
	delete(s.tenures, partition)
	for t := range s.adopted {
		if s.homes[t] == partition {
			s.granter.Drop(t)
			delete(s.adopted, t)
		}
	}
}

// change makes at most one kind of step for each partition with targets.
func (s *Service) change(ctx context.Context) {
	live := s.opts.Hosts()
	settled := s.settled(live)
	var claims []string
	successors := make(map[Process]Host)
	for _, name := range s.partitions() {
		best, ok := preferred(name, regionOf(name), live)
		if !ok {
			continue
		}
		next := s.stepFor(name, best, live, settled)
		if next != stepRelease {
			s.reopen(name)
		}
		switch next {
		case stepClaim:
			claims = append(claims, name)
		case stepRelease:
			if s.drained(name) {
				s.releasePartition(ctx, name)
				successors[best.Process] = best
			}
		case stepElect:
			s.changeElectors(ctx, name, live)
		}
	}
	if len(claims) > 0 {
		s.claim(ctx, claims, live)
	}
	for _, h := range successors {
		s.hint(ctx, h)
	}
}

// drained closes a partition to new loans and reports whether its loans have
// ended or drainTime has passed. Few partitions are closed at once.
func (s *Service) drained(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, closing := s.draining[name]
	if !closing && len(s.draining) >= maxDraining {
		return false
	}
	now := time.Now()
	if !closing {
		s.draining[name] = now
	}
	busy := 0
	for _, t := range s.adoptedIn(name) {
		s.granter.Close(t)
		busy += len(s.granter.Outstanding(now, t))
	}
	if busy > 0 && (!closing || now.Sub(since) < drainTime) {
		return false
	}
	delete(s.draining, name)
	return true
}

// reopen ends the closing of a partition that stays here after all.
func (s *Service) reopen(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.draining, name)
}

// hint tells a host that a partition waits for it. A lost hint costs it at most
// claimInterval.
func (s *Service) hint(ctx context.Context, h Host) {
	var reply LookReply
	if err := s.opts.Caller.Call(ctx, h.Addr, serviceName+".Look", &LookArgs{}, &reply); err != nil {
		s.counters.failed.Add(1)
	}
}

type step uint8

const (
	stepNone step = iota
	stepClaim
	stepRelease
	stepElect
)

// stepFor says what this process should do about a partition.
func (s *Service) stepFor(name string, best Host, live []Host, settled bool) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.rows[name]
	self := s.opts.Self()
	tenure := s.tenures[name]
	ownerGone := s.gone(row.Owner, live)
	switch {
	case s.leaving || time.Since(s.startedAt) < claimDelay:
		return stepNone
	case tenure == nil && best.Process == s.self && (row.Epoch == 0 || row.Released || ownerGone):
		return stepClaim
	case tenure == nil && row.Owner == s.self && !row.Released:
		return stepClaim
	case tenure == nil || !tenure.Allowed(time.Now()) || !settled:
		return stepNone
	case best.Process != s.self:
		return stepRelease
	case !slices.Equal(row.Electors, electorsOf(self, live)):
		return stepElect
	default:
		return stepNone
	}
}

// gone reports whether an owner has been missing from the live hosts for goneTime.
func (s *Service) gone(owner Process, live []Host) bool {
	if slices.ContainsFunc(live, func(h Host) bool { return h.Process == owner }) {
		delete(s.missing, owner)
		return false
	}
	since, known := s.missing[owner]
	if !known {
		s.missing[owner] = time.Now()
		return false
	}
	return time.Since(since) >= goneTime
}

// settled reports whether the live hosts have been the same for settleTime.
func (s *Service) settled(live []Host) bool {
	var names []string
	for _, h := range live {
		names = append(names, h.Host)
	}
	slices.Sort(names)
	joined := strings.Join(names, " ")
	s.mu.Lock()
	defer s.mu.Unlock()
	if joined != s.liveNames {
		s.liveNames = joined
		s.liveSince = time.Now()
	}
	return time.Since(s.liveSince) >= settleTime
}

func (s *Service) partitions() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, name := range s.homes {
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (s *Service) owned() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.tenures {
		names = append(names, name)
	}
	return names
}

func regionOf(partition string) string {
	return partition[:strings.LastIndexByte(partition, '/')]
}

// claim takes partitions over in one commit. A conflict or an unknown outcome is
// settled by the next reading of the rows.
func (s *Service) claim(ctx context.Context, names []string, live []Host) {
	electors := electorsOf(s.opts.Self(), live)
	next := make(map[string]Row, len(names))
	before := make(map[string]rowAt, len(names))
	s.mu.Lock()
	for _, name := range names {
		before[name] = s.rows[name]
		next[name] = ClaimRow(before[name].Row, s.self, electors)
	}
	s.mu.Unlock()
	revision, err := s.commit(ctx, before, next)
	if err != nil {
		evRows.Log(s.opts.Log).Err(err).Int("claims", len(names)).Send()
		return
	}
	s.mu.Lock()
	for name, row := range next {
		s.rows[name] = rowAt{Row: row, revision: revision}
		s.elector.Saw(name, row.Epoch)
		s.tenures[name] = NewTenure(name, row, before[name].Row)
		evClaimed.Log(s.opts.Log).Str("partition", name).Uint64("epoch", row.Epoch).
			Str("before", before[name].Owner.Host).Bool("released", before[name].Released).Send()
	}
	s.mu.Unlock()
	s.pledge(ctx)
}

// commit writes rows on condition that none has changed since it was read.
func (s *Service) commit(ctx context.Context, before map[string]rowAt, next map[string]Row) (int64, error) {
	var conditions []platform.Condition
	var writes []platform.Write
	for name, row := range next {
		data, err := json.Marshal(row)
		if err != nil {
			return 0, err
		}
		conditions = append(conditions, platform.Condition{Key: rowPrefix + name, Revision: before[name].revision})
		writes = append(writes, platform.Write{Key: rowPrefix + name, Value: data})
	}
	s.counters.writes.Add(1)
	return s.opts.Table.Commit(ctx, conditions, writes)
}

// releasePartition gives an epoch up with the list of its occupied slots, so
// that the next owner has nothing to wait out.
func (s *Service) releasePartition(ctx context.Context, name string) {
	s.mu.Lock()
	before := s.rows[name]
	tenure := s.tenures[name]
	row, ok := s.closePartition(name, before.Row, tenure)
	s.mu.Unlock()
	if !ok {
		return
	}
	revision, err := s.commit(ctx, map[string]rowAt{name: before}, map[string]Row{name: row})
	if err != nil {
		evRows.Log(s.opts.Log).Err(err).Str("partition", name).Send()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[name] = rowAt{Row: row, revision: revision}
	evReleased.Log(s.opts.Log).Str("partition", name).Uint64("epoch", row.Epoch).Int("busy", len(row.Busy)).Send()
}

// closePartition ends lending in a partition and returns the row that says so.
func (s *Service) closePartition(name string, row Row, tenure *Tenure) (Row, bool) {
	now := time.Now()
	if tenure == nil || tenure.Epoch != row.Epoch || !tenure.Allowed(now) {
		return row, false
	}
	targets := s.adoptedIn(name)
	for _, t := range targets {
		if !s.granter.Settled(now, t) {
			return row, false
		}
	}
	row.Released = true
	for _, t := range targets {
		s.granter.Close(t)
		row.Busy = append(row.Busy, s.granter.Outstanding(now, t)...)
		s.granter.Drop(t)
		delete(s.adopted, t)
	}
	delete(s.tenures, name)
	return row, true
}

func (s *Service) adoptedIn(partition string) []slots.Target {
	var targets []slots.Target
	for t := range s.adopted {
		if s.homes[t] == partition {
			targets = append(targets, t)
		}
	}
	return targets
}

func (s *Service) changeElectors(ctx context.Context, name string, live []Host) {
	s.mu.Lock()
	before := s.rows[name]
	tenure := s.tenures[name]
	if tenure == nil || before.Epoch != tenure.Epoch {
		s.mu.Unlock()
		return
	}
	row := before.Row
	row.Electors = electorsOf(s.opts.Self(), live)
	tenure.Electing(row.Electors)
	s.mu.Unlock()
	s.pledge(ctx)
	revision, err := s.commit(ctx, map[string]rowAt{name: before}, map[string]Row{name: row})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		evRows.Log(s.opts.Log).Err(err).Str("partition", name).Send()
		if errors.Is(err, platform.ErrUnavailable) {
			tenure.Elected(before.Electors)
		}
		return
	}
	s.rows[name] = rowAt{Row: row, revision: revision}
	tenure.Elected(row.Electors)
	evElectors.Log(s.opts.Log).Str("partition", name).Uint64("epoch", row.Epoch).Strs("electors", row.Electors).Send()
}

// closing reports whether a partition is about to be released.
func (s *Service) closing(partition string) bool {
	_, draining := s.draining[partition]
	return draining || s.leaving
}

// adopt opens the targets of established partitions and closes removed ones.
func (s *Service) adopt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	wanted := make(map[slots.Target]bool)
	for _, info := range s.infos {
		tenure := s.tenures[s.homes[info.Target]]
		if tenure == nil || !tenure.Allowed(now) || s.closing(s.homes[info.Target]) {
			continue
		}
		wanted[info.Target] = true
		s.adopted[info.Target] = true
		s.granter.Adopt(now, info.Capacity, tenure.Right, tenure.Wait(now))
	}
	for t := range s.adopted {
		if !wanted[t] {
			s.granter.Close(t)
		}
	}
}
