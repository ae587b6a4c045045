package steer

import (
	"expvar"
	"sync"
	"time"

	"quetzalknot/process/metrics"
	"quetzalknot/request"
	"quetzalknot/request/route"
	"quetzalknot/version/state"
)

// longSpillShare is the share of this host's lent slots that long work may hold.
const longSpillShare = 0.5

// Choose implements admit.Chooser: it takes a slot in the region of the request, or
// one that another region lends.
func (s *Steerer) Choose(info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, error) {
	choice, err := s.opts.Next.Choose(info, snap, tried)
	if err == nil || info.Region == "" {
		return choice, err
	}
	if info.HomeRegion != info.Region {
		if choice, homeErr := s.chooseIn(info.HomeRegion, info, snap, tried); homeErr == nil {
			return choice, nil
		}
	}
	if choice, ok := s.spill(info, snap, tried); ok {
		return choice, nil
	}
	return route.Choice{}, err
}

func (s *Steerer) chooseIn(region string, info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, error) {
	there := *info
	there.Region = region
	return s.opts.Next.Choose(&there, snap, tried)
}

// spill takes a slot in another region within this host's part of what it lends.
// Without a usable view there is no part, and requests in flight only end.
func (s *Steerer) spill(info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, bool) {
	placement := snap.Placements[info.Service.Name]
	if placement == nil || placement.SpillShare <= 0 || !s.opts.View.Usable(time.Now()) {
		return route.Choice{}, false
	}
	allowed := s.regionsOf(info.Service, snap)
	for _, region := range allowed.ranked(info.Service.Name + "@" + blockOf(info.Client)) {
		far := region != s.opts.Region
		if region == info.Region || region == info.HomeRegion || far && !s.opts.LinkRoom(region) {
			continue
		}
		key := loan{service: info.Service.Name, region: region}
		limit := s.lent.limit(key, snap, s.opts.View.Generation(), func() int {
			return s.opts.View.Owned(key.service+"/"+key.region, int(placement.SpillShare*float64(allowed.slots[region])))
		})
		if choice, ok := s.borrow(key, limit, info, snap, tried); ok {
			return choice, true
		}
	}
	return route.Choice{}, false
}

func (s *Steerer) borrow(key loan, limit int, info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, bool) {
	if !s.lent.take(key, limit, info.Class.Long) {
		return route.Choice{}, false
	}
	choice, err := s.chooseIn(key.region, info, snap, tried)
	if err != nil {
		s.lent.giveBack(key, info.Class.Long)
		return route.Choice{}, false
	}
	s.counts.spilled.Add(1)
	evSpill.Log(s.opts.Log).Str("request", info.ID).Str("service", key.service).Str("home", info.HomeRegion).
		Str("region", key.region).Str("target", choice.Target.Name).Int("limit", limit).Send()
	return choice.OnDone(func() { s.lent.giveBack(key, info.Class.Long) }), true
}

// loan names what one region lends of one service.
type loan struct {
	service string
	region  string
}

// lender counts the lent slots that this host uses.
type lender struct {
	mu     sync.Mutex
	used   map[loan]int
	long   map[loan]int
	limits map[loan]cachedLimit
}

// cachedLimit is a limit together with what it was worked out from.
type cachedLimit struct {
	snap       *state.Snapshot
	generation uint64
	limit      int
}

func newLender() lender {
	return lender{used: make(map[loan]int), long: make(map[loan]int), limits: make(map[loan]cachedLimit)}
}

// limit returns how many lent slots this host may use.
func (l *lender) limit(key loan, snap *state.Snapshot, generation uint64, work func() int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	cached := l.limits[key]
	if cached.snap != snap || cached.generation != generation {
		cached = cachedLimit{snap: snap, generation: generation, limit: work()}
		l.limits[key] = cached
	}
	return cached.limit
}

// take uses one lent slot. It returns false at the limit.
func (l *lender) take(key loan, limit int, long bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used[key] >= limit || long && l.long[key] >= int(longSpillShare*float64(limit)) {
		return false
	}
	l.used[key]++
	if long {
		l.long[key]++
	}
	return true
}

func (l *lender) giveBack(key loan, long bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used[key]--
	if long {
		l.long[key]--
	}
}

// counters are the figures of a Steerer.
type counters struct {
	assigned *expvar.Int
	moved    *expvar.Int
	held     *expvar.Int
	spilled  *expvar.Int
}

func newCounters(m *metrics.Set) counters {
	return counters{
		assigned: m.Counter("steer.assigned_requests"), moved: m.Counter("steer.moved_requests"),
		held: m.Counter("steer.held_requests"), spilled: m.Counter("steer.spilled_requests"),
	}
}
