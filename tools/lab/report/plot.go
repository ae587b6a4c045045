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

// Plots writes SVG files into the folder: the latency distribution for each variant
// and kind, and the slots in use for each variant. It returns the file names.
func Plots(folder string, out *experiment.Outcome) ([]string, error) {
	var files []string
	for i := range out.File.Variants {
		v := &out.File.Variants[i]
		for _, kind := range v.Kinds {
			name, err := plotLatency(folder, out, v.Name, kind)
			if err != nil {
				return nil, err
			}
			files = append(files, name)
		}
		name, err := plotSlots(folder, out, v.Name)
		if err != nil {
			return nil, err
		}
		files = append(files, name)
	}
	return files, nil
}

func plotLatency(folder string, out *experiment.Outcome, variant, kind string) (string, error) {
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
		lines = append(lines, policy, latencyDistribution(seg.Result(kind)))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return "", err
	}
	return save(p, folder, out.File.Name, variant, kind)
}

// latencyDistribution returns the cumulative distribution of the latency, with
// milliseconds on the x axis and the share of requests on the y axis.
func latencyDistribution(r *load.Result) plotter.XYs {
	var points plotter.XYs
	for _, bracket := range r.Histogram.CumulativeDistribution() {
		ms := float64(bracket.ValueAt) / 1000
		if ms > 0 {
			points = append(points, plotter.XY{X: ms, Y: bracket.Quantile / 100})
		}
	}
	return points
}

func plotSlots(folder string, out *experiment.Outcome, variant string) (string, error) {
	p := plot.New()
	p.Title.Text = out.File.Name + ": busiest target in " + variant
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "share of its slots in use"
	p.Y.Min = 0
	var lines []any
	for _, policy := range out.File.Policies {
		if seg := out.Segment(policy, variant); seg != nil {
			lines = append(lines, policy, slotUsePoints(seg))
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return "", err
	}
	return save(p, folder, out.File.Name, variant, "slots")
}

// slotUsePoints returns the largest share of a target's slots in use over time.
func slotUsePoints(seg *experiment.Segment) plotter.XYs {
	var points plotter.XYs
	for _, s := range seg.Samples {
		points = append(points, plotter.XY{X: s.AtSeconds, Y: s.MaxSlotShare})
	}
	return points
}

// save writes the plot to a file named after the parts and returns its name.
func save(p *plot.Plot, folder string, parts ...string) (string, error) {
	name := strings.ReplaceAll(strings.Join(parts, "-"), " ", "-") + ".svg"
	return name, p.Save(plotWidth, plotHeight, filepath.Join(folder, name))
}
