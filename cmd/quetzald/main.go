// Command quetzald runs one entry host of quetzalknot.
package main

import (
	"os"

	"quetzalknot/daemon"
)

func main() { os.Exit(daemon.Main()) }
