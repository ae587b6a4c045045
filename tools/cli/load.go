package cli

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"

	"quetzalknot/tools/lab/load"
)

type labLoad struct {
	API       []string      `required:"" help:"API addresses of entry hosts; the first that answers is used."`
	Service   string        `required:"" help:"Service that the requests are for."`
	Path      string        `default:"/" help:"Path of the requests."`
	Method    string        `default:"GET" help:"Method of the requests."`
	Rate      float64       `default:"100" help:"Requests a second; arrivals do not wait for answers."`
	Duration  time.Duration `default:"10s" help:"How long to send."`
	RunMS     float64       `name:"run-ms" default:"10" help:"Median run time that stand-in targets are asked for, in milliseconds."`
	BodyBytes int           `help:"Size of each request's body."`
	TimeoutMS int           `name:"timeout-ms" help:"Deadline that each caller states, in milliseconds."`
	Attempts  int           `default:"3" help:"How often a caller may send one request."`
	Ahead     int           `help:"How many idempotent requests without a body are sent on a connection before the first is answered; 0 or 1 for one after the other."`
	Clients   string        `default:"198.18.0.0/24" help:"IPv4 block that the callers' addresses are drawn from."`
	Seed      uint64        `default:"1" help:"Seed of the arrivals."`
}

// Run implements the command.
func (c *labLoad) Run() error {
	if c.Rate <= 0 {
		return badInput{errors.Newf("--rate = %g: give a rate above 0", c.Rate)}
	}
	ctx, stop := signalContext()
	defer stop()
	sender := load.NewClientSender(c.API, c.Attempts)
	if c.Ahead > 1 {
		sender = load.NewPipelinedSender(c.API, c.Attempts, c.Ahead)
	}
	defer sender.Close()
	kind := load.Kind{
		Name: c.Service, Service: c.Service, Path: c.Path, Method: c.Method, RatePerSecond: c.Rate,
		RunMS: c.RunMS, BodyBytes: c.BodyBytes, TimeoutMS: c.TimeoutMS,
	}
	report, err := load.Run(ctx, load.Options{
		Kinds: []load.Kind{kind}, Regions: []string{"callers"}, Blocks: []string{c.Clients},
		Seed: c.Seed, Duration: c.Duration, Sender: sender,
		RunID: "load-" + strconv.FormatInt(time.Now().UnixMilli(), 36),
	})
	if err != nil {
		return err
	}
	return printLoad(report)
}

func printLoad(report *load.Report) error {
	table := tablewriter.NewTable(os.Stdout, tablewriter.WithHeaderAutoFormat(tw.Off))
	table.Header("kind", "sent", "ran", "not-run", "may-have-run", "unanswered", "cut", "p50 ms", "p99 ms", "p99.9 ms")
	for _, r := range report.Results {
		err := table.Append(r.Kind, r.Sent, r.Ran, r.NotRun, r.MayHaveRun, r.Unanswered, r.Truncated,
			fmt.Sprintf("%.1f", r.PercentileMS(50)), fmt.Sprintf("%.1f", r.PercentileMS(99)), fmt.Sprintf("%.1f", r.PercentileMS(99.9)))
		if err != nil {
			return err
		}
	}
	return table.Render()
}
