package place

import (
	"math"
	"slices"

	"quetzalknot/process/fleet"
)

// rankingSize is the number of targets kept in the ranking of an object.
const rankingSize = 4

// ranking holds the highest-ranked targets of an object, best first. Lower scores are better.
type ranking struct {
	targets [rankingSize]*fleet.Target
	scores  [rankingSize]float64
}

// contains reports whether a target is in the ranking.
func (r *ranking) contains(t *fleet.Target) bool { return slices.Contains(r.targets[:], t) }

// maxRecentTargets is the number of recent targets kept for an object.
const maxRecentTargets = 6

// objectInfo is the cached state of an object.
type objectInfo struct {
	ranking ranking
	// generation and weight are the inputs that the ranking was computed from.
	generation uint64
	weight     float64
	// recent is a ring buffer of the targets that this host last sent the object to;
	// the entry at oldest is overwritten next.
	recent [maxRecentTargets]*fleet.Target
	oldest int
}

// recordSent records that the object is sent to a target.
func (o *objectInfo) recordSent(t *fleet.Target) {
	if slices.Contains(o.recent[:], t) {
		return
	}
	o.recent[o.oldest] = t
	o.oldest = (o.oldest + 1) % maxRecentTargets
}

// objectState returns the cached state of the request's object and updates its ranking if
// the targets or the weight have changed. The fleet's lock must be held.
func (c *Chooser) objectState(targets []*fleet.Target, req Request, p profile) *objectInfo {
	if req.Object == 0 {
		return new(objectInfo)
	}
	info, ok := c.objects.Get(req.cacheKey())
	if !ok {
		info = new(objectInfo)
		c.objects.Add(req.cacheKey(), info)
	}
	if generation, weight := c.fleet.Generation(), p.sizeWeight(); !ok || info.generation != generation || info.weight != weight {
		info.generation, info.weight = generation, weight
		info.ranking = c.rank(req.candidates(targets), req.Object, weight)
	}
	return info
}

// rank computes the ranking of an object by rendezvous hashing weighted by slots, with a
// penalty for targets outside this host's region. The penalty is inversely proportional to
// the mean number of slots per region, so that a region with many slots keeps nearly all
// of its objects and one with few slots keeps few.
func (c *Chooser) rank(targets []*fleet.Target, object uint64, weight float64) ranking {
	var r ranking
	penalty := remoteRegionPenalty * weight / c.meanRegionSlots(targets)
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		score := exponential(t.Score(object)) / float64(max(1, t.Slots))
		if t.Region != c.opts.Region {
			score += penalty
		}
		r.insert(t, score)
	}
	return r
}

// sizeWeight returns the factor by which a route's mean body size scales the penalty of
// remote regions, relative to a typical body. It changes in steps, so that hosts whose
// averages differ a little compute the same ranking.
func (p profile) sizeWeight() float64 {
	step := math.Round(math.Log2((p.request + p.response + bodyOffset) / typicalBody))
	return math.Exp2(weightExponent * step)
}

// meanRegionSlots returns the mean number of slots of the regions that have targets.
func (c *Chooser) meanRegionSlots(targets []*fleet.Target) float64 {
	slots := 0
	var regions [maxRegions]string
	n := 0
	for _, t := range targets {
		slots += t.Slots
		if n < maxRegions && !slices.Contains(regions[:n], t.Region) {
			regions[n] = t.Region
			n++
		}
	}
	return float64(max(1, slots)) / float64(max(1, n))
}

// exponential maps a hash to an exponentially distributed number of mean 1.
func exponential(hash uint64) float64 { return -math.Log((float64(hash>>11) + 1) / (1 << 53)) }

// insert adds a target in the order of the scores; the worst of a full ranking is dropped.
func (r *ranking) insert(t *fleet.Target, score float64) {
	for i := range r.targets {
		if r.targets[i] == nil || score < r.scores[i] {
			r.targets[i], t = t, r.targets[i]
			r.scores[i], score = score, r.scores[i]
			if t == nil {
				return
			}
		}
	}
}

// cachedProbability returns the probability that a target has an object cached that this
// host did not send to it.
func (r *ranking) cachedProbability(t *fleet.Target) float64 {
	for i, other := range r.targets {
		if other == t {
			return cachedProbabilities[i]
		}
	}
	return 0
}
