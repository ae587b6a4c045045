package cli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/tools/soak"
)

type soakCommand struct {
	Program string        `name:"quetzald" default:"bin/quetzald" type:"path" help:"Path of quetzald."`
	Other   string        `type:"path" help:"Path of another build of quetzald. Each start of a host runs one of the two."`
	Seed    uint64        `default:"1" help:"Seed of the first run."`
	Runs    uint64        `default:"1" help:"Number of runs, with a seed more each."`
	Length  time.Duration `default:"20s" help:"How long faults are brought about in a run."`
	Hosts   int           `default:"5" help:"Number of hosts, at least 2."`
	Targets int           `default:"9" help:"Number of targets."`
	Callers int           `default:"4" help:"Callers for each host."`
	Large   bool          `help:"Run many hosts and targets, in place of the numbers above."`
	Keep    bool          `help:"Leave the settings and logs of the hosts behind."`
	Dump    bool          `help:"End a host that leaves a request without a response, with all its goroutines in its log."`
	Plan    bool          `help:"Print the faults of the seed and start nothing."`
}

var errViolations = errors.New("guarantees to callers were violated")

// Run implements the command.
func (c *soakCommand) Run() error {
	if c.Hosts < 2 || c.Targets < 1 {
		return errors.Newf("%d hosts and %d targets are too few", c.Hosts, c.Targets)
	}
	if c.Large {
		c.Hosts, c.Targets, c.Callers = soak.LargeHosts, soak.LargeTargets, soak.LargeCallers
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	violations := 0
	for seed := c.Seed; seed < c.Seed+c.Runs && ctx.Err() == nil; seed++ {
		if c.Plan {
			for _, f := range soak.Plan(seed, c.Length) {
				fmt.Printf("%8.3f s  %-14s for %.3f s  victim %d variant %d\n", f.At.Seconds(), f.Kind, f.Duration.Seconds(), f.Victim, f.Variant)
			}
			continue
		}
		result, err := soak.Run(ctx, soak.Options{
			Program: c.Program, Other: c.Other, Seed: seed, FaultTime: c.Length, Hosts: c.Hosts, Targets: c.Targets, Callers: c.Callers, Keep: c.Keep, Dump: c.Dump,
		})
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		printSoak(seed, result, c.Keep)
		violations += len(result.Violations)
	}
	if violations > 0 {
		return errViolations
	}
	return nil
}

func printSoak(seed uint64, r soak.Result, keep bool) {
	faults := 0
	for _, n := range r.Faults {
		faults += n
	}
	fmt.Printf("seed %d: %d faults, %d requests: %d served, %d not run, %d failed, %d dropped, %d sent again; %.3f served after the last fault; %d violations\n",
		seed, faults, r.Sent, r.Served, r.Refused, r.Failed, r.Dropped, r.SentAgain, r.RecoveredShare, len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Println("  violation:", violation)
	}
	if keep {
		fmt.Println("  pauses:", r.Stalls)
		fmt.Println("  settings and logs:", r.Folder)
	}
}
