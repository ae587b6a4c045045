package replay

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"quetzalknot/request/trace"
	"quetzalknot/tools/lab/fleet"
	"quetzalknot/tools/lab/load"
	"quetzalknot/tools/standin/targetd"
	"quetzalknot/version/ticket"
)

const (
	// attempts is how often a caller sends one request.
	attempts = 4
	// longAnswer is the size in bytes from which an answer's size is replayed.
	longAnswer = 4 << 10
	// clients is how many callers each region has.
	clients = 8
	policy  = ""
)

// Run replays the trace of a plan. The hosts' log lines go to logs.
func (p *Plan) Run(ctx context.Context, logs io.Writer) (*Outcome, error) {
	entries, err := p.entries()
	if err != nil {
		return nil, err
	}
	d, err := fleet.Named(p.Deployment)
	if err != nil {
		return nil, err
	}
	f, err := fleet.Start(ctx, d, policy, logs)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return p.send(ctx, f, planned(p.Name, entries, len(d.Regions)), p.Steps)
}

// send sends the requests while the steps happen.
func (p *Plan) send(ctx context.Context, f *fleet.Fleet, requests []load.Planned, steps []Step) (*Outcome, error) {
	sender := load.NewClientSender(f.APIAddrs(), attempts)
	defer sender.Close()
	regions, blocks := f.Deployment.Callers()
	happening := perform(ctx, f, steps)
	rep, err := load.Run(ctx, load.Options{
		Kinds: kindsOf(requests), Planned: requests, Regions: regions, Blocks: blocks, RunID: p.Name, Sender: sender,
	})
	if err != nil {
		return nil, err
	}
	if err := happening(); err != nil {
		return nil, err
	}
	var targets []*targetd.Server
	for _, servers := range f.Targets {
		targets = append(targets, servers...)
	}
	rep.Reconcile(targets)
	return summarize(p, rep), nil
}

func summarize(p *Plan, rep *load.Report) *Outcome {
	o := &Outcome{Name: p.Name}
	for i, r := range rep.Results {
		if i == 0 {
			o.Result = *r
			continue
		}
		o.Add(r)
	}
	o.compare(p.Expect)
	return o
}

// planned turns the entries of a trace into requests. Entries with the same key are
// one request sent again.
func planned(name string, entries []trace.Entry, regions int) []load.Planned {
	requests := make([]load.Planned, len(entries))
	for i, e := range entries {
		kind := load.Kind{
			Name: kindName(e), Service: e.Service, Method: e.Method, Path: e.Path,
			BodyBytes: int(e.BodyBytes), TimeoutMS: int(e.Timeout.Milliseconds()),
		}
		if e.AnswerBytes > longAnswer {
			kind.AnswerBytes = int(e.AnswerBytes)
		}
		id := fmt.Sprintf("%s-%d", name, i)
		if e.Key != "" {
			id = name + "-" + e.Key
		}
		requests[i] = load.Planned{
			Kind: kind, At: e.At.Sub(time.Time{}), RunMS: float64(e.Run.Microseconds()) / 1000,
			Region: i % regions, Client: 1 + i%clients, ID: id, Key: e.Key,
		}
	}
	return requests
}

// kindName groups requests by service, method and the first part of the path.
func kindName(e trace.Entry) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(e.Path, "/"), "/")
	return e.Service + " " + e.Method + " /" + first
}

// kindsOf returns one kind for each name.
func kindsOf(requests []load.Planned) []load.Kind {
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

// perform carries out the steps at their times, and returns a function that waits
// for them and gives the first error.
func perform(ctx context.Context, f *fleet.Fleet, steps []Step) (wait func() error) {
	errs := make(chan error, len(steps))
	var running sync.WaitGroup
	for _, s := range steps {
		running.Go(func() { errs <- s.perform(ctx, f) })
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

func (s *Step) perform(ctx context.Context, f *fleet.Fleet) error {
	if err := sleep(ctx, milliseconds(s.AtMS)); err != nil {
		return err
	}
	if len(s.Leaving) > 0 {
		if err := f.Submit(ctx, &ticket.Ticket{Leaving: s.Leaving}); err != nil {
			return err
		}
	}
	if s.Restart > 0 {
		if err := f.StopHost(ctx, s.Restart-1); err != nil {
			return err
		}
		if err := f.StartHost(ctx, s.Restart-1); err != nil {
			return err
		}
	}
	if s.Fault == nil {
		return nil
	}
	if err := f.Apply(ctx, *s.Fault, true); err != nil {
		return err
	}
	if err := sleep(ctx, milliseconds(s.ForMS)); err != nil {
		return err
	}
	return f.Apply(ctx, *s.Fault, false)
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
