// Package report writes the outcome of an experiment as Markdown tables and SVG plots.
package report

import (
	"fmt"
	"io"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"

	"quetzalknot/tools/lab/experiment"
	"quetzalknot/tools/lab/load"
)

// Markdown writes the tables of an outcome. The command is the command line that
// reproduces the experiment.
func Markdown(w io.Writer, out *experiment.Outcome, command string) error {
	f := out.File
	_, err := fmt.Fprintf(w, "# %s\n\nDeployment %s, seed %d, %d x %.0f s per row (first %.0f s left out of latencies).\nMade by `%s`.\n",
		f.Name, f.Deployment, f.Seed, f.Repeats, f.SegmentSeconds, f.WarmupSeconds, command)
	if err != nil {
		return err
	}
	for i := range f.Variants {
		if _, err := fmt.Fprintf(w, "\n## %s\n\n", f.Variants[i].Name); err != nil {
			return err
		}
		if err := writeLatencies(w, out, &f.Variants[i]); err != nil {
			return err
		}
	}
	return writeRatios(w, out)
}

func newTable(w io.Writer) *tablewriter.Table {
	return tablewriter.NewTable(w, tablewriter.WithRenderer(renderer.NewMarkdown()), tablewriter.WithHeaderAutoFormat(tw.Off))
}

// writeLatencies writes one row for each policy and kind of a variant.
func writeLatencies(w io.Writer, out *experiment.Outcome, v *experiment.Variant) error {
	table := newTable(w)
	table.Header("policy", "kind", "sent", "ran", "not-run", "may-have-run", "broken", "p50 ms", "p99 ms", "p99.9 ms", "shed", "over slots", "long share")
	for _, policy := range out.File.Policies {
		seg := out.Segment(policy, v.Name)
		if seg == nil {
			continue
		}
		for _, r := range seg.Results {
			if err := table.Append(latencyRow(seg, r)); err != nil {
				return err
			}
		}
	}
	return table.Render()
}

func latencyRow(seg *experiment.Segment, r *load.Result) []any {
	return []any{
		seg.Policy, r.Kind, r.Sent, r.Ran, r.NotRun, r.MayHaveRun, r.Violations(),
		millis(r, 50), millis(r, 99), millis(r, 99.9), seg.Shed, seg.OverSlots, fmt.Sprintf("%.2f", seg.LongPeakShare),
	}
}

func millis(r *load.Result, percentile float64) string {
	return fmt.Sprintf("%.1f", r.PercentileMS(percentile))
}

// writeRatios writes the ratio of the judged kind's p99 latency to that of the base
// variant, for each variant and policy.
func writeRatios(w io.Writer, out *experiment.Outcome) error {
	if _, err := fmt.Fprintf(w, "\n## Ratios of p99\n\n"); err != nil {
		return err
	}
	table := newTable(w)
	table.Header("policy", "variant", "against", "kind", "p99 ms", "base p99 ms", "ratio", "bound", "met")
	for i := range out.File.Variants {
		v := &out.File.Variants[i]
		for _, policy := range out.File.Policies {
			row := ratioRow(out, v, policy)
			if row == nil {
				continue
			}
			if err := table.Append(row); err != nil {
				return err
			}
		}
	}
	return table.Render()
}

// ratioRow returns the row of a variant and policy, or nil when it has no base to
// compare with.
func ratioRow(out *experiment.Outcome, v *experiment.Variant, policy string) []any {
	seg, base := out.Segment(policy, v.Name), out.Segment(policy, v.BaseVariant)
	if seg == nil || base == nil {
		return nil
	}
	judged, baseline := seg.Result(v.JudgedKind), base.Result(v.JudgedKind)
	if judged == nil || baseline == nil {
		return nil
	}
	ratio := judged.PercentileMS(99) / baseline.PercentileMS(99)
	met := "no"
	if ratio <= v.MaxRatio {
		met = "yes"
	}
	return []any{
		policy, v.Name, v.BaseVariant, v.JudgedKind, millis(judged, 99), millis(baseline, 99),
		fmt.Sprintf("%.2f", ratio), fmt.Sprintf("%.1f", v.MaxRatio), met,
	}
}
