// Package cli implements the command line of quetzalctl.
package cli

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"quetzalknot"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitBadInput = 2
)

const description = `Submits and checks change tickets, shows the state of the system, explains requests, and runs experiments.

Commands that talk to an entry host take --api or the variable QUETZAL_API.

Exit codes: 0 done, 1 failed or refused, 2 bad input or usage.`

type root struct {
	Ticket  ticketCommands   `cmd:"" help:"Check, submit, show, list and compare change tickets."`
	Status  statusCommand    `cmd:"" help:"Show the state of a host."`
	Soak    soakCommand      `cmd:"" help:"Run the real programs under faults and check the promises."`
	Explain explainCommand   `cmd:"" help:"Tell the story of a request: candidates, choice, attempts, verdict."`
	Config  configCommands   `cmd:"" help:"Check settings files."`
	Table   tableCommands    `cmd:"" help:"Make stored block tables."`
	Lab     labCommands      `cmd:"" help:"Stand-ins, demo, load and experiments."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// badInput marks an error in the user's input; Main returns exitBadInput for it.
type badInput struct{ error }

// Main runs the command line and returns its exit code.
func Main() int {
	var r root
	parser := kong.Must(&r, kong.Name("quetzalctl"), kong.Description(description),
		kong.Vars{"version": quetzalknot.Version}, kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "quetzalctl: %s (see quetzalctl --help)\n", err)
		return exitBadInput
	}
	err = ctx.Run()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "quetzalctl:", err)
	var bad badInput
	if errors.As(err, &bad) {
		return exitBadInput
	}
	return exitFailure
}
