package replay

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"quetzalknot/request/trace"
	"quetzalknot/tools/lab/cluster"
	"quetzalknot/tools/lab/load"
	"quetzalknot/tools/standin/targetd"
	"quetzalknot/version/ticket"
)

const (
	// maxAttempts is the maximum number of attempts of a caller for one request.
	maxAttempts = 4
	// minReplayedResponse is the response size in bytes above which the replay asks
	// the target for a response of the recorded size.
	minReplayedResponse = 4 << 10
	// clientsPerRegion is the number of callers in each region.
	clientsPerRegion = 8
	// An empty policy selects the default policy.
	policy = ""
)

// Run replays the trace of a plan and returns the outcome. The hosts log to logs.
func (p *Plan) Run(ctx context.Context, logs io.Writer) (*Outcome, error) {
	entries, err := p.readTrace()
	if err != nil {
		return nil, err
	}
	d, err := cluster.DeploymentByName(p.Deployment)
	if err != nil {
		return nil, err
	}
	c, err := cluster.Start(ctx, d, policy, logs)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return p.runLoad(ctx, c, requestsFromTrace(p.Name, entries, len(d.Regions)), p.Steps)
}

// runLoad sends the requests, carries out the steps at their times, and compares the
// outcome with the expected one.
func (p *Plan) runLoad(ctx context.Context, c *cluster.Cluster, requests []load.PlannedRequest, steps []Step) (*Outcome, error) {
	sender := load.NewClientSender(c.APIAddrs(), maxAttempts)
	defer sender.Close()
	regions, blocks := c.Deployment.Callers()
	waitSteps := startSteps(ctx, c, steps)
	report, err := load.Run(ctx, load.Options{
		Kinds: kindsOf(requests), Planned: requests, Regions: regions, Blocks: blocks, RunID: p.Name, Sender: sender,
	})
	if err != nil {
		return nil, err
	}
	if err := waitSteps(); err != nil {
		return nil, err
	}
	var targets []*targetd.Server
	for _, servers := range c.Targets {
		targets = append(targets, servers...)
	}
	report.Reconcile(targets)
	return summarize(p, report), nil
}

func summarize(p *Plan, report *load.Report) *Outcome {
	o := &Outcome{Name: p.Name}
	for i, r := range report.Results {
		if i == 0 {
			o.Result = *r
			continue
		}
		o.Add(r)
	}
	o.compare(p.Expect)
	return o
}

// requestsFromTrace converts the entries of a trace to requests. Entries with the
// same key are resends of one request and have the same request id.
func requestsFromTrace(name string, entries []trace.Entry, regions int) []load.PlannedRequest {
	requests := make([]load.PlannedRequest, len(entries))
	for i, e := range entries {
		kind := load.Kind{
			Name: kindName(e), Service: e.Service, Method: e.Method, Path: e.Path,
			BodyBytes: int(e.BodyBytes), TimeoutMS: int(e.Timeout.Milliseconds()),
		}
		if e.ResponseBytes > minReplayedResponse {
			kind.ResponseBytes = int(e.ResponseBytes)
		}
		id := fmt.Sprintf("%s-%d", name, i)
		if e.Key != "" {
			id = name + "-" + e.Key
		}
		requests[i] = load.PlannedRequest{
			Kind: kind, At: e.At.Sub(time.Time{}), RunMS: float64(e.Duration.Microseconds()) / 1000,
			Region: i % regions, Client: 1 + i%clientsPerRegion, ID: id, Key: e.Key,
		}
	}
	return requests
}

// kindName returns the name that groups requests by service, method and first path
// segment.
func kindName(e trace.Entry) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(e.Path, "/"), "/")
	return e.Service + " " + e.Method + " /" + first
}

// kindsOf returns one kind for each kind name among the requests.
func kindsOf(requests []load.PlannedRequest) []load.Kind {
	seen := make(map[string]bool)
	var kinds []load.Kind
	for _, r := range requests {
		if !seen[r.Kind.Name] {
			seen[r.Kind.Name] = true
			kinds = append(kinds, r.Kind)
		}
	}
	return kinds
}

// startSteps starts carrying out the steps at their times. The returned function
// waits for all steps and returns one of their errors, or nil.
func startSteps(ctx context.Context, c *cluster.Cluster, steps []Step) (wait func() error) {
	errs := make(chan error, len(steps))
	var running sync.WaitGroup
	for _, s := range steps {
		running.Go(func() { errs <- s.run(ctx, c) })
	}
	return func() error {
		running.Wait()
		close(errs)
		for err := range errs {
			if err != nil {
				return err
			}
		}
		return nil
	}
}

func (s *Step) run(ctx context.Context, c *cluster.Cluster) error {
	if err := sleep(ctx, milliseconds(s.AtMS)); err != nil {
		return err
	}
	if len(s.Leaving) > 0 {
		if err := c.Submit(ctx, &ticket.Ticket{Leaving: s.Leaving}); err != nil {
			return err
		}
	}
	if s.Restart > 0 {
		if err := c.StopHost(ctx, s.Restart-1); err != nil {
			return err
		}
		if err := c.StartHost(ctx, s.Restart-1); err != nil {
			return err
		}
	}
	if s.Fault == nil {
		return nil
	}
	if err := c.ApplyFault(ctx, *s.Fault, true); err != nil {
		return err
	}
	if err := sleep(ctx, milliseconds(s.ForMS)); err != nil {
		return err
	}
	return c.ApplyFault(ctx, *s.Fault, false)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
