package spread

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"quetzalknot/process/peer"
)

// Options say what to measure.
type Options struct {
	// Sizes are the numbers of hosts.
	Sizes []int
	// Tickets is how many tickets are measured in each condition.
	Tickets int
	// Idle is how long the idle cost is measured.
	Idle time.Duration
	Seed uint64
	// Clear leaves TLS out.
	Clear bool
}

// designSize is the number of hosts that the fitted lines are read at.
const designSize = 910

// row is what was measured at one size.
type row struct {
	hosts        int
	idle, design Cost
}

// Run measures and writes a report as Markdown tables.
func Run(ctx context.Context, opts Options, out io.Writer) error {
	var identity *peer.Identity
	if !opts.Clear {
		var err error
		if identity, err = newIdentity(); err != nil {
			return err
		}
	}
	var rows []row
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

func measure(ctx context.Context, opts Options, identity *peer.Identity, size int, out io.Writer) (row, error) {
	f := newFleet(ctx, identity, opts.Seed, size)
	defer f.stopAll()
	began := time.Now()
	for range size {
		if _, err := f.start(); err != nil {
			return row{}, err
		}
	}
	if _, err := waitFor(ctx, settleTimeout, f.settled); err != nil {
		return row{}, err
	}
	fmt.Fprintf(out, "\n## %d hosts\n\nAll %d started cold at once and complete after %s.\n\n", size, size, seconds(time.Since(began)))
	number := uint64(1)
	fmt.Fprintln(out, "| acceptance to force | samples | p50 | p99 | max |\n|---|---|---|---|---|")
	for _, c := range conditions {
		times, err := f.spreadTimes(ctx, c, number, opts.Tickets)
		if err != nil {
			return row{}, err
		}
		number += uint64(opts.Tickets)
		writeTimes(out, c.name, times)
	}
	r, err := f.costs(ctx, opts, number)
	if err != nil {
		return row{}, err
	}
	number += uint64(opts.Tickets)
	return r, f.faults(ctx, number-1, out)
}

// costs measures the idle cost and that of changes.
func (f *fleet) costs(ctx context.Context, opts Options, first uint64) (row, error) {
	r := row{hosts: len(f.hosts)}
	if _, err := waitFor(ctx, settleTimeout, f.settled); err != nil {
		return r, err
	}
	time.Sleep(2 * betweenTickets)
	since := f.usage()
	time.Sleep(opts.Idle)
	r.idle = f.cost(since)
	since = f.usage()
	if _, err := f.spreadTimes(ctx, conditions[0], first, opts.Tickets); err != nil {
		return r, err
	}
	busy := f.cost(since)
	perChange := time.Since(since.at).Seconds() / float64(opts.Tickets)
	r.design = atDesignRate(r.idle, busy, perChange)
	return r, nil
}

// faults measures starts and the noticing of dead hosts.
func (f *fleet) faults(ctx context.Context, newest uint64, out io.Writer) error {
	fmt.Fprintln(out, "\n| fault or start | samples | p50 | p99 | max |\n|---|---|---|---|---|")
	up, err := f.startTime(ctx, newest)
	if err != nil {
		return err
	}
	writeTimes(out, "start to ready, store up", []time.Duration{up})
	f.seeds = []string{f.hosts[0].server.Addr(), f.hosts[1].server.Addr()}
	f.table.down.Store(true)
	down, err := f.startTime(ctx, newest)
	f.table.down.Store(false)
	if err != nil {
		return err
	}
	writeTimes(out, "start to ready, store down", []time.Duration{down})
	if _, err := waitFor(ctx, settleTimeout, f.settled); err != nil {
		return err
	}
	var all []time.Duration
	for range 3 {
		times, err := f.detect(ctx)
		if err != nil {
			return err
		}
		all = append(all, times...)
	}
	writeTimes(out, "dead host noticed by every other", all)
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

// column is one figure of the cost tables.
type column struct {
	name string
	of   func(Cost) float64
}

var columns = []column{
	{"bytes sent/s per host", func(c Cost) float64 { return c.Bytes }},
	{"messages sent/s per host", func(c Cost) float64 { return c.Messages }},
	{"% of a core per host", func(c Cost) float64 { return 100 * c.Core }},
	{"store reads/s of all", func(c Cost) float64 { return c.Reads }},
	{"store writes/s of all", func(c Cost) float64 { return c.Writes }},
}

// writeCosts writes the costs at each size and the fitted lines.
func writeCosts(out io.Writer, rows []row) {
	writeCostTable(out, "idle", rows, func(r row) Cost { return r.idle })
	writeCostTable(out, fmt.Sprintf("%d changes a day", changesADay), rows, func(r row) Cost { return r.design })
}

func writeCostTable(out io.Writer, name string, rows []row, of func(row) Cost) {
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
			fmt.Fprintf(out, " %.3f |", c.of(of(r)))
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
			values[i] = c.of(of(r))
		}
		intercept, slope := stat.LinearRegression(hosts, values, nil, false)
		fmt.Fprintf(out, " %.4f, %.2f |", slope, intercept+slope*designSize)
	}
	fmt.Fprintln(out)
}
