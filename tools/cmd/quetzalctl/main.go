// Command quetzalctl is the command-line tool for operators and for experiments.
package main

import (
	"os"

	"quetzalknot/tools/cli"
)

func main() { os.Exit(cli.Main()) }
