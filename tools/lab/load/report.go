package load

import (
	"quetzalknot/tools/standin/targetd"
	"quetzalknot/verdict"
)

// Report holds the results of one run and the outcome of each request.
type Report struct {
	// Results are in the order of the kinds.
	Results  []*Result
	outcomes []outcome
}

func (t *tally) report(kinds []Kind) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := &Report{outcomes: t.outcomes}
	for _, k := range kinds {
		report.Results = append(report.Results, t.results[k.Name])
	}
	return report
}

// Result returns the result of a kind, or nil.
func (r *Report) Result(kind string) *Result {
	for _, res := range r.Results {
		if res.Kind == kind {
			return res
		}
	}
	return nil
}

// Reconcile compares the verdicts that callers received with the requests that the
// targets ran, and counts lost requests, duplicate runs and false not-run verdicts.
func (r *Report) Reconcile(targets []*targetd.Server) {
	runs, keyRuns := sumRuns(targets)
	for i := range r.outcomes {
		o := &r.outcomes[i]
		res := r.Result(o.scheduled.kind.Name)
		ran := runs[o.id]
		if o.answered && o.verdict == verdict.Ran && ran == 0 {
			res.Lost++
		}
		if o.answered && o.verdict == verdict.NotRun && ran > 0 {
			res.FalseNotRun++
		}
		if (!o.scheduled.kind.idempotent() && ran > 1) || keyRuns[o.key] > 1 {
			res.RanTwice++
		}
	}
}

// sumRuns sums the runs of all targets by request id and by key.
func sumRuns(targets []*targetd.Server) (runs, keyRuns map[string]int) {
	runs, keyRuns = make(map[string]int), make(map[string]int)
	for _, s := range targets {
		record := s.Record()
		for id, n := range record.Runs {
			runs[id] += n
		}
		for key, n := range record.KeyRuns {
			keyRuns[key] += n
		}
	}
	return runs, keyRuns
}

// Violations returns the number of guarantee violations over all kinds.
func (r *Report) Violations() int {
	violations := 0
	for _, res := range r.Results {
		violations += res.Violations()
	}
	return violations
}
