// Package cli is the command line of quetzalctl.
package cli

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"quetzalknot"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
)

const description = `Submits and checks change tickets, shows the state of the system, and runs experiments.

Exit codes: 0 done, 1 failed or refused, 2 bad input or usage.`

type root struct {
	Ticket  ticketCommands   `cmd:"" help:"Check, submit and show change tickets."`
	Status  statusCommand    `cmd:"" help:"Show the state of a host."`
	Lab     labCommands      `cmd:"" help:"Stand-ins, load and experiments."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// Main runs the command line and returns its exit code.
func Main() int {
	var r root
	ctx := kong.Parse(&r, kong.Name("quetzalctl"), kong.Description(description), kong.Vars{"version": quetzalknot.Version})
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "quetzalctl:", err)
		return exitFailure
	}
	return exitOK
}
