package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/fleet"
	"quetzalknot/request/place"
	"quetzalknot/version/routes"
)

// Policy chooses the targets of the requests of one host.
type Policy interface {
	// Choose returns the target of a request and a function that must be called with
	// the outcome. ok is false when the request must not be sent.
	Choose(req place.Request, now time.Time) (id string, done func(o fleet.Outcome, now time.Time), ok bool)
}

// policies holds the constructors of the policies by name. Each makes the policy of
// one host in a region.
var policies = map[string]func(sim *simulation, region string) Policy{
	"random":      newRandom,
	"two-choices": newTwoChoices,
	"rendezvous":  newRendezvous,
	"placement":   newPlacement,
}

// hostCounts counts the requests that one host has in flight at each target.
type hostCounts struct {
	ids      []string
	inFlight map[string]int
	rnd      *rand.Rand
}

func newHostCounts(sim *simulation) *hostCounts {
	c := &hostCounts{inFlight: make(map[string]int), rnd: sim.rnd}
	for _, t := range sim.targets {
		c.ids = append(c.ids, t.id)
	}
	return c
}

// pick counts a request at the target and returns the results of Policy.Choose.
func (c *hostCounts) pick(id string) (string, func(fleet.Outcome, time.Time), bool) {
	c.inFlight[id]++
	return id, func(fleet.Outcome, time.Time) { c.inFlight[id]-- }, true
}

// randomPolicy chooses a target at random.
type randomPolicy struct{ *hostCounts }

func newRandom(sim *simulation, _ string) Policy { return randomPolicy{newHostCounts(sim)} }

// Choose implements Policy.
func (p randomPolicy) Choose(place.Request, time.Time) (string, func(fleet.Outcome, time.Time), bool) {
	return p.pick(p.ids[p.rnd.IntN(len(p.ids))])
}

// twoChoicesPolicy chooses the one of two random targets with fewer of this host's
// requests in flight.
type twoChoicesPolicy struct{ *hostCounts }

func newTwoChoices(sim *simulation, _ string) Policy { return twoChoicesPolicy{newHostCounts(sim)} }

// Choose implements Policy.
func (p twoChoicesPolicy) Choose(place.Request, time.Time) (string, func(fleet.Outcome, time.Time), bool) {
	a, b := p.ids[p.rnd.IntN(len(p.ids))], p.ids[p.rnd.IntN(len(p.ids))]
	if p.inFlight[b] < p.inFlight[a] {
		a = b
	}
	return p.pick(a)
}

// rendezvousPolicy chooses the target with the highest rendezvous hash score for the
// object among those whose slots are not all in use by this host's requests, or among all
// targets if there are none.
type rendezvousPolicy struct {
	*hostCounts
	slots int
}

func newRendezvous(sim *simulation, _ string) Policy {
	return rendezvousPolicy{hostCounts: newHostCounts(sim), slots: sim.file.Target.Slots}
}

// Choose implements Policy.
func (p rendezvousPolicy) Choose(req place.Request, _ time.Time) (string, func(fleet.Outcome, time.Time), bool) {
	best := slices.MaxFunc(p.ids, func(a, b string) int {
		freeA, freeB := p.inFlight[a] < p.slots, p.inFlight[b] < p.slots
		if freeA != freeB {
			if freeA {
				return 1
			}
			return -1
		}
		if fleet.Score(req.Object, a) > fleet.Score(req.Object, b) {
			return 1
		}
		return -1
	})
	return p.pick(best)
}

// placementPolicy chooses with the product's own place.Chooser.
type placementPolicy struct{ chooser *place.Chooser }

func newPlacement(sim *simulation, region string) Policy {
	f := fleet.New(zerolog.Nop(), fleet.SingleHost{})
	for _, t := range sim.targets {
		f.Upsert(fleet.Entry{
			ID: t.id, Service: serviceName, Addr: t.id, FailureDomain: t.region, Region: t.region, Slots: t.spec.Slots, Born: 1, Sequence: 1,
		}, sim.now)
		if t.region != region {
			f.RecordDialTime(t.id, 2*millis(sim.file.RegionOneWayMS))
		}
	}
	return placementPolicy{place.New(f, place.Options{
		Region: region, FailureDomain: region, Costs: place.Costs{CrossRegion: crossRegionCost},
	})}
}

// crossRegionCost is the cost of a kilobyte sent to another region, expressed as time.
const crossRegionCost = 10 * time.Millisecond

// Choose implements Policy.
func (p placementPolicy) Choose(req place.Request, now time.Time) (string, func(fleet.Outcome, time.Time), bool) {
	choice, err := p.chooser.Choose(req, now)
	if err != nil {
		return "", nil, false
	}
	done := func(o fleet.Outcome, now time.Time) { p.chooser.Done(choice, req.Route, o, responseBytes, now) }
	return choice.ID, done, true
}

// route returns the product's route for the requests of a kind.
func (k *Kind) route() *routes.Route {
	return &routes.Route{
		Name: k.Name, Kind: "safe", Idempotent: true, Affinity: true, Attempts: 2, TopPriority: true,
		Objective: millis(k.ObjectiveMS), Services: []routes.WeightedService{{Service: serviceName, Weight: 1}},
	}
}
