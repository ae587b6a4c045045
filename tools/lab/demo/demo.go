// Package demo runs a complete deployment in one process under short and long
// requests, submits a traffic shift and the drain of a target as tickets, prints a summary
// of the outcomes, and checks the product's guarantees.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/tools/lab/cluster"
	"quetzalknot/tools/lab/load"
	"quetzalknot/tools/standin/targetd"
	"quetzalknot/version/config"
	"quetzalknot/version/ticket"
)

const (
	duration   = 24 * time.Second
	shiftAfter = 4 * time.Second
	drainAfter = 12 * time.Second
	// maxDrainDelay is the longest time after the ticket of a drain for which the
	// target may still start requests.
	maxDrainDelay = 5 * time.Second
	shiftShare    = 0.2
	// shiftRate is the increase of the moved share per second.
	shiftRate = 0.05
	// An empty policy selects the default policy.
	policy = ""
	seed   = 7
)

const (
	shiftService  = "bokun"
	shiftFrom     = "sudvestur"
	shiftTo       = "nordur"
	drainedTarget = "bokun-01"
)

// kinds are the kinds of requests that residents and clerks send.
var kinds = []load.Kind{
	{Name: "slot-search", Service: "bokun", Path: "/slots", RatePerSecond: 250, RunMS: 30, RunSigma: 0.3, TimeoutMS: 5000},
	{Name: "booking", Service: "bokun", Method: "POST", Path: "/bookings", RatePerSecond: 30, RunMS: 50, RunSigma: 0.3, BodyBytes: 300, TimeoutMS: 8000},
	{Name: "photo-upload", Service: "bokun", Method: "POST", Path: "/photos", RatePerSecond: 10, RunMS: 400, RunSigma: 0.3, BodyBytes: 200_000, Long: true, TimeoutMS: 15000},
	{Name: "archive-pull", Service: "skjalasafn", Path: "/archive", RatePerSecond: 10, RunMS: 800, RunSigma: 0.3, ResponseBytes: 400_000, Long: true, TimeoutMS: 15000},
}

// Run runs the demo and returns an error when a guarantee was violated.
func Run(ctx context.Context, out io.Writer, terminal bool, logs io.Writer) error {
	fmt.Fprintln(out, "starting the platform, 34 targets and 7 entry hosts on loopback")
	c, err := cluster.Start(ctx, cluster.Skiptidagur(), policy, logs)
	if err != nil {
		return err
	}
	defer c.Close()
	d := &demo{cluster: c, progress: newProgress(out, terminal)}
	sender := load.NewClientSender(c.APIAddrs(), 3)
	defer sender.Close()
	regions, blocks := c.Deployment.Callers()
	submitted := make(chan error, 1)
	go func() { submitted <- d.submitTickets(ctx) }()
	stop := d.progress.start()
	report, err := load.Run(ctx, load.Options{
		Kinds: kinds, Regions: regions, Blocks: blocks, Seed: seed, Duration: duration,
		RunID: "demo", Sender: sender, OnFinished: d.observe,
	})
	stop()
	if err := errors.CombineErrors(err, <-submitted); err != nil {
		return err
	}
	report.Reconcile(c.AllTargets())
	return d.writeSummary(out, report)
}

// demo is the state of one run of the demo.
type demo struct {
	cluster  *cluster.Cluster
	progress *progress
	drainAt  time.Time
}

// submitTickets submits the traffic shift and the drain at their times.
func (d *demo) submitTickets(ctx context.Context) error {
	if err := sleep(ctx, shiftAfter); err != nil {
		return err
	}
	shift := config.Shift{
		Name: "demo", Service: shiftService, From: shiftFrom, To: shiftTo,
		Share: shiftShare, Cap: shiftShare, RatePerSecond: shiftRate,
		Start: time.Now().UTC().Truncate(time.Millisecond),
	}
	d.progress.resetMoved()
	if err := d.submit(ctx, "traffic shift", &ticket.Ticket{Shifts: []config.Shift{shift}}); err != nil {
		return err
	}
	if err := sleep(ctx, drainAfter-shiftAfter); err != nil {
		return err
	}
	leaving := config.Leaving{Kind: config.LeavingTarget, Service: shiftService, Name: drainedTarget}
	err := d.submit(ctx, "drain of "+drainedTarget, &ticket.Ticket{Leaving: []config.Leaving{leaving}})
	d.drainAt = time.Now()
	return err
}

func (d *demo) submit(ctx context.Context, description string, t *ticket.Ticket) error {
	begin := time.Now()
	if err := d.cluster.Submit(ctx, t); err != nil {
		return errors.Wrap(err, description)
	}
	d.progress.writeNote(fmt.Sprintf("ticket %d (%s) in force at every host after %d ms", t.Number, description, time.Since(begin).Milliseconds()))
	return nil
}

func (d *demo) observe(f load.FinishedRequest) {
	eligible, moved := d.shiftStatus(f)
	d.progress.observe(f, eligible, moved)
}

// shiftStatus reports whether a request counts towards the moved share, which needs a
// caller in the shifted region and a known target, and whether it ran in the region
// that the shift moves traffic to.
func (d *demo) shiftStatus(f load.FinishedRequest) (eligible, moved bool) {
	if f.Region != shiftFrom || f.Target == "" {
		return false, false
	}
	for _, t := range d.cluster.Service(shiftService).Targets {
		if t.Name == f.Target {
			return true, t.Region == shiftTo
		}
	}
	return false, false
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// drainedRecord returns the record of the drained target.
func (d *demo) drainedRecord() targetd.Record {
	for _, s := range d.cluster.Targets[shiftService] {
		if s.Name() == drainedTarget {
			return s.Record()
		}
	}
	return targetd.Record{}
}
