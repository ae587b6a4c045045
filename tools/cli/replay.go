package cli

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"quetzalknot/tools/replay"
)

type labReplay struct {
	Plans  []string `arg:"" type:"existingfile" help:"Plans in TOML, each with its trace beside it."`
	Record bool     `help:"Record the traces anew from the load that the plans describe."`
	Logs   string   `type:"path" help:"File for the hosts' log lines."`
}

// Run implements the command.
func (c *labReplay) Run() error {
	ctx, stop := signalContext()
	defer stop()
	logs, closeLogs, err := logFile(c.Logs)
	if err != nil {
		return err
	}
	defer closeLogs()
	failed := 0
	for _, path := range c.Plans {
		plan, err := replay.Load(path)
		if err != nil {
			return err
		}
		run := plan.Run
		if c.Record {
			run = plan.RecordTrace
		}
		outcome, err := run(ctx, logs)
		if err != nil {
			return err
		}
		fmt.Println(outcome)
		for _, difference := range outcome.Differences {
			fmt.Println("  DIFFERENCE:", difference)
		}
		failed += len(outcome.Differences)
	}
	if failed > 0 && !c.Record {
		return errors.Newf("%d differences from the expected outcomes", failed)
	}
	return nil
}
