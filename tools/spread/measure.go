package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"quetzalknot/process/membership"
	"quetzalknot/version/state"
	"quetzalknot/version/store"
)

const (
	// settleTimeout bounds the time until a new fleet is complete.
	settleTimeout = 90 * time.Second
	// arriveTimeout bounds the wait for one ticket or verdict.
	arriveTimeout = 60 * time.Second
	// betweenTickets lets the spread come to rest.
	betweenTickets = 4 * time.Second
	// changesADay is the number of tickets to design for.
	changesADay   = 710
	secondsPerDay = 24 * 60 * 60
	// lossShare is the share of lost messages, in thousandths, each way.
	lossShare = 300
)

// ticketOf returns a ticket of the usual size: one service with 20 targets.
func ticketOf(number uint64) (state.Record, error) {
	type target struct {
		Name, Addr, Region string
		Slots              int
	}
	targets := make([]target, 20)
	for i := range targets {
		targets[i] = target{Name: fmt.Sprintf("bokun-%02d", i), Addr: fmt.Sprintf("192.0.2.%d:9000", i), Region: "region-0", Slots: 6}
	}
	name := fmt.Sprintf("service-%d", number%10)
	body, err := json.Marshal(struct {
		Name    string   `json:"name"`
		Targets []target `json:"targets"`
	}{name, targets})
	key := state.Key{Kind: state.KindService, Name: name}
	return state.Record{
		Number: number, Operator: "lab", AcceptedAt: time.Now(), Content: fmt.Sprintf("%064d", number),
		Objects: []state.Object{{Key: key, Body: body}},
	}, err
}

// accept stores a ticket and gives it to one host as after a submission there, or,
// with no host, leaves it to the pollers.
func (f *fleet) accept(ctx context.Context, number uint64, at *host) (time.Time, error) {
	r, err := ticketOf(number)
	if err != nil {
		return time.Time{}, err
	}
	accepted, err := store.New(f.table.Table).Submit(ctx, r)
	if err != nil {
		return time.Time{}, err
	}
	began := time.Now()
	if at != nil {
		if delta := at.tickets.Add(accepted); delta != nil {
			at.engine.Publish("tickets", delta)
		}
	}
	return began, nil
}

// arrivals waits until a ticket is in force at every host and returns the times.
func (f *fleet) arrivals(ctx context.Context, number uint64, began time.Time) ([]time.Duration, error) {
	var times []time.Duration
	_, err := waitFor(ctx, arriveTimeout, func() bool {
		times = times[:0]
		for _, h := range f.hosts {
			at, ok := h.arrivedAt(number)
			if !ok {
				return false
			}
			times = append(times, at.Sub(began))
		}
		return true
	})
	return times, err
}

// condition is how the platform and the network are while tickets spread.
type condition struct {
	name string
	// pollOnly leaves the ticket to the pollers, as when the accepting host dies.
	pollOnly bool
	// down takes the table service away after acceptance.
	down bool
	// loss is in thousandths each way.
	loss int64
}

var conditions = []condition{
	{name: "store up"},
	{name: "accepting host dies", pollOnly: true},
	{name: "store down after acceptance", down: true},
	{name: "30% of messages lost each way", loss: lossShare},
	{name: "store down, 30% lost each way", down: true, loss: lossShare},
}

// spreadTimes measures acceptance to force at every host for some tickets.
func (f *fleet) spreadTimes(ctx context.Context, c condition, first uint64, tickets int) ([]time.Duration, error) {
	var all []time.Duration
	defer f.loss.Store(0)
	defer f.table.down.Store(false)
	for i := range tickets {
		var at *host
		if !c.pollOnly {
			at = f.hosts[f.rng.IntN(len(f.hosts))]
		}
		number := first + uint64(i)
		f.loss.Store(c.loss)
		began, err := f.accept(ctx, number, at)
		if err != nil {
			return nil, err
		}
		f.table.down.Store(c.down)
		times, err := f.arrivals(ctx, number, began)
		if err != nil {
			return nil, err
		}
		all = append(all, times...)
		f.loss.Store(0)
		f.table.down.Store(false)
		time.Sleep(betweenTickets)
	}
	return all, nil
}

// Cost is what the control of one host takes a second.
type Cost struct {
	Bytes, Messages float64
	// Core is the share of a processor core.
	Core float64
	// Reads and Writes are the store's operations a second of all hosts.
	Reads, Writes float64
}

// usage is the counters from which a Cost follows.
type usage struct {
	at              time.Time
	bytes, messages int64
	reads, writes   int64
	processor       time.Duration
}

func (f *fleet) usage() usage {
	u := usage{at: time.Now(), reads: f.table.reads.Load(), writes: f.table.writes.Load(), processor: processorTime()}
	u.bytes, u.messages = f.traffic()
	return u
}

func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// cost returns the cost of a host since an earlier usage. Bytes are those sent;
// over all hosts as many are received.
func (f *fleet) cost(since usage) Cost {
	now := f.usage()
	seconds := now.at.Sub(since.at).Seconds()
	perHost := seconds * float64(len(f.hosts))
	return Cost{
		Bytes: float64(now.bytes-since.bytes) / perHost, Messages: float64(now.messages-since.messages) / perHost,
		Core:  (now.processor - since.processor).Seconds() / perHost,
		Reads: float64(now.reads-since.reads) / seconds, Writes: float64(now.writes-since.writes) / seconds,
	}
}

// atDesignRate adds the cost of changes at 710 a day, from the measured cost of a change.
func atDesignRate(idle, busy Cost, secondsPerChange float64) Cost {
	share := changesADay * secondsPerChange / secondsPerDay
	return Cost{
		Bytes: idle.Bytes + (busy.Bytes-idle.Bytes)*share, Messages: idle.Messages + (busy.Messages-idle.Messages)*share,
		Core:  idle.Core + (busy.Core-idle.Core)*share,
		Reads: idle.Reads, Writes: idle.Writes,
	}
}

// detect stops a host without notice and returns, for every other, how long it
// took until that counted it as dead.
func (f *fleet) detect(ctx context.Context) ([]time.Duration, error) {
	i := f.rng.IntN(len(f.hosts))
	victim := f.hosts[i]
	f.hosts = append(f.hosts[:i:i], f.hosts[i+1:]...)
	began := time.Now()
	victim.stop()
	seen := make(map[string]time.Duration)
	_, err := waitFor(ctx, arriveTimeout, func() bool {
		for _, h := range f.hosts {
			e, ok := h.members.Entry(victim.name)
			if _, known := seen[h.name]; !known && (!ok || e.Status == membership.Dead) {
				seen[h.name] = time.Since(began)
			}
		}
		return len(seen) == len(f.hosts)
	})
	times := make([]time.Duration, 0, len(seen))
	for _, d := range seen {
		times = append(times, d)
	}
	return times, err
}

// startTime adds a host and returns the time from its start until it is fit to serve.
func (f *fleet) startTime(ctx context.Context, newest uint64) (time.Duration, error) {
	began := time.Now()
	h, err := f.start()
	if err != nil {
		return 0, err
	}
	_, err = waitFor(ctx, arriveTimeout, func() bool { return h.engine.Whole() && h.state.Newest() >= newest })
	return time.Since(began), err
}
