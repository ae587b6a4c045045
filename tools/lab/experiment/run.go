package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/tools/lab/cluster"
	"quetzalknot/tools/lab/load"
)

// Segment holds the results of one policy under one variant, summed over the repeats.
type Segment struct {
	Policy  string         `json:"policy"`
	Variant string         `json:"variant"`
	Results []*load.Result `json:"results"`
	// Shed counts attempts that a target shed; OverSlots counts attempts that arrived
	// while all slots of the target were in use.
	Shed      int `json:"shed"`
	OverSlots int `json:"over_slots"`
	// LongPeakShare is the largest share of one target's slots that long requests used.
	LongPeakShare float64 `json:"long_peak_share"`
	// Samples are those of the last repeat.
	Samples []Sample `json:"samples"`
}

// Result returns the result of a kind, or nil.
func (s *Segment) Result(kind string) *load.Result {
	for _, r := range s.Results {
		if r.Kind == kind {
			return r
		}
	}
	return nil
}

// Outcome holds the results of a finished experiment.
type Outcome struct {
	File     *File      `json:"-"`
	Segments []*Segment `json:"segments"`
}

// Segment returns the segment of a policy and variant, or nil.
func (o *Outcome) Segment(policy, variant string) *Segment {
	for _, s := range o.Segments {
		if s.Policy == policy && s.Variant == variant {
			return s
		}
	}
	return nil
}

// Run runs every segment of the experiment. It writes progress lines to progress and
// the hosts' log lines to logs.
func Run(ctx context.Context, f *File, progress, logs io.Writer) (*Outcome, error) {
	out := &Outcome{File: f}
	total := f.Repeats * len(f.Variants) * len(f.Policies)
	done := 0
	for repeat := range f.Repeats {
		for i := range f.Variants {
			for _, policy := range f.Policies {
				done++
				fmt.Fprintf(progress, "segment %d of %d: %s, %s\n", done, total, policy, f.Variants[i].Name)
				seg, err := runSegment(ctx, f, &f.Variants[i], policy, repeat, logs)
				if err != nil {
					return nil, err
				}
				out.add(seg)
			}
		}
	}
	return out, nil
}

// add merges a segment into the one of the same policy and variant.
func (o *Outcome) add(s *Segment) {
	existing := o.Segment(s.Policy, s.Variant)
	if existing == nil {
		o.Segments = append(o.Segments, s)
		return
	}
	for i, r := range existing.Results {
		r.Add(s.Results[i])
	}
	existing.Shed += s.Shed
	existing.OverSlots += s.OverSlots
	existing.LongPeakShare = max(existing.LongPeakShare, s.LongPeakShare)
	existing.Samples = s.Samples
}

func runSegment(ctx context.Context, f *File, v *Variant, policy string, repeat int, logs io.Writer) (*Segment, error) {
	deployment, err := cluster.DeploymentByName(f.Deployment)
	if err != nil {
		return nil, err
	}
	for i := range deployment.Services {
		deployment.Services[i].HedgeShare = v.HedgeShare
	}
	c, err := cluster.Start(ctx, deployment, policy, logs)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	regions, blocks := deployment.Callers()
	sender := load.NewClientSender(c.APIAddrs(), f.CallerAttempts)
	defer sender.Close()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sampler := startSampler(c)
	waitFaults := applyFaults(ctx, c.ApplyFault, v.Faults)
	report, err := load.Run(ctx, load.Options{
		Kinds: f.kinds(v), Regions: regions, Blocks: blocks, Seed: f.Seed + uint64(repeat),
		Warmup: seconds(f.WarmupSeconds), Duration: seconds(f.SegmentSeconds),
		RunID: fmt.Sprintf("r%d", repeat), Sender: sender,
	})
	samples := sampler.stop()
	cancel()
	if faultErr := waitFaults(); err == nil {
		err = faultErr
	}
	if err != nil {
		return nil, err
	}
	seg := &Segment{Policy: policy, Variant: v.Name, Results: report.Results, Samples: samples}
	report.Reconcile(c.AllTargets())
	seg.addTargetRecords(c)
	return seg, nil
}

// addTargetRecords adds the counts of the targets' records.
func (s *Segment) addTargetRecords(c *cluster.Cluster) {
	for name, servers := range c.Targets {
		slots := float64(c.Service(name).Targets[0].Slots)
		for _, server := range servers {
			record := server.Record()
			s.Shed += record.Shed
			s.OverSlots += record.OverSlots
			s.LongPeakShare = max(s.LongPeakShare, float64(record.LongPeak)/slots)
		}
	}
}

// applyFault starts a fault (on) or ends it.
type applyFault func(ctx context.Context, f cluster.Fault, on bool) error

// applyFaults starts and ends the faults at their times, in the background, until a step
// fails or the context is cancelled. The returned function waits for that and returns the
// error of the step, or nil.
func applyFaults(ctx context.Context, apply applyFault, faults []Fault) (wait func() error) {
	result := make(chan error, 1)
	start := time.Now()
	go func() { result <- runSteps(ctx, apply, steps(faults), start) }()
	return func() error { return <-result }
}

// runSteps carries out the steps at their times after start.
func runSteps(ctx context.Context, apply applyFault, list []step, start time.Time) error {
	for _, step := range list {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(start.Add(step.at))):
		}
		if err := apply(ctx, step.fault, step.on); err != nil && ctx.Err() == nil {
			return errors.Wrapf(err, "fault %q, on = %v, after %v", step.fault.Kind, step.on, step.at)
		}
	}
	return nil
}
