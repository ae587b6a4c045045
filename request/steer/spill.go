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

// longSpillShare is the share of this host's spill slots that long requests may hold.
const longSpillShare = 0.5

// Choose implements admit.Chooser. It takes a slot in the region of the request, in its
// home region or, when neither has a free slot, in a region with spill slots.
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
	regional := *info
	regional.Region = region
	return s.opts.Next.Choose(&regional, snap, tried)
}

// spill takes a slot in another region within this host's share of that region's spill
// slots. Without a usable view of the hosts the share is unknown, so nothing is spilled;
// requests in flight keep their spill slots until they end.
func (s *Steerer) spill(info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, bool) {
	placement := snap.Placements[info.Service.Name]
	if placement == nil || placement.SpillShare <= 0 || !s.opts.View.Usable(time.Now()) {
		return route.Choice{}, false
	}
	regions := s.regionsOf(info.Service, snap)
	for _, region := range regions.ranked(info.Service.Name + "@" + blockOf(info.Client)) {
		remote := region != s.opts.Region
		if region == info.Region || region == info.HomeRegion || remote && !s.opts.LinkHasCapacity(region) {
			continue
		}
		key := spillKey{service: info.Service.Name, region: region}
		limit := s.spills.limit(key, snap, s.opts.View.Generation(), func() int {
			return s.opts.View.OwnedUnits(key.service+"/"+key.region, int(placement.SpillShare*float64(regions.slots[region])))
		})
		if choice, ok := s.spillTo(key, limit, info, snap, tried); ok {
			return choice, true
		}
	}
	return route.Choice{}, false
}

// spillTo takes a spill slot and a target in a region. It returns false when there is none.
func (s *Steerer) spillTo(key spillKey, limit int, info *request.Info, snap *state.Snapshot, tried []string) (route.Choice, bool) {
	if !s.spills.acquire(key, limit, info.Class.Long) {
		return route.Choice{}, false
	}
	choice, err := s.chooseIn(key.region, info, snap, tried)
	if err != nil {
		s.spills.release(key, info.Class.Long)
		return route.Choice{}, false
	}
	s.counts.spilled.Add(1)
	evSpill.Log(s.opts.Log).Str("request", info.ID).Str("service", key.service).Str("home", info.HomeRegion).
		Str("region", key.region).Str("target", choice.Target.Name).Int("limit", limit).Send()
	return choice.WithOnDone(func() { s.spills.release(key, info.Class.Long) }), true
}

// spillKey identifies the spill slots of one region for one service.
type spillKey struct {
	service string
	region  string
}

// spillUsage counts the spill slots that this host uses.
type spillUsage struct {
	mu     sync.Mutex
	used   map[spillKey]int
	long   map[spillKey]int
	limits map[spillKey]cachedLimit
}

// cachedLimit is a limit with the inputs that it was computed from.
type cachedLimit struct {
	snap       *state.Snapshot
	generation uint64
	limit      int
}

func newSpillUsage() spillUsage {
	return spillUsage{used: make(map[spillKey]int), long: make(map[spillKey]int), limits: make(map[spillKey]cachedLimit)}
}

// limit returns how many spill slots this host may use. It calls compute when the inputs
// have changed.
func (u *spillUsage) limit(key spillKey, snap *state.Snapshot, generation uint64, compute func() int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	cached := u.limits[key]
	if cached.snap != snap || cached.generation != generation {
		cached = cachedLimit{snap: snap, generation: generation, limit: compute()}
		u.limits[key] = cached
	}
	return cached.limit
}

// acquire takes a spill slot. It returns false when the limit is reached.
func (u *spillUsage) acquire(key spillKey, limit int, long bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.used[key] >= limit || long && u.long[key] >= int(longSpillShare*float64(limit)) {
		return false
	}
	u.used[key]++
	if long {
		u.long[key]++
	}
	return true
}

// release returns a spill slot.
func (u *spillUsage) release(key spillKey, long bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.used[key]--
	if long {
		u.long[key]--
	}
}

// counters are the metrics of a Steerer.
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
