// Package demo shows a whole deployment at work in one process: load of both
// kinds, a traffic shift and a drain by ticket, and a summary of what was kept.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/tools/lab/fleet"
	"quetzalknot/tools/lab/load"
	"quetzalknot/tools/standin/targetd"
	"quetzalknot/version/config"
	"quetzalknot/version/ticket"
)

const (
	duration   = 24 * time.Second
	shiftAfter = 4 * time.Second
	drainAfter = 12 * time.Second
	// drainBound is how soon after its ticket a leaving target gets no new work.
	drainBound = 5 * time.Second
	shiftShare = 0.2
	// shiftRate is by how much the moved share grows each second.
	shiftRate = 0.05
	policy    = ""
	seed      = 7
)

const (
	shiftService = "bokun"
	shiftFrom    = "sudvestur"
	shiftTo      = "nordur"
	drained      = "bokun-01"
)

// kinds are the requests of residents and clerks.
var kinds = []load.Kind{
	{Name: "slot-search", Service: "bokun", Path: "/slots", RatePerSecond: 250, RunMS: 30, RunSigma: 0.3, TimeoutMS: 5000},
	{Name: "booking", Service: "bokun", Method: "POST", Path: "/bookings", RatePerSecond: 30, RunMS: 50, RunSigma: 0.3, BodyBytes: 300, TimeoutMS: 8000},
	{Name: "photo-upload", Service: "bokun", Method: "POST", Path: "/photos", RatePerSecond: 10, RunMS: 400, RunSigma: 0.3, BodyBytes: 200_000, Long: true, TimeoutMS: 15000},
	{Name: "archive-pull", Service: "skjalasafn", Path: "/archive", RatePerSecond: 10, RunMS: 800, RunSigma: 0.3, AnswerBytes: 400_000, Long: true, TimeoutMS: 15000},
}

// Run runs the demo and returns an error when a promise was broken.
func Run(ctx context.Context, out io.Writer, terminal bool, logs io.Writer) error {
	fmt.Fprintln(out, "starting the platform, 34 targets and 7 entry hosts on loopback")
	fl, err := fleet.Start(ctx, fleet.Skiptidagur(), policy, logs)
	if err != nil {
		return err
	}
	defer fl.Close()
	d := &demo{fleet: fl, progress: newProgress(out, terminal)}
	sender := load.NewClientSender(fl.APIAddrs(), 3)
	defer sender.Close()
	regions, blocks := fl.Deployment.Callers()
	steps := make(chan error, 1)
	go func() { steps <- d.steps(ctx) }()
	stop := d.progress.start()
	report, err := load.Run(ctx, load.Options{
		Kinds: kinds, Regions: regions, Blocks: blocks, Seed: seed, Duration: duration,
		RunID: "demo", Sender: sender, Observe: d.observe,
	})
	stop()
	if err := errors.CombineErrors(err, <-steps); err != nil {
		return err
	}
	report.Reconcile(fl.AllTargets())
	return d.summary(out, report)
}

// demo is one run.
type demo struct {
	fleet    *fleet.Fleet
	progress *progress
	drainAt  time.Time
}

// steps submits the tickets at their times.
func (d *demo) steps(ctx context.Context) error {
	if err := sleep(ctx, shiftAfter); err != nil {
		return err
	}
	shift := config.Shift{
		Name: "demo", Service: shiftService, From: shiftFrom, To: shiftTo,
		Share: shiftShare, Cap: shiftShare, RatePerSecond: shiftRate,
		Start: time.Now().UTC().Truncate(time.Millisecond),
	}
	d.progress.countMoved()
	if err := d.submit(ctx, "traffic shift", &ticket.Ticket{Shifts: []config.Shift{shift}}); err != nil {
		return err
	}
	if err := sleep(ctx, drainAfter-shiftAfter); err != nil {
		return err
	}
	leaving := config.Leaving{Kind: config.LeavingTarget, Service: shiftService, Name: drained}
	err := d.submit(ctx, "drain of "+drained, &ticket.Ticket{Leaving: []config.Leaving{leaving}})
	d.drainAt = time.Now()
	return err
}

func (d *demo) submit(ctx context.Context, what string, t *ticket.Ticket) error {
	begin := time.Now()
	if err := d.fleet.Submit(ctx, t); err != nil {
		return errors.Wrap(err, what)
	}
	d.progress.note(fmt.Sprintf("ticket %d (%s) in force at every host after %d ms", t.Number, what, time.Since(begin).Milliseconds()))
	return nil
}

func (d *demo) observe(f load.Finished) {
	counts, moved := d.movedBy(f)
	d.progress.observe(f, counts, moved)
}

// movedBy reports whether a request of a caller whose traffic is shifted counts,
// and whether it ran in the region that the shift moves to.
func (d *demo) movedBy(f load.Finished) (counts, moved bool) {
	if f.Region != shiftFrom || f.Target == "" {
		return false, false
	}
	for _, t := range d.fleet.Service(shiftService).Targets {
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
	for _, s := range d.fleet.Targets[shiftService] {
		if s.Name() == drained {
			return s.Record()
		}
	}
	return targetd.Record{}
}
