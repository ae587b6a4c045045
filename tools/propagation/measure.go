package propagation

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
	// convergenceTimeout limits the wait until the cluster has converged.
	convergenceTimeout = 90 * time.Second
	// waitTimeout limits the wait for one ticket, for the detection of a dead host, and for
	// the start of a host.
	waitTimeout = 60 * time.Second
	// ticketPause is the time after a ticket for gossip to become idle again.
	ticketPause = 4 * time.Second
	// changesPerDay is the number of tickets a day at the design size.
	changesPerDay = 710
	secondsPerDay = 24 * 60 * 60
	// messageLossPerMille is the share of lost messages in each direction, in thousandths.
	messageLossPerMille = 300
)

// sampleTicket returns a ticket of typical size: one service with 20 targets.
func sampleTicket(number uint64) (state.Record, error) {
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

// acceptTicket writes a ticket to the store and returns the time of acceptance. The host
// submitTo publishes the ticket, as after a submission there; if it is nil, hosts get the
// ticket only by polling the store.
func (c *cluster) acceptTicket(ctx context.Context, number uint64, submitTo *host) (time.Time, error) {
	r, err := sampleTicket(number)
	if err != nil {
		return time.Time{}, err
	}
	accepted, err := store.New(c.table.Table).Submit(ctx, r)
	if err != nil {
		return time.Time{}, err
	}
	start := time.Now()
	if submitTo != nil {
		if delta := submitTo.tickets.Add(accepted); delta != nil {
			submitTo.engine.Publish("tickets", delta)
		}
	}
	return start, nil
}

// waitInForce waits until a ticket is in force on every host, and returns the time since
// acceptance for each host.
func (c *cluster) waitInForce(ctx context.Context, number uint64, accepted time.Time) ([]time.Duration, error) {
	var times []time.Duration
	_, err := waitFor(ctx, waitTimeout, func() bool {
		times = times[:0]
		for _, h := range c.hosts {
			at, ok := h.inForceTime(number)
			if !ok {
				return false
			}
			times = append(times, at.Sub(accepted))
		}
		return true
	})
	return times, err
}

// condition is the state of the platform and of the network while a ticket propagates.
type condition struct {
	name string
	// pollersOnly means that no host publishes the ticket, as if the accepting host had died.
	pollersOnly bool
	// storeDown makes the table service unavailable after acceptance.
	storeDown bool
	// lossPerMille is the share of lost messages in each direction, in thousandths.
	lossPerMille int64
}

var conditions = []condition{
	{name: "store up"},
	{name: "accepting host dies", pollersOnly: true},
	{name: "store down after acceptance", storeDown: true},
	{name: "30% of messages lost each way", lossPerMille: messageLossPerMille},
	{name: "store down, 30% lost each way", storeDown: true, lossPerMille: messageLossPerMille},
}

// propagationTimes submits tickets one by one, and returns the times from acceptance until
// each was in force on each host.
func (c *cluster) propagationTimes(ctx context.Context, cond condition, first uint64, tickets int) ([]time.Duration, error) {
	var all []time.Duration
	defer c.lossPerMille.Store(0)
	defer c.table.unavailable.Store(false)
	for i := range tickets {
		var submitTo *host
		if !cond.pollersOnly {
			submitTo = c.hosts[c.rng.IntN(len(c.hosts))]
		}
		number := first + uint64(i)
		c.lossPerMille.Store(cond.lossPerMille)
		accepted, err := c.acceptTicket(ctx, number, submitTo)
		if err != nil {
			return nil, err
		}
		c.table.unavailable.Store(cond.storeDown)
		times, err := c.waitInForce(ctx, number, accepted)
		if err != nil {
			return nil, err
		}
		all = append(all, times...)
		c.lossPerMille.Store(0)
		c.table.unavailable.Store(false)
		time.Sleep(ticketPause)
	}
	return all, nil
}

// Cost is the cost of the control plane per second.
type Cost struct {
	// Bytes and Messages are those that one host sends.
	Bytes, Messages float64
	// CoreShare is the share of a processor core that one host uses.
	CoreShare float64
	// Reads and Writes are the operations on the store by all hosts together.
	Reads, Writes float64
}

// usageSample holds the counters at one time. A Cost is calculated from two samples.
type usageSample struct {
	at              time.Time
	bytes, messages int64
	reads, writes   int64
	cpu             time.Duration
}

func (c *cluster) sampleUsage() usageSample {
	u := usageSample{at: time.Now(), reads: c.table.reads.Load(), writes: c.table.writes.Load(), cpu: cpuTime()}
	u.bytes, u.messages = c.traffic()
	return u
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// cost returns the mean cost since an earlier sample. Bytes are those sent; all hosts
// together receive as many.
func (c *cluster) cost(before usageSample) Cost {
	now := c.sampleUsage()
	seconds := now.at.Sub(before.at).Seconds()
	perHost := seconds * float64(len(c.hosts))
	return Cost{
		Bytes: float64(now.bytes-before.bytes) / perHost, Messages: float64(now.messages-before.messages) / perHost,
		CoreShare: (now.cpu - before.cpu).Seconds() / perHost,
		Reads:     float64(now.reads-before.reads) / seconds, Writes: float64(now.writes-before.writes) / seconds,
	}
}

// atDesignRate returns the cost at changesPerDay. It scales the difference between the
// busy and the idle cost to that rate; busy was measured with one change every
// secondsPerChange. Store operations are those of the idle cost.
func atDesignRate(idle, busy Cost, secondsPerChange float64) Cost {
	share := changesPerDay * secondsPerChange / secondsPerDay
	return Cost{
		Bytes: idle.Bytes + (busy.Bytes-idle.Bytes)*share, Messages: idle.Messages + (busy.Messages-idle.Messages)*share,
		CoreShare: idle.CoreShare + (busy.CoreShare-idle.CoreShare)*share,
		Reads:     idle.Reads, Writes: idle.Writes,
	}
}

// detectionTimes stops a host without a graceful shutdown and returns, for every other
// host, the time until it considered the stopped host dead.
func (c *cluster) detectionTimes(ctx context.Context) ([]time.Duration, error) {
	i := c.rng.IntN(len(c.hosts))
	stopped := c.hosts[i]
	c.hosts = append(c.hosts[:i:i], c.hosts[i+1:]...)
	start := time.Now()
	stopped.stop()
	detected := make(map[string]time.Duration)
	_, err := waitFor(ctx, waitTimeout, func() bool {
		for _, h := range c.hosts {
			e, ok := h.members.Entry(stopped.name)
			if _, known := detected[h.name]; !known && (!ok || e.Status == membership.Dead) {
				detected[h.name] = time.Since(start)
			}
		}
		return len(detected) == len(c.hosts)
	})
	times := make([]time.Duration, 0, len(detected))
	for _, d := range detected {
		times = append(times, d)
	}
	return times, err
}

// startDuration adds a host and returns the time until its state is complete and contains the
// ticket with the given number.
func (c *cluster) startDuration(ctx context.Context, newest uint64) (time.Duration, error) {
	start := time.Now()
	h, err := c.start()
	if err != nil {
		return 0, err
	}
	_, err = waitFor(ctx, waitTimeout, func() bool { return h.engine.Complete() && h.state.Newest() >= newest })
	return time.Since(start), err
}
