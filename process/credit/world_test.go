package credit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalknot/process/slots"
)

// The sizes of the fake system: every host grants, elects and holds.
const (
	worldHosts     = 4
	worldSlots     = 3
	worldLongSlots = 1
)

var worldTargets = []slots.Target{{Service: "s", Name: "a"}, {Service: "s", Name: "b"}}

// world is a fake system of several hosts, one partition, a table service and a
// network that loses, repeats and reorders, on a fake clock.
type world struct {
	now      time.Time
	hosts    []*worldHost
	row      Row
	revision int64
	down     bool
	mail     []func()
	running  []*run
	rnd      *rand.Rand
	begun    int
}

// run is a request in flight at a target.
type run struct {
	target slots.Target
	lane   slots.Lane
	until  time.Time
	end    func()
}

type worldHost struct {
	w       *world
	self    Process
	granter *Granter
	holder  *Holder
	elector *Elector
	tenure  *Tenure
	paused  bool
	// read is the row that the host read last, at a revision.
	read     Row
	revision int64
}

func newWorld(seed uint64) *world {
	w := &world{now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(seed, 1))}
	for i := range worldHosts {
		h := &worldHost{w: w}
		w.hosts = append(w.hosts, h)
		h.start(Process{Host: fmt.Sprint("h", i), Incarnation: 1})
	}
	return w
}

func (h *worldHost) start(self Process) {
	*h = worldHost{
		w: h.w, self: self, granter: NewGranter(self), holder: NewHolder(self), elector: NewElector(h.w.now),
	}
}

func (w *world) host(name string) *worldHost {
	for _, h := range w.hosts {
		if h.self.Host == name {
			return h
		}
	}
	return nil
}

// send puts a message into the network.
func (w *world) send(to *worldHost, deliver func()) {
	incarnation := to.self.Incarnation
	w.mail = append(w.mail, func() {
		if to.self.Incarnation == incarnation && !to.paused {
			deliver()
		}
	})
}

// readRow reads the table service.
func (h *worldHost) readRow() {
	if h.w.down {
		return
	}
	h.read, h.revision = h.w.row, h.w.revision
	h.elector.Informed()
	h.elector.Saw("p", h.read.Epoch)
	if h.tenure != nil && h.tenure.Epoch != h.read.Epoch {
		h.lose()
	}
}

func (h *worldHost) lose() {
	h.tenure = nil
	for _, t := range worldTargets {
		h.granter.Drop(t)
	}
}

// commit writes the row if the host has read the newest one.
func (h *worldHost) commit(row Row) (written bool) {
	if h.w.down || h.revision != h.w.revision {
		return false
	}
	h.w.row = row
	h.w.revision++
	h.read, h.revision = row, h.w.revision
	return true
}

func (h *worldHost) claim() {
	predecessor := h.read
	row := ClaimRow(predecessor, h.self, []string{"h0", "h1", "h2"})
	if h.tenure == nil && h.commit(row) {
		h.tenure = NewTenure("p", row, predecessor)
	}
}

// release gives the epoch up with the list of occupied slots.
func (h *worldHost) release() {
	if h.tenure == nil || !h.tenure.Allowed(h.w.now) || h.read.Epoch != h.tenure.Epoch {
		return
	}
	row := h.read
	row.Released = true
	for _, t := range worldTargets {
		if !h.granter.Settled(h.w.now, t) {
			return
		}
		h.granter.Close(t)
		row.Busy = append(row.Busy, h.granter.Outstanding(h.w.now, t)...)
	}
	h.commit(row)
	h.lose()
}

// elect changes the electors. The answer of the write may be lost.
func (h *worldHost) elect(lost bool) {
	if h.tenure == nil || !h.tenure.Allowed(h.w.now) || h.read.Epoch != h.tenure.Epoch {
		return
	}
	row := h.read
	row.Electors = []string{h.self.Host, "h3", fmt.Sprint("h", h.w.rnd.IntN(worldHosts))}
	row.Electors = slices.Compact(row.Electors)
	h.tenure.Electing(row.Electors)
	if h.commit(row) && !lost {
		h.tenure.Elected(row.Electors)
	}
}

func (h *worldHost) pledge() {
	if h.tenure == nil {
		return
	}
	tenure, sent, pledge := h.tenure, h.w.now, h.tenure.Pledge()
	for _, name := range tenure.Electors() {
		elector := h.w.host(name)
		h.w.send(elector, func() {
			if elector.elector.Promise(h.w.now, pledge) {
				h.w.send(h, func() { tenure.Promised(h.w.now, name, sent) })
			}
		})
	}
}

func (h *worldHost) adopt() {
	if h.tenure == nil || !h.tenure.Allowed(h.w.now) {
		return
	}
	for _, t := range worldTargets {
		c := Capacity{Target: t, Slots: worldSlots, LongSlots: worldLongSlots}
		h.granter.Adopt(h.w.now, c, h.tenure.Right, h.tenure.Wait(h.w.now))
	}
}

func (h *worldHost) borrow() {
	lane := slots.Lane(h.w.rnd.IntN(2))
	h.holder.Want(h.w.now, DemandKey{Service: "s", Lane: lane}, []string{"a", "b"})
	for _, g := range h.w.hosts {
		if g.tenure == nil {
			continue
		}
		granter := g.self
		args, ok := h.holder.Compose(h.w.now, granter, func(slots.Target) bool { return true })
		if !ok {
			continue
		}
		h.w.send(g, func() {
			reply := g.granter.Borrow(h.w.now, args, g.allowed)
			h.w.send(h, func() { h.holder.Deliver(h.w.now, granter, args.Seq, &reply) })
		})
	}
}

func (h *worldHost) allowed(slots.Target) bool {
	return h.tenure != nil && h.tenure.Allowed(h.w.now)
}

// giveUp stops waiting for answers.
func (h *worldHost) giveUp() {
	for granter, l := range h.holder.lines {
		h.holder.Lost(granter, l.seq)
	}
}

func (h *worldHost) begin() {
	lane := slots.Lane(h.w.rnd.IntN(2))
	target := worldTargets[h.w.rnd.IntN(len(worldTargets))]
	c, ok := h.holder.Take(h.w.now, target, lane)
	if !ok {
		return
	}
	h.w.begun++
	holder := h.holder
	h.w.running = append(h.w.running, &run{
		target: target, lane: lane, until: h.w.now.Add(Hold(lane)),
		end: func() { holder.Release(h.w.now, c) },
	})
}

// pass lets time go by; requests end at their bound at the latest.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.running = slices.DeleteFunc(w.running, func(r *run) bool {
		if w.now.Before(r.until) {
			return false
		}
		r.end()
		return true
	})
}

func (w *world) finish() {
	if len(w.running) == 0 {
		return
	}
	i := w.rnd.IntN(len(w.running))
	w.running[i].end()
	w.running = slices.Delete(w.running, i, i+1)
}

// deliver takes one message from the network, in any order.
func (w *world) deliver(keep bool) {
	if len(w.mail) == 0 {
		return
	}
	i := w.rnd.IntN(len(w.mail))
	message := w.mail[i]
	if !keep {
		w.mail = slices.Delete(w.mail, i, i+1)
	}
	message()
}

// fault returns a broken bound, or an empty text.
func (w *world) fault() string {
	for _, t := range worldTargets {
		total, long := 0, 0
		for _, r := range w.running {
			if r.target != t {
				continue
			}
			total++
			if r.lane == slots.Long {
				long++
			}
		}
		if total > worldSlots || long > worldLongSlots {
			return fmt.Sprintf("target %s: %d in flight, %d of them long", t.Name, total, long)
		}
	}
	return ""
}
