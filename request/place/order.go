package place

import (
	"math"
	"slices"

	"quetzalknot/process/fleet"
)

// orderLength is how many targets of an object's order are told apart.
const orderLength = 4

// order holds the first targets of an object's order, best first.
type order struct {
	targets [orderLength]*fleet.Target
	scores  [orderLength]float64
}

// has reports whether a target is among the first of the order.
func (o *order) has(t *fleet.Target) bool { return slices.Contains(o.targets[:], t) }

// sentLimit is how many targets of an object are remembered.
const sentLimit = 6

// memory is what is remembered of an object.
type memory struct {
	order order
	// generation and weight are what the order was made of.
	generation uint64
	weight     float64
	// sent are the targets that this host sent the object to last, the oldest at place.
	sent  [sentLimit]*fleet.Target
	place int
}

// sentTo notes that the object is sent to a target.
func (m *memory) sentTo(t *fleet.Target) {
	if slices.Contains(m.sent[:], t) {
		return
	}
	m.sent[m.place] = t
	m.place = (m.place + 1) % sentLimit
}

// recall returns what is remembered of a request's object, with its order as the targets
// are now. The fleet's lock must be held.
func (c *Chooser) recall(targets []*fleet.Target, ask Ask, p profile) *memory {
	if ask.Object == 0 {
		return new(memory)
	}
	m, ok := c.objects.Get(ask.Object)
	if !ok {
		m = new(memory)
		c.objects.Add(ask.Object, m)
	}
	if generation, weight := c.fleet.Generation(), p.weight(); !ok || m.generation != generation || m.weight != weight {
		m.generation, m.weight = generation, weight
		m.order = c.ranks(targets, ask.Object, weight)
	}
	return m
}

// ranks returns the order of an object: rendezvous hashing weighted by slots, with a
// handicap for targets outside this host's region. The handicap is in proportion to the
// mean capacity of a region, so that a region with much room keeps nearly all of its
// objects and one with little room keeps few.
func (c *Chooser) ranks(targets []*fleet.Target, object uint64, weight float64) order {
	var o order
	handicap := awayHandicap * weight / c.regionSlots(targets)
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		score := exponential(t.Score(object)) / float64(max(1, t.Slots))
		if t.Region != c.opts.Region {
			score += handicap
		}
		o.insert(t, score)
	}
	return o
}

// weight returns how much more the bodies of a route weigh on the way than those of a
// usual one. It moves in steps, so that hosts which have seen other requests agree.
func (p profile) weight() float64 {
	step := math.Round(math.Log2((p.request + p.answer + smallBody) / usualBody))
	return math.Exp2(weightPower * step)
}

// regionSlots returns the mean number of slots of the regions that have targets.
func (c *Chooser) regionSlots(targets []*fleet.Target) float64 {
	slots := 0
	var regions [regionLimit]string
	n := 0
	for _, t := range targets {
		slots += t.Slots
		if n < regionLimit && !slices.Contains(regions[:n], t.Region) {
			regions[n] = t.Region
			n++
		}
	}
	return float64(max(1, slots)) / float64(max(1, n))
}

// exponential turns a hash into an exponentially distributed number of mean 1.
func exponential(hash uint64) float64 { return -math.Log((float64(hash>>11) + 1) / (1 << 53)) }

func (o *order) insert(t *fleet.Target, score float64) {
	for i := range o.targets {
		if o.targets[i] == nil || score < o.scores[i] {
			o.targets[i], t = t, o.targets[i]
			o.scores[i], score = score, o.scores[i]
			if t == nil {
				return
			}
		}
	}
}

// prior is the chance that a target has an object warm that this host did not send there.
func (o *order) prior(t *fleet.Target) float64 {
	for i, other := range o.targets {
		if other == t {
			return priors[i]
		}
	}
	return 0
}
