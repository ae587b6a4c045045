package replay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/request/trace"
	"quetzalknot/tools/lab/cluster"
	"quetzalknot/tools/lab/load"
)

// recordSlack is how long the hosts go on recording after the load's duration, so
// that requests sent at its end are recorded too.
const recordSlack = 5 * time.Second

// RecordTrace sends the load of p.Record to a cluster without faults, records the
// requests on every host, and writes them to the plan's trace file.
func (p *Plan) RecordTrace(ctx context.Context, logs io.Writer) (*Outcome, error) {
	d, err := cluster.DeploymentByName(p.Deployment)
	if err != nil {
		return nil, err
	}
	c, err := cluster.Start(ctx, d, policy, logs)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	regions, _ := d.Callers()
	duration := milliseconds(p.Record.DurationMS)
	requests := load.PlanRequests(p.Record.Kinds, regions, p.Record.Seed, duration, p.Name)
	requests = append(requests, p.resends(requests)...)
	waitRecorded := startRecording(ctx, c, duration+recordSlack)
	out, err := p.runLoad(ctx, c, requests, nil)
	if err != nil {
		return nil, err
	}
	entries, err := waitRecorded()
	if err != nil {
		return nil, err
	}
	return out, p.writeTrace(entries, d.Hosts)
}

// resends returns the repetitions of requests with a key that p.Record asks for,
// each from another caller address.
func (p *Plan) resends(requests []load.PlannedRequest) []load.PlannedRequest {
	var resent []load.PlannedRequest
	keyed := 0
	for _, r := range requests {
		if r.Key == "" || p.Record.ResendEvery == 0 {
			continue
		}
		keyed++
		if keyed%p.Record.ResendEvery == 0 {
			r.At += milliseconds(p.Record.ResendAfterMS)
			r.Client++
			resent = append(resent, r)
		}
	}
	return resent
}

// startRecording starts recording on every host for the duration. The returned
// function waits for the end and returns all entries sorted by time.
func startRecording(ctx context.Context, c *cluster.Cluster, duration time.Duration) (wait func() ([]trace.Entry, error)) {
	var mu sync.Mutex
	var all []trace.Entry
	var firstErr error
	var readers sync.WaitGroup
	start := time.Now()
	for _, addr := range c.APIAddrs() {
		readers.Go(func() {
			offset := time.Since(start)
			entries, err := fetchTrace(ctx, fmt.Sprintf("http://%s/v1/trace?seconds=%d", addr, int(duration.Seconds())))
			mu.Lock()
			defer mu.Unlock()
			firstErr = errors.CombineErrors(firstErr, err)
			for _, e := range entries {
				e.At = e.At.Add(offset)
				all = append(all, e)
			}
		})
	}
	return func() ([]trace.Entry, error) {
		readers.Wait()
		slices.SortFunc(all, func(a, b trace.Entry) int { return a.At.Compare(b.At) })
		return all, firstErr
	}
}

func fetchTrace(ctx context.Context, url string) ([]trace.Entry, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return trace.Read(resp.Body)
}

// writeTrace writes the entries to the plan's trace file, with times relative to the
// first one.
func (p *Plan) writeTrace(entries []trace.Entry, hosts int) error {
	if len(entries) == 0 {
		return errors.New("no request was recorded")
	}
	file, err := os.Create(p.tracePath())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(file, "%s\n# %s on %s: %d requests, recorded from %d hosts\n",
		trace.Header, p.Name, p.Deployment, len(entries), hosts)
	for i := range entries {
		if err == nil {
			_, err = fmt.Fprintln(file, entries[i].Line(entries[0].At))
		}
	}
	return errors.CombineErrors(err, file.Close())
}
