package cli

import (
	"context"
	"os"
	"time"

	"quetzalknot/tools/propagation"
)

type labSpread struct {
	Hosts   []int         `default:"7,50,200" help:"Numbers of hosts in one process."`
	Tickets int           `default:"5" help:"Tickets in each condition."`
	Idle    time.Duration `default:"15s" help:"How long the idle cost is measured."`
	Seed    uint64        `default:"1" help:"Seed of losses and choices."`
	Clear   bool          `help:"Leave TLS out."`
}

// Run implements the command.
func (c *labSpread) Run() error {
	opts := propagation.Options{Sizes: c.Hosts, Tickets: c.Tickets, Idle: c.Idle, Seed: c.Seed, DisableTLS: c.Clear}
	return propagation.Run(context.Background(), opts, os.Stdout)
}

type labIdentity struct {
	Dir string `arg:"" type:"existingdir" help:"Folder for ca.pem, cert.pem and key.pem."`
}

// Run implements the command.
func (c *labIdentity) Run() error { return propagation.WriteIdentity(c.Dir) }
