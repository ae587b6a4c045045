package capacity

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
)

// Section is a generated part of the page, between two markers.
type Section struct {
	Name  string
	Title string
	Body  string
}

// Sections returns the parts of the page for which there are measurements.
func (r *Result) Sections() []Section {
	var all []Section
	if len(r.Slopes) > 0 {
		all = append(all, Section{"slopes", "Slopes", r.slopeTable()})
	}
	if r.Rebuild != nil {
		all = append(all, Section{"swap", "Full rebuild", r.Rebuild.table()})
	}
	if r.Structures != nil {
		all = append(all, Section{"structures", "Structures for the block table", structureTable(r.Structures)})
	}
	if m, err := newModel(r); err == nil {
		all = append(all, Section{"control", "Control of one host", m.controlTable()})
		all = append(all, Section{"work", "Work for callers", m.workTable()})
		all = append(all, Section{"day", "The day of faults", m.dayTable()})
	}
	return all
}

// WritePage replaces the text between the markers of each section in the file at path.
func (r *Result) WritePage(path string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for _, s := range r.Sections() {
		if page, err = replaceSection(page, s); err != nil {
			return errors.Wrap(err, path)
		}
	}
	return os.WriteFile(path, page, 0o644)
}

func replaceSection(page []byte, s Section) ([]byte, error) {
	begin := []byte("<!-- begin " + s.Name + " -->\n")
	end := []byte("<!-- end " + s.Name + " -->")
	from, to := bytes.Index(page, begin), bytes.Index(page, end)
	if from < 0 || to < from {
		return nil, errors.Newf("the markers of section %q are missing", s.Name)
	}
	var out bytes.Buffer
	out.Write(page[:from+len(begin)])
	out.WriteString("\n" + s.Body + "\n")
	out.Write(page[to:])
	return out.Bytes(), nil
}

// markdownTable returns a Markdown table, or the error text if it cannot be rendered.
func markdownTable(header []string, rows [][]string) string {
	var out strings.Builder
	t := tablewriter.NewTable(&out, tablewriter.WithRenderer(renderer.NewMarkdown()), tablewriter.WithHeaderAutoFormat(tw.Off), tablewriter.WithRowAutoWrap(tw.WrapNone))
	t.Header(header)
	for _, row := range rows {
		if err := t.Append(row); err != nil {
			return err.Error()
		}
	}
	if err := t.Render(); err != nil {
		return err.Error()
	}
	return out.String()
}

func (r *Result) slopeTable() string {
	var rows [][]string
	for _, s := range r.Slopes {
		last := len(s.X) - 1
		rows = append(rows, []string{
			fmt.Sprintf("[%s](plots/%s.svg)", s.Title, s.Key), s.XUnit,
			fmt.Sprintf("%.0f to %.0f", s.X[0], s.X[last]),
			fmt.Sprintf("%.4g %s", s.PerUnit, s.YUnit), fmt.Sprintf("%.4g %s", s.Base, s.YUnit),
			fmt.Sprintf("%.4g %s", s.Y[last], s.YUnit),
			fmt.Sprintf("%.1f %%", s.WorstResidual*100), fmt.Sprintf("%.4f", s.R2),
		})
	}
	return markdownTable([]string{"what", "per", "sizes", "slope", "base", "at the largest", "worst residual", "R²"}, rows)
}

func (r *RebuildCost) table() string {
	return markdownTable([]string{"figure", "value"}, [][]string{
		{"blocks", fmt.Sprint(r.Blocks)},
		{"memory of the Go runtime with one table in force", megabytes(r.Before)},
		{"peak while a second table is loaded and put in its place", megabytes(r.Peak)},
		{"memory afterwards", megabytes(r.After)},
		{"wall time of the rebuild", r.Load.Round(time.Millisecond).String()},
		{"look-ups without rebuild: count, p99.99, longest, over 1 ms", r.Idle.String()},
		{"look-ups during the rebuild: count, p99.99, longest, over 1 ms", r.During.String()},
	})
}

// String returns the fields in one line.
func (t LookupTimes) String() string {
	return fmt.Sprintf("%d, %v, %v, %d", t.Lookups, t.P9999, t.Max, t.OverLimit)
}

func megabytes(n int64) string { return fmt.Sprintf("%.1f MB", float64(n)/1e6) }

func structureTable(all []StructureCosts) string {
	var rows [][]string
	for _, c := range all {
		update := "no copy beside readers"
		if c.Update > 0 {
			update = c.Update.Round(100 * time.Nanosecond).String()
		}
		rows = append(rows, []string{c.Name, fmt.Sprint(c.Blocks), fmt.Sprintf("%.1f", c.BytesPerBlock),
			c.Build.Round(time.Millisecond).String(), c.Lookup.String(), update})
	}
	return markdownTable([]string{"structure", "blocks", "bytes per block", "build", "look-up", "update beside readers"}, rows)
}
