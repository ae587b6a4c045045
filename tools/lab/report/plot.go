package report

import (
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"quetzalknot/tools/lab/experiment"
	"quetzalknot/tools/lab/load"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4.5 * vg.Inch
)

// Plots writes one SVG of the latency distribution for each variant and kind, and
// one of the slots in use for each variant, into the folder. It returns the file names.
func Plots(folder string, out *experiment.Outcome) ([]string, error) {
	var files []string
	for i := range out.File.Variants {
		v := &out.File.Variants[i]
		for _, kind := range v.Kinds {
			name, err := latencyPlot(folder, out, v.Name, kind)
			if err != nil {
				return nil, err
			}
			files = append(files, name)
		}
		name, err := slotPlot(folder, out, v.Name)
		if err != nil {
			return nil, err
		}
		files = append(files, name)
	}
	return files, nil
}

func latencyPlot(folder string, out *experiment.Outcome, variant, kind string) (string, error) {
	p := plot.New()
	p.Title.Text = out.File.Name + ": " + kind + " in " + variant
	p.X.Label.Text = "latency, ms"
	p.Y.Label.Text = "share of requests"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{}
	var lines []any
	for _, policy := range out.File.Policies {
		seg := out.Segment(policy, variant)
		if seg == nil || seg.Result(kind) == nil {
			continue
		}
		lines = append(lines, policy, distribution(seg.Result(kind)))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return "", err
	}
	return save(p, folder, out.File.Name, variant, kind)
}

// distribution returns the cumulative distribution of the latency in milliseconds.
func distribution(r *load.Result) plotter.XYs {
	var points plotter.XYs
	for _, bracket := range r.Histogram.CumulativeDistribution() {
		ms := float64(bracket.ValueAt) / 1000
		if ms > 0 {
			points = append(points, plotter.XY{X: ms, Y: bracket.Quantile / 100})
		}
	}
	return points
}

func slotPlot(folder string, out *experiment.Outcome, variant string) (string, error) {
	p := plot.New()
	p.Title.Text = out.File.Name + ": busiest target in " + variant
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "share of its slots in use"
	p.Y.Min = 0
	var lines []any
	for _, policy := range out.File.Policies {
		if seg := out.Segment(policy, variant); seg != nil {
			lines = append(lines, policy, busiest(seg))
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return "", err
	}
	return save(p, folder, out.File.Name, variant, "slots")
}

func busiest(seg *experiment.Segment) plotter.XYs {
	var points plotter.XYs
	for _, s := range seg.Samples {
		points = append(points, plotter.XY{X: s.AtSeconds, Y: s.Busiest})
	}
	return points
}

func save(p *plot.Plot, folder string, parts ...string) (string, error) {
	name := strings.ReplaceAll(strings.Join(parts, "-"), " ", "-") + ".svg"
	return name, p.Save(plotWidth, plotHeight, filepath.Join(folder, name))
}
