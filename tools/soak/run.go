package soak

import (
	"context"
	"os"
	"sync"
	"time"
)

// Options are what a soak needs.
type Options struct {
	// Program is the path of quetzald.
	Program string
	Seed    uint64
	// Length is how long faults are brought about.
	Length time.Duration
	Hosts  int
	// Targets is the number of targets, and Callers that of callers for each host.
	Targets, Callers int
	// Keep leaves the folder with settings and logs behind.
	Keep bool
}

// Result is what a soak saw.
type Result struct {
	Faults                             map[Kind]int
	Sent, Served, Refused, Failed, Cut int64
	// Recovered is the share of requests that were served after the last fault.
	Recovered float64
	// Broken are the broken promises; at most brokenLimit.
	Broken []string
	Folder string
}

const (
	// warmUp is the time before the first fault, and calmDown the one after the last.
	warmUp   = 2 * time.Second
	calmDown = 8 * time.Second
	// recovery is the part of calmDown whose requests must be served.
	recovery = 3 * time.Second
	// recoveredLeast is the share of them that must be.
	recoveredLeast = 0.95
	brokenLimit    = 20
)

// Run brings the faults of a seed about and checks the promises. It ends everything
// that it started, also when ctx ends early.
func Run(ctx context.Context, opts Options) (Result, error) {
	folder, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return Result{}, err
	}
	if !opts.Keep {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	s, err := newSite(opts.Program, folder, opts.Hosts, opts.Targets)
	defer s.close()
	if err != nil {
		return Result{}, err
	}
	in := &injector{site: s, checks: newChecks(s), busy: make(map[int]bool), counts: make(map[Kind]int)}
	pause(ctx, warmUp)
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers sync.WaitGroup
	for h := range s.hosts {
		for c := range opts.Callers {
			callers.Go(func() { in.checks.call(calling, h, c) })
		}
	}
	injectAll(ctx, in, Plan(opts.Seed, opts.Length))
	pause(ctx, calmDown-recovery)
	sent, served := in.checks.sent.Load(), in.checks.served.Load()
	pause(ctx, recovery)
	share := float64(in.checks.served.Load()-served) / float64(max(1, in.checks.sent.Load()-sent))
	stopCalling()
	callers.Wait()
	in.checks.final()
	if share < recoveredLeast && ctx.Err() == nil {
		in.checks.broken("%.2f of the requests are served after the last fault", share)
	}
	return in.result(share, folder), in.checks.problem
}

func injectAll(ctx context.Context, in *injector, plan []Fault) {
	var faults sync.WaitGroup
	start := time.Now()
	for _, f := range plan {
		pause(ctx, time.Until(start.Add(f.At)))
		if ctx.Err() != nil {
			break
		}
		faults.Go(func() { in.inject(ctx, f) })
	}
	faults.Wait()
}

func (in *injector) result(share float64, folder string) Result {
	c := in.checks
	return Result{
		Faults: in.counts, Sent: c.sent.Load(), Served: c.served.Load(), Refused: c.refused.Load(),
		Failed: c.broke.Load(), Cut: c.cut.Load(), Recovered: share,
		Broken: c.promises[:min(brokenLimit, len(c.promises))], Folder: folder,
	}
}
