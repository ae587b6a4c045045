package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/schollz/progressbar/v3"
)

const (
	// FullBlocks is the number of blocks at the design size.
	FullBlocks = 3_100_000
	// structureBlocks is the number of blocks at which structures are compared.
	structureBlocks = 1_000_000
	// structureClients is the number of look-ups that each structure answers.
	structureClients = 200_000
)

// Options say what to measure.
type Options struct {
	// Blocks is the number of blocks of the largest table. 0 means FullBlocks.
	Blocks int
	// Only limits the measurement to these slopes. Empty means all, with the swap.
	Only []string
	// Structures compares structures for the block table as well, which takes long.
	Structures bool
	// Progress receives what is being measured; Terminal draws a bar.
	Progress io.Writer
	Terminal bool
}

// Result is everything that was measured.
type Result struct {
	Blocks     int
	Slopes     []*Slope
	Swap       *Swap
	Structures []StructureFigures
}

// Slope returns a slope by its key, or nil.
func (r *Result) Slope(key string) *Slope {
	for _, s := range r.Slopes {
		if s.Key == key {
			return s
		}
	}
	return nil
}

// Run measures.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Blocks == 0 {
		o.Blocks = FullBlocks
	}
	todo := allSeries(o.Blocks)
	if len(o.Only) > 0 {
		todo = slices.DeleteFunc(todo, func(s series) bool { return !slices.Contains(o.Only, s.key) })
	}
	p := newProgress(o, todo)
	out := &Result{Blocks: o.Blocks}
	for _, s := range todo {
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
		if out.Swap, err = MeasureSwap(ctx, o.Blocks); err != nil {
			return nil, err
		}
	}
	if o.Structures {
		p.begin("Structures for the block table")
		blocks := Blocks(min(o.Blocks, structureBlocks), 1)
		out.Structures = MeasureStructures(blocks, Clients(blocks, structureClients, 1))
	}
	p.end()
	return out, nil
}

// progress shows what is being measured: a bar on a terminal, lines elsewhere.
type progress struct {
	out io.Writer
	bar *progressbar.ProgressBar
}

func newProgress(o Options, todo []series) *progress {
	steps := 0
	for _, s := range todo {
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
	_, _ = fmt.Fprintln(p.out, title) // progress is for a reader who may be gone
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
