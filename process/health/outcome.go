// Package health judges targets by what this host observes of them: run times,
// refusals, failures and, with less trust, the targets' own reports.
//
// outcome.go is what an attempt showed, target.go the state of one target,
// judge.go compares the targets of a service, poll.go reads reports.
package health

import (
	"time"

	"quetzalknot/verdict"
)

// Outcome is what one attempt showed about its target.
type Outcome struct {
	// Verdict says whether the target ran the request.
	Verdict verdict.Verdict
	// Shed is true when the target refused the request in the declared form.
	Shed bool
	// Failed is true when the exchange broke: no connection, no whole answer.
	Failed bool
	// Cancelled is true when this host gave the attempt up. It says nothing about the target.
	Cancelled bool
	// RunTime is the time from sending the request to the header of the answer.
	// 0 means unknown.
	RunTime time.Duration
}
