package cli

import (
	"fmt"

	"quetzalknot/process/settings"
)

type configCommands struct {
	Check configCheck `cmd:"" help:"Check settings files of quetzald without starting anything."`
}

type configCheck struct {
	Files []string `arg:"" type:"existingfile" help:"Settings in TOML."`
}

// Run implements the command.
func (c *configCheck) Run() error {
	for _, file := range c.Files {
		if _, err := settings.Load(file); err != nil {
			return badInput{err}
		}
		fmt.Printf("%s is well formed\n", file)
	}
	return nil
}
