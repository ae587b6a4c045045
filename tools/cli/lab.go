package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/mattn/go-isatty"

	"quetzalknot/tools/lab/demo"
	"quetzalknot/tools/lab/experiment"
	"quetzalknot/tools/lab/placement"
	"quetzalknot/tools/lab/report"
)

type labCommands struct {
	Platform   labPlatform   `cmd:"" help:"Run a stand-in for the platform."`
	Target     labTarget     `cmd:"" help:"Run a stand-in for a target."`
	Demo       labDemo       `cmd:"" help:"Show a whole deployment at work in one process."`
	Replay     labReplay     `cmd:"" help:"Replay recorded traces against stated outcomes."`
	Load       labLoad       `cmd:"" help:"Send open-loop load to running entry hosts."`
	Experiment labExperiment `cmd:"" help:"Compare policies under load and faults, and write a report."`
	Placement  labPlacement  `cmd:"" help:"Compare policies that choose targets, on an emulated clock."`
	Table      labTable      `cmd:"" help:"Make a stored block table of generated blocks."`
	Capacity   labCapacity   `cmd:"" help:"Measure what a host spends at the design size, and write docs/CAPACITY.md."`
	Spread     labSpread     `cmd:"" help:"Measure the spread of tickets and members between hosts."`
	Identity   labIdentity   `cmd:"" help:"Write a CA, certificate and key for trials on one machine."`
}

type labExperiment struct {
	File     string   `arg:"" type:"existingfile" help:"Experiment in TOML."`
	Out      string   `type:"path" help:"Folder for the report and its plots. Without it the tables go to standard output."`
	Logs     string   `type:"path" help:"File for the hosts' log lines."`
	Policies []string `help:"Run only these policies."`
	Variants []string `help:"Run only these variants."`
}

// Run implements the command.
func (c *labExperiment) Run() error {
	ctx, stop := signalContext()
	defer stop()
	f, err := experiment.Load(c.File)
	if err != nil {
		return err
	}
	if err := f.Select(c.Policies, c.Variants); err != nil {
		return err
	}
	logs, closeLogs, err := logFile(c.Logs)
	if err != nil {
		return err
	}
	defer closeLogs()
	out, err := experiment.Run(ctx, f, os.Stderr, logs)
	if err != nil {
		return err
	}
	return c.write(out)
}

func logFile(path string) (io.Writer, func(), error) {
	if path == "" {
		return io.Discard, func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	return file, func() { _ = file.Close() }, nil
}

func (c *labExperiment) write(out *experiment.Outcome) (err error) {
	command := "quetzalctl lab experiment " + filepath.Join("experiments", filepath.Base(c.File))
	if c.Out == "" {
		return report.Markdown(os.Stdout, out, command)
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(c.Out, out.File.Name+".md"))
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	if err := report.Markdown(file, out, command); err != nil {
		return err
	}
	plots, err := report.Plots(c.Out, out)
	for _, name := range plots {
		fmt.Fprintf(file, "\n![%s](%s)\n", name, name)
	}
	return err
}

type labPlacement struct {
	File string `arg:"" type:"existingfile" help:"Experiment in TOML, such as experiments/placement.toml."`
}

// Run implements the command.
func (c *labPlacement) Run() error {
	f, err := placement.Load(c.File)
	if err != nil {
		return err
	}
	return placement.Write(os.Stdout, placement.Run(f))
}

type labDemo struct {
	Logs string `type:"path" help:"File for the hosts' log lines."`
}

// Run implements the command.
func (c *labDemo) Run() error {
	ctx, stop := signalContext()
	defer stop()
	logs, closeLogs, err := logFile(c.Logs)
	if err != nil {
		return err
	}
	defer closeLogs()
	return demo.Run(ctx, os.Stdout, isatty.IsTerminal(os.Stdout.Fd()), logs)
}
