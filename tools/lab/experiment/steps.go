package experiment

import (
	"slices"
	"time"

	"quetzalknot/tools/lab/cluster"
)

// step starts a fault (on) or ends it.
type step struct {
	at    time.Duration
	fault cluster.Fault
	on    bool
}

// steps returns the starts and ends of the faults in chronological order.
func steps(faults []Fault) []step {
	var list []step
	for _, f := range faults {
		list = append(list, step{at: seconds(f.AtSeconds), fault: f.Fault, on: true})
		if f.UntilSeconds > 0 {
			list = append(list, step{at: seconds(f.UntilSeconds), fault: f.Fault})
		}
	}
	slices.SortStableFunc(list, func(a, b step) int { return int(a.at - b.at) })
	return list
}
