package cli

import (
	"fmt"
	"os"

	"github.com/mattn/go-isatty"

	"quetzalknot/tools/capacity"
)

type labCapacity struct {
	Page       string   `type:"path" help:"Page whose tables are replaced, such as docs/CAPACITY.md. Without it they go to standard output."`
	Plots      string   `type:"path" help:"Folder for one SVG per slope."`
	Blocks     int      `default:"0" help:"Client blocks of the largest table. 0 means the design size."`
	Only       []string `help:"Measure only these slopes."`
	Structures bool     `help:"Compare structures for the block table as well."`
}

// Run implements the command.
func (c *labCapacity) Run() error {
	ctx, stop := signalContext()
	defer stop()
	out, err := capacity.Run(ctx, capacity.Options{
		Blocks: c.Blocks, Only: c.Only, Structures: c.Structures,
		Progress: os.Stderr, Terminal: isatty.IsTerminal(os.Stderr.Fd()),
	})
	if err != nil {
		return err
	}
	if c.Plots != "" {
		if err := out.WritePlots(c.Plots); err != nil {
			return err
		}
	}
	if c.Page != "" {
		return out.WritePage(c.Page)
	}
	for _, section := range out.Sections() {
		fmt.Printf("## %s\n\n%s\n", section.Title, section.Body)
	}
	return nil
}
