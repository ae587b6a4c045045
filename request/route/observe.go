package route

import (
	"expvar"

	"quetzalknot/process/health"
	"quetzalknot/process/metrics"
	"quetzalknot/request"
)

// counters are the metrics of the router.
type counters struct {
	chosen     *expvar.Int
	noFreeSlot *expvar.Int
	probes     *expvar.Int
	sheds      *expvar.Int
	ejected    *expvar.Int
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		chosen:     set.Counter("route.chosen_total"),
		noFreeSlot: set.Counter("route.no_room_total"),
		probes:     set.Counter("route.probes_total"),
		sheds:      set.Counter("route.sheds_total"),
		ejected:    set.Counter("route.targets_set_aside_total"),
	}
}

// observeClass counts shed attempts and logs a class whose run times contradict its
// declaration.
func (r *Router) observeClass(info *request.Info, o health.Outcome) {
	if o.Shed {
		r.counters.sheds.Add(1)
	}
	r.logChanges()
	if o.RunTime <= 0 || o.Failed || o.Cancelled || o.Shed {
		return
	}
	class := health.Class{
		Service: info.Service.Name, Name: info.Class.Name, Long: info.Class.Long, ExpectedMS: info.Class.ExpectedMS,
	}
	finding, found := r.classes.Observe(class, o.RunTime)
	if !found {
		return
	}
	evMisdeclared.Log(r.log).Str("request", info.ID).Str("service", class.Service).Str("class", class.Name).
		Bool("long", class.Long).Dur("run_ms", finding.RunTime).Dur("compared_ms", finding.Reference).
		Str("fault", finding.Fault).Send()
}

// logChanges logs and counts the targets that were ejected or restored.
func (r *Router) logChanges() {
	for _, c := range r.health.Changes() {
		event := evRestored
		if c.Phase == health.Ejected {
			event = evEjected
			r.counters.ejected.Add(1)
		}
		event.Log(r.log).Str("service", c.Target.Service).Str("target", c.Target.Name).
			Dur("latency_ms", c.Latency).Dur("median_ms", c.Median).Float64("failure_rate", c.FailureRate).Send()
	}
}
