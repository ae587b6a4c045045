package demo

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"

	"quetzalknot/tools/lab/load"
)

// summary writes what became of the requests, and returns an error when a
// promise was broken.
func (d *demo) summary(out io.Writer, report *load.Report) error {
	table := tablewriter.NewTable(out, tablewriter.WithHeaderAutoFormat(tw.Off))
	table.Header("kind", "sent", "ran", "not-run", "may-have-run", "lost", "doubled", "crossed", "cut", "p50 ms", "p99 ms")
	for _, r := range report.Results {
		err := table.Append(r.Kind, r.Sent, r.Ran, r.NotRun, r.MayHaveRun, r.Lost+r.Unanswered, r.Doubled, r.Crossed, r.Cut,
			fmt.Sprintf("%.1f", r.PercentileMS(50)), fmt.Sprintf("%.1f", r.PercentileMS(99)))
		if err != nil {
			return err
		}
	}
	if err := table.Render(); err != nil {
		return err
	}
	return d.verdict(out, report)
}

func (d *demo) verdict(out io.Writer, report *load.Report) error {
	share := d.progress.movedShare()
	record := d.drainedRecord()
	lateWork := record.LastBegin.Sub(d.drainAt)
	fmt.Fprintf(out, "moved share %.1f%%, cap %.0f%%; last new work at %s %d ms after its drain was in force\n",
		share*100, shiftShare*100, drained, lateWork.Milliseconds())
	var broken []string
	if n := report.Broken(); n > 0 {
		broken = append(broken, fmt.Sprintf("%d requests were lost, doubled, crossed, cut or told a false verdict", n))
	}
	if share > shiftShare {
		broken = append(broken, fmt.Sprintf("the moved share %.4f is over its cap %.2f", share, shiftShare))
	}
	if lateWork > drainBound {
		broken = append(broken, fmt.Sprintf("%s got new work %s after its drain", drained, lateWork))
	}
	if len(broken) > 0 {
		return errors.Newf("broken promises: %q", broken)
	}
	fmt.Fprintln(out, "nothing was lost, doubled, crossed, cut or over its cap")
	return nil
}
