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
	"quetzalknot/tools/lab/fleet"
	"quetzalknot/tools/lab/load"
)

// recordSlack is how long the hosts record after the last request was sent.
const recordSlack = 5 * time.Second

// RecordTrace sends the load of the plan to a deployment without faults, records it
// on every host, and writes the plan's trace.
func (p *Plan) RecordTrace(ctx context.Context, logs io.Writer) (*Outcome, error) {
	d, err := fleet.Named(p.Deployment)
	if err != nil {
		return nil, err
	}
	f, err := fleet.Start(ctx, d, policy, logs)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	regions, _ := d.Callers()
	length := milliseconds(p.Record.DurationMS)
	requests := load.Plan(p.Record.Kinds, regions, p.Record.Seed, length, p.Name)
	requests = append(requests, p.resends(requests)...)
	recorded := record(ctx, f, length+recordSlack)
	out, err := p.send(ctx, f, requests, nil)
	if err != nil {
		return nil, err
	}
	entries, err := recorded()
	if err != nil {
		return nil, err
	}
	return out, p.write(entries, d.Hosts)
}

// resends repeats some of the requests with a key.
func (p *Plan) resends(requests []load.Planned) []load.Planned {
	var again []load.Planned
	keyed := 0
	for _, r := range requests {
		if r.Key == "" || p.Record.ResendEvery == 0 {
			continue
		}
		keyed++
		if keyed%p.Record.ResendEvery == 0 {
			r.At += milliseconds(p.Record.ResendAfterMS)
			r.Client++
			again = append(again, r)
		}
	}
	return again
}

// record reads the trace of every host until its end.
func record(ctx context.Context, f *fleet.Fleet, length time.Duration) (wait func() ([]trace.Entry, error)) {
	var mu sync.Mutex
	var all []trace.Entry
	var firstErr error
	var readers sync.WaitGroup
	start := time.Now()
	for _, addr := range f.APIAddrs() {
		readers.Go(func() {
			offset := time.Since(start)
			entries, err := fetch(ctx, fmt.Sprintf("http://%s/v1/trace?seconds=%d", addr, int(length.Seconds())))
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

func fetch(ctx context.Context, url string) ([]trace.Entry, error) {
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

// write writes the entries as the plan's trace, the first one at time 0.
func (p *Plan) write(entries []trace.Entry, hosts int) error {
	if len(entries) == 0 {
		return errors.New("nothing was recorded")
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
