package capacity

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 3.5 * vg.Inch
)

// WritePlots writes one SVG file per slope to a folder.
func (r *Result) WritePlots(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, s := range r.Slopes {
		if err := s.plot(filepath.Join(folder, s.Key+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// plot writes an SVG file with the points and the fitted line.
func (s *Slope) plot(path string) error {
	p := plot.New()
	p.Title.Text = s.Title
	p.X.Label.Text = s.XUnit
	p.Y.Label.Text = s.YUnit
	points := make(plotter.XYs, len(s.X))
	for i := range s.X {
		points[i] = plotter.XY{X: s.X[i], Y: s.Y[i]}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	last := s.X[len(s.X)-1]
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.At(0)}, {X: last, Y: s.At(last)}})
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), scatter, line)
	return p.Save(plotWidth, plotHeight, path)
}
