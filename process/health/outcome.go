// Package health detects unhealthy and slow targets by outlier ejection. It uses the
// observations of this host: run times, shed responses and failures. The targets' own
// reports have less weight.
//
// outcome.go defines the outcome of an attempt, state.go holds the state of one target,
// outliers.go compares the targets of a service, probe.go schedules probes of ejected
// targets, tracker.go is the interface for routing, and class.go compares run times with
// declared classes.
package health

import (
	"time"

	"quetzalknot/verdict"
)

// Outcome is the result of one attempt at a target.
type Outcome struct {
	// Verdict says whether the target ran the request.
	Verdict verdict.Verdict
	// Shed is true when the target rejected the request with the declared shed response.
	Shed bool
	// Failed is true when the exchange failed: no connection or an incomplete response.
	Failed bool
	// Cancelled is true when this host abandoned the attempt, so that it does not count
	// for or against the target.
	Cancelled bool
	// RunTime is the time from sending the request to receiving the header of the response;
	// 0 means unknown.
	RunTime time.Duration
}
