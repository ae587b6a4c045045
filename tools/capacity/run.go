package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/schollz/progressbar/v3"
)

const (
	// DesignBlocks is the number of blocks at the design size.
	DesignBlocks = 3_100_000
	// structureBlocks is the number of blocks for the comparison of data structures.
	structureBlocks = 1_000_000
	// structureLookups is the number of look-ups for each data structure.
	structureLookups = 200_000
)

// Options select the measurements.
type Options struct {
	// Blocks is the number of blocks of the largest table. 0 means DesignBlocks.
	Blocks int
	// Only limits the measurements to the slopes with these keys. Empty means all slopes
	// and the full rebuild.
	Only []string
	// Structures also compares data structures for the block table, which takes long.
	Structures bool
	// Progress receives the titles of the measurements, or a progress bar if Terminal is
	// set.
	Progress io.Writer
	Terminal bool
}

// Result holds all measurements.
type Result struct {
	Blocks     int
	Slopes     []*Slope
	Rebuild    *RebuildCost
	Structures []StructureCosts
}

// Slope returns the slope with the given key, or nil.
func (r *Result) Slope(key string) *Slope {
	for _, s := range r.Slopes {
		if s.Key == key {
			return s
		}
	}
	return nil
}

// Run takes the measurements that the options select.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Blocks == 0 {
		o.Blocks = DesignBlocks
	}
	selected := allSeries(o.Blocks)
	if len(o.Only) > 0 {
		selected = slices.DeleteFunc(selected, func(s series) bool { return !slices.Contains(o.Only, s.key) })
	}
	p := newProgress(o, selected)
	out := &Result{Blocks: o.Blocks}
	for _, s := range selected {
		p.begin(s.title)
		slope, err := s.run(ctx, p.step)
		if err != nil {
			return nil, err
		}
		out.Slopes = append(out.Slopes, slope)
	}
	if len(o.Only) == 0 {
		p.begin("Full rebuild while look-ups go on")
		var err error
		if out.Rebuild, err = MeasureRebuild(ctx, o.Blocks); err != nil {
			return nil, err
		}
	}
	if o.Structures {
		p.begin("Structures for the block table")
		blocks := Blocks(min(o.Blocks, structureBlocks), 1)
		out.Structures = MeasureStructures(blocks, ClientAddrs(blocks, structureLookups, 1))
	}
	p.end()
	return out, nil
}

// progress shows the current measurement: as a bar on a terminal, else as lines.
type progress struct {
	out io.Writer
	bar *progressbar.ProgressBar
}

func newProgress(o Options, selected []series) *progress {
	steps := 0
	for _, s := range selected {
		steps += len(s.sizes)
	}
	p := &progress{out: o.Progress}
	if o.Terminal {
		p.bar = progressbar.NewOptions(steps, progressbar.OptionSetWriter(o.Progress), progressbar.OptionShowCount(), progressbar.OptionSetElapsedTime(true))
	}
	return p
}

func (p *progress) begin(title string) {
	if p.bar != nil {
		p.bar.Describe(title)
		return
	}
	_, _ = fmt.Fprintln(p.out, title) // a failure to show progress is ignored
}

func (p *progress) step() {
	if p.bar != nil {
		_ = p.bar.Add(1)
	}
}

func (p *progress) end() {
	if p.bar != nil {
		_ = p.bar.Finish()
		_, _ = fmt.Fprintln(p.out)
	}
}
