package demo

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"

	"quetzalknot/tools/lab/load"
)

// writeSummary writes a table of the outcomes and returns an error when a guarantee
// was violated.
func (d *demo) writeSummary(out io.Writer, report *load.Report) error {
	table := tablewriter.NewTable(out, tablewriter.WithHeaderAutoFormat(tw.Off))
	table.Header("kind", "sent", "ran", "not-run", "may-have-run", "lost", "doubled", "crossed", "cut", "p50 ms", "p99 ms")
	for _, r := range report.Results {
		err := table.Append(r.Kind, r.Sent, r.Ran, r.NotRun, r.MayHaveRun, r.Lost+r.Unanswered, r.RanTwice, r.Mismatched, r.Truncated,
			fmt.Sprintf("%.1f", r.PercentileMS(50)), fmt.Sprintf("%.1f", r.PercentileMS(99)))
		if err != nil {
			return err
		}
	}
	if err := table.Render(); err != nil {
		return err
	}
	return d.checkResult(out, report)
}

// checkResult checks the guarantees on requests, the cap of the shift and the time
// that the drain took.
func (d *demo) checkResult(out io.Writer, report *load.Report) error {
	share := d.progress.movedShare()
	record := d.drainedRecord()
	drainDelay := record.LastStart.Sub(d.drainAt)
	fmt.Fprintf(out, "moved share %.1f%%, cap %.0f%%; %s started its last request %d ms after its drain was in force\n",
		share*100, shiftShare*100, drainedTarget, drainDelay.Milliseconds())
	var violations []string
	if n := report.Violations(); n > 0 {
		violations = append(violations, fmt.Sprintf("%d requests were lost, doubled, crossed, cut, unanswered or given a wrong verdict", n))
	}
	if share > shiftShare {
		violations = append(violations, fmt.Sprintf("the moved share %.4f exceeds its cap %.2f", share, shiftShare))
	}
	if drainDelay > maxDrainDelay {
		violations = append(violations, fmt.Sprintf("%s started a request %s after its drain", drainedTarget, drainDelay))
	}
	if len(violations) > 0 {
		return errors.Newf("guarantees violated: %q", violations)
	}
	fmt.Fprintln(out, "nothing was lost, doubled, crossed, cut or over its cap")
	return nil
}
