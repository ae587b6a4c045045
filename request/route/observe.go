package route

import (
	"expvar"

	"quetzalknot/process/health"
	"quetzalknot/process/metrics"
	"quetzalknot/request"
)

// counters are the figures of the decisions.
type counters struct {
	chosen *expvar.Int
	noRoom *expvar.Int
	probes *expvar.Int
	sheds  *expvar.Int
	aside  *expvar.Int
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		chosen: set.Counter("route.chosen_total"),
		noRoom: set.Counter("route.no_room_total"),
		probes: set.Counter("route.probes_total"),
		sheds:  set.Counter("route.sheds_total"),
		aside:  set.Counter("route.targets_set_aside_total"),
	}
}

// observeClass compares a run time with what the request's class declares.
func (r *Router) observeClass(info *request.Info, o health.Outcome) {
	if o.Shed {
		r.chosen.sheds.Add(1)
	}
	r.logChanges()
	if o.RunTime <= 0 || o.Failed || o.Cancelled || o.Shed {
		return
	}
	class := health.Class{
		Service: info.Service.Name, Name: info.Class.Name, Long: info.Class.Long, ExpectedMS: info.Class.ExpectedMS,
	}
	finding, found := r.runs.Observe(class, o.RunTime)
	if !found {
		return
	}
	evClass.Log(r.log).Str("request", info.ID).Str("service", class.Service).Str("class", class.Name).
		Bool("long", class.Long).Dur("run_ms", finding.RunTime).Dur("compared_ms", finding.Compared).
		Str("fault", finding.Fault).Send()
}

func (r *Router) logChanges() {
	for _, c := range r.health.Changes() {
		event := evBack
		if c.Phase == health.SetAside {
			event = evAside
			r.chosen.aside.Add(1)
		}
		event.Log(r.log).Str("service", c.Target.Service).Str("target", c.Target.Name).
			Dur("latency_ms", c.Latency).Dur("median_ms", c.Median).Float64("failure_rate", c.Failures).Send()
	}
}
