package propagation

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"quetzalknot/process/peer"
)

// Options select the measurements.
type Options struct {
	// Sizes are the numbers of hosts.
	Sizes []int
	// Tickets is the number of tickets measured in each condition.
	Tickets int
	// Idle is the duration of the measurement without changes.
	Idle time.Duration
	// Seed seeds the message losses and the choices of hosts.
	Seed uint64
	// DisableTLS disables TLS.
	DisableTLS bool
}

// designSize is the number of hosts at which the fitted lines are evaluated.
const designSize = 910

// sizeResult holds the costs measured with one number of hosts: without changes, and at
// the design rate of changes.
type sizeResult struct {
	hosts        int
	idle, design Cost
}

// Run takes all measurements and writes a report as Markdown tables.
func Run(ctx context.Context, opts Options, out io.Writer) error {
	var identity *peer.Identity
	if !opts.DisableTLS {
		var err error
		if identity, err = newIdentity(); err != nil {
			return err
		}
	}
	var rows []sizeResult
	for _, size := range opts.Sizes {
		r, err := measure(ctx, opts, identity, size, out)
		if err != nil {
			return err
		}
		rows = append(rows, r)
	}
	writeCosts(out, rows)
	return nil
}

func measure(ctx context.Context, opts Options, identity *peer.Identity, size int, out io.Writer) (sizeResult, error) {
	c := newCluster(ctx, identity, opts.Seed, size)
	defer c.stopAll()
	start := time.Now()
	for range size {
		if _, err := c.start(); err != nil {
			return sizeResult{}, err
		}
	}
	if _, err := waitFor(ctx, convergenceTimeout, c.converged); err != nil {
		return sizeResult{}, err
	}
	fmt.Fprintf(out, "\n## %d hosts\n\nAll %d started at the same time with an empty state, and were complete after %s.\n\n", size, size, seconds(time.Since(start)))
	number := uint64(1)
	fmt.Fprintln(out, "| acceptance to force | samples | p50 | p99 | max |\n|---|---|---|---|---|")
	for _, cond := range conditions {
		times, err := c.propagationTimes(ctx, cond, number, opts.Tickets)
		if err != nil {
			return sizeResult{}, err
		}
		number += uint64(opts.Tickets)
		writeTimes(out, cond.name, times)
	}
	r, err := c.measureCosts(ctx, opts, number)
	if err != nil {
		return sizeResult{}, err
	}
	number += uint64(opts.Tickets)
	return r, c.measureFaults(ctx, number-1, out)
}

// measureCosts measures the cost without changes and the cost at the design rate.
func (c *cluster) measureCosts(ctx context.Context, opts Options, first uint64) (sizeResult, error) {
	r := sizeResult{hosts: len(c.hosts)}
	if _, err := waitFor(ctx, convergenceTimeout, c.converged); err != nil {
		return r, err
	}
	time.Sleep(2 * ticketPause)
	before := c.sampleUsage()
	time.Sleep(opts.Idle)
	r.idle = c.cost(before)
	before = c.sampleUsage()
	if _, err := c.propagationTimes(ctx, conditions[0], first, opts.Tickets); err != nil {
		return r, err
	}
	busy := c.cost(before)
	perChange := time.Since(before.at).Seconds() / float64(opts.Tickets)
	r.design = atDesignRate(r.idle, busy, perChange)
	return r, nil
}

// measureFaults measures the start of a host, with the store up and down, and the time to
// detect dead hosts.
func (c *cluster) measureFaults(ctx context.Context, newest uint64, out io.Writer) error {
	fmt.Fprintln(out, "\n| fault or start | samples | p50 | p99 | max |\n|---|---|---|---|---|")
	withStore, err := c.startDuration(ctx, newest)
	if err != nil {
		return err
	}
	writeTimes(out, "start to ready, store up", []time.Duration{withStore})
	c.seeds = []string{c.hosts[0].server.Addr(), c.hosts[1].server.Addr()}
	c.table.unavailable.Store(true)
	withoutStore, err := c.startDuration(ctx, newest)
	c.table.unavailable.Store(false)
	if err != nil {
		return err
	}
	writeTimes(out, "start to ready, store down", []time.Duration{withoutStore})
	if _, err := waitFor(ctx, convergenceTimeout, c.converged); err != nil {
		return err
	}
	var detection []time.Duration
	for range 3 {
		times, err := c.detectionTimes(ctx)
		if err != nil {
			return err
		}
		detection = append(detection, times...)
	}
	writeTimes(out, "dead host noticed by every other", detection)
	return nil
}

func writeTimes(out io.Writer, name string, times []time.Duration) {
	slices.Sort(times)
	fmt.Fprintf(out, "| %s | %d | %s | %s | %s |\n", name, len(times),
		seconds(quantile(times, 0.5)), seconds(quantile(times, 0.99)), seconds(times[len(times)-1]))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }

// costColumn is one column of the cost tables.
type costColumn struct {
	name  string
	value func(Cost) float64
}

var columns = []costColumn{
	{"bytes sent/s per host", func(c Cost) float64 { return c.Bytes }},
	{"messages sent/s per host", func(c Cost) float64 { return c.Messages }},
	{"% of a core per host", func(c Cost) float64 { return 100 * c.CoreShare }},
	{"store reads/s of all", func(c Cost) float64 { return c.Reads }},
	{"store writes/s of all", func(c Cost) float64 { return c.Writes }},
}

// writeCosts writes tables of the costs for each number of hosts, with fitted lines.
func writeCosts(out io.Writer, rows []sizeResult) {
	writeCostTable(out, "idle", rows, func(r sizeResult) Cost { return r.idle })
	writeCostTable(out, fmt.Sprintf("%d changes a day", changesPerDay), rows, func(r sizeResult) Cost { return r.design })
}

func writeCostTable(out io.Writer, name string, rows []sizeResult, cost func(sizeResult) Cost) {
	fmt.Fprintf(out, "\n## Cost, %s\n\n| hosts |", name)
	for _, c := range columns {
		fmt.Fprintf(out, " %s |", c.name)
	}
	fmt.Fprintln(out, "\n|---|---|---|---|---|---|")
	hosts := make([]float64, len(rows))
	for i, r := range rows {
		hosts[i] = float64(r.hosts)
		fmt.Fprintf(out, "| %d |", r.hosts)
		for _, c := range columns {
			fmt.Fprintf(out, " %.3f |", c.value(cost(r)))
		}
		fmt.Fprintln(out)
	}
	if len(rows) < 2 {
		return
	}
	fmt.Fprintf(out, "| slope per host, line at %d |", designSize)
	for _, c := range columns {
		values := make([]float64, len(rows))
		for i, r := range rows {
			values[i] = c.value(cost(r))
		}
		intercept, slope := stat.LinearRegression(hosts, values, nil, false)
		fmt.Fprintf(out, " %.4f, %.2f |", slope, intercept+slope*designSize)
	}
	fmt.Fprintln(out)
}
