// Command quetzalctl is the tool of operators and experimenters.
package main

import (
	"os"

	"quetzalknot/tools/cli"
)

func main() { os.Exit(cli.Main()) }
