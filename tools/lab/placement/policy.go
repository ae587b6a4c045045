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

// Policy chooses targets at one host.
type Policy interface {
	// Choose returns the target of a request, and what is to be called with the outcome.
	// It returns false when the request is not to be sent.
	Choose(ask place.Ask, now time.Time) (id string, done func(o fleet.Outcome, now time.Time), ok bool)
}

// policies makes the policy of a host, by name.
var policies = map[string]func(w *world, region string) Policy{
	"random":      newRandom,
	"two-choices": newTwoChoices,
	"rendezvous":  newRendezvous,
	"placement":   newPlacement,
}

// counted knows this host's requests at each target.
type counted struct {
	ids  []string
	open map[string]int
	rnd  *rand.Rand
}

func newCounted(w *world) *counted {
	c := &counted{open: make(map[string]int), rnd: w.rnd}
	for _, t := range w.targets {
		c.ids = append(c.ids, t.id)
	}
	return c
}

func (c *counted) send(id string) (string, func(fleet.Outcome, time.Time), bool) {
	c.open[id]++
	return id, func(fleet.Outcome, time.Time) { c.open[id]-- }, true
}

// random sends to any target.
type random struct{ *counted }

func newRandom(w *world, _ string) Policy { return random{newCounted(w)} }

// Choose implements Policy.
func (p random) Choose(place.Ask, time.Time) (string, func(fleet.Outcome, time.Time), bool) {
	return p.send(p.ids[p.rnd.IntN(len(p.ids))])
}

// twoChoices sends to the less used of two random targets.
type twoChoices struct{ *counted }

func newTwoChoices(w *world, _ string) Policy { return twoChoices{newCounted(w)} }

// Choose implements Policy.
func (p twoChoices) Choose(place.Ask, time.Time) (string, func(fleet.Outcome, time.Time), bool) {
	a, b := p.ids[p.rnd.IntN(len(p.ids))], p.ids[p.rnd.IntN(len(p.ids))]
	if p.open[b] < p.open[a] {
		a = b
	}
	return p.send(a)
}

// rendezvous sends to the first target of the object's order that has room for one more
// of this host's requests.
type rendezvous struct {
	*counted
	slots int
}

func newRendezvous(w *world, _ string) Policy {
	return rendezvous{counted: newCounted(w), slots: w.file.Target.Slots}
}

// Choose implements Policy.
func (p rendezvous) Choose(ask place.Ask, _ time.Time) (string, func(fleet.Outcome, time.Time), bool) {
	best := slices.MaxFunc(p.ids, func(a, b string) int {
		roomA, roomB := p.open[a] < p.slots, p.open[b] < p.slots
		if roomA != roomB {
			if roomA {
				return 1
			}
			return -1
		}
		if fleet.Score(ask.Object, a) > fleet.Score(ask.Object, b) {
			return 1
		}
		return -1
	})
	return p.send(best)
}

// placement is the product's own choice.
type placement struct{ chooser *place.Chooser }

func newPlacement(w *world, region string) Policy {
	f := fleet.New(zerolog.Nop(), func(string, int) bool { return true })
	for _, t := range w.targets {
		f.Upsert(fleet.Entry{
			ID: t.id, Service: serviceName, Addr: t.id, Zone: t.region, Region: t.region, Slots: t.spec.Slots, Born: 1, Sequence: 1,
		}, w.now)
		if t.region != region {
			f.Dialed(t.id, 2*millis(w.file.RegionMS))
		}
	}
	return placement{place.New(f, place.Options{
		Region: region, Domain: region, Costs: place.Costs{CrossRegion: crossRegionCost},
	})}
}

// crossRegionCost is the price of a kilobyte to another region, as time.
const crossRegionCost = 10 * time.Millisecond

// Choose implements Policy.
func (p placement) Choose(ask place.Ask, now time.Time) (string, func(fleet.Outcome, time.Time), bool) {
	choice, err := p.chooser.Choose(ask, now)
	if err != nil {
		return "", nil, false
	}
	done := func(o fleet.Outcome, now time.Time) { p.chooser.Done(choice, ask.Route, o, answerBytes, now) }
	return choice.ID, done, true
}

// route returns a kind's requests as the product knows them.
func (k *Kind) route() *routes.Route {
	return &routes.Route{
		Name: k.Name, Kind: "safe", Idempotent: true, Affinity: true, Attempts: 2, Urgent: true,
		Objective: millis(k.ObjectiveMS), Shares: []routes.Share{{Service: serviceName, Weight: 1}},
	}
}
