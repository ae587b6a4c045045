package credit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalknot/process/slots"
)

// step does one random thing: mostly traffic, with faults in between.
func (w *world) step(t *rapid.T) {
	h := w.hosts[rapid.IntRange(0, worldHosts-1).Draw(t, "host")]
	share := rapid.IntRange(0, 100).Draw(t, "delivered percent")
	switch kind := rapid.IntRange(0, 29).Draw(t, "step"); kind {
	default:
		w.traffic(share)
	case 8, 9, 10, 11:
		w.pass(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
	case 12, 13:
		w.pass(time.Duration(rapid.IntRange(900, 4000).Draw(t, "ms")) * time.Millisecond)
	case 14, 15, 16:
		h.readRow()
		h.claim()
		h.pledge()
		w.deliverShare(share)
	case 17:
		h.release()
	case 18:
		h.elect(rapid.Bool().Draw(t, "answer lost"))
	case 19:
		h.start(Process{Host: h.self.Host, Incarnation: h.self.Incarnation + 1})
	case 20, 21:
		h.paused = !h.paused
	case 22:
		w.down = !w.down
	case 23:
		w.deliver(true)
	case 24:
		w.mail = nil
	case 25:
		w.finish()
	case 26:
		h.readRow()
	case 27:
		w.pass(ShortHold)
	}
}

// traffic lets every host that is not paused hold its right, borrow and send,
// with a share of all messages delivered.
func (w *world) traffic(share int) {
	for _, h := range w.hosts {
		if h.paused {
			continue
		}
		h.pledge()
		h.giveUp()
		h.borrow()
	}
	w.deliverShare(share)
	for _, h := range w.hosts {
		if h.paused {
			continue
		}
		h.adopt()
		for range 4 {
			h.begin()
		}
	}
}

// deliverShare delivers a share of the waiting messages and of their answers.
func (w *world) deliverShare(percent int) {
	for range len(w.mail) * 2 * percent / 100 {
		w.deliver(false)
	}
}

// settle ends all faults and lets every host work as it should.
func (w *world) settle(steps int) {
	w.down = false
	for _, h := range w.hosts {
		h.paused = false
	}
	for range steps {
		for _, h := range w.hosts {
			h.readRow()
			if w.row.Epoch == 0 || w.row.Released || (w.row.Owner.Host == h.self.Host && h.tenure == nil) {
				h.claim()
			}
			h.pledge()
			w.flush()
			h.adopt()
			h.giveUp()
			h.borrow()
			w.flush()
			h.begin()
		}
		w.finish()
		w.pass(200 * time.Millisecond)
	}
}

func (w *world) flush() {
	for len(w.mail) > 0 {
		w.deliver(false)
	}
}

// TestInFlightNeverExceedsSlots drives the whole system through random order,
// loss, repetition, pauses, restarts, store outages and racing granters.
func TestInFlightNeverExceedsSlots(t *testing.T) {
	begun := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		if rapid.Bool().Draw(t, "warm") {
			w.settle(40)
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			w.step(t)
			if fault := w.fault(); fault != "" {
				t.Fatal(fault)
			}
		}
		w.settle(100)
		before := w.begun
		w.settle(100)
		if w.begun == before {
			t.Fatalf("no request begins after all faults have ended; row %+v", w.row)
		}
		if fault := w.fault(); fault != "" {
			t.Fatal(fault)
		}
		begun += w.begun
	})
	if begun == 0 {
		t.Fatal("no request was begun in any run")
	}
}

// pair is one granter with the right to grant and one holder.
func pair() (*Granter, *Holder, Process, time.Time) {
	now := time.Unix(1000, 0)
	self := Process{Host: "g", Incarnation: 1}
	g := NewGranter(self)
	for _, target := range worldTargets {
		g.Adopt(now, Capacity{Target: target, Slots: 3, LongSlots: 1}, Right{Partition: "p", Epoch: 1}, Wait{})
	}
	return g, NewHolder(Process{Host: "h", Incarnation: 1}), self, now
}

func always(slots.Target) bool { return true }

// exchange sends one message and its answer without loss.
func exchange(now time.Time, g *Granter, h *Holder) {
	args, _ := h.Compose(now, g.self, always)
	reply := g.Borrow(now, args, always)
	h.Deliver(now, g.self, args.Seq, &reply)
}

func TestLapsedLoanIsNotUsed(t *testing.T) {
	g, h, _, now := pair()
	h.Want(now, DemandKey{Service: "s"}, []string{"a"})
	exchange(now, g, h)
	if _, ok := h.Take(now.Add(Term), worldTargets[0], slots.Short); ok {
		t.Fatal("a lapsed loan was used")
	}
	if _, ok := h.Take(now.Add(Term-1), worldTargets[0], slots.Short); !ok {
		t.Fatal("a loan within its term was refused")
	}
}

func TestLateAnswerLendsNothing(t *testing.T) {
	g, h, self, now := pair()
	h.Want(now, DemandKey{Service: "s"}, []string{"a"})
	args, _ := h.Compose(now, self, always)
	reply := g.Borrow(now, args, always)
	h.Lost(self, args.Seq)
	exchange(now, g, h)
	h.Deliver(now, self, args.Seq, &reply)
	lent := g.pools[worldTargets[0]].total
	if free := h.Spot(now, worldTargets[0], slots.Short).Free; free != lent || lent != 3 {
		t.Fatalf("%d loans held and %d lent, want only the 3 of the second message", free, lent)
	}
	if again := g.Borrow(now, args, always); !again.Stale {
		t.Fatal("a repeated message was taken in")
	}
}

func TestUnusedLoanGoesToTheHolderThatWaits(t *testing.T) {
	g, h, _, now := pair()
	key := DemandKey{Service: "s"}
	for range 6 {
		h.Want(now, key, []string{"a", "b"})
	}
	exchange(now, g, h)
	other := NewHolder(Process{Host: "other", Incarnation: 1})
	other.Want(now, key, []string{"a", "b"})
	exchange(now, g, other)
	if other.Spot(now, worldTargets[0], slots.Short).Free+other.Spot(now, worldTargets[1], slots.Short).Free != 0 {
		t.Fatal("more slots were lent than there are")
	}
	exchange(now, g, h)
	exchange(now, g, h)
	exchange(now, g, other)
	got := other.Spot(now, worldTargets[0], slots.Short).Free + other.Spot(now, worldTargets[1], slots.Short).Free
	if got != 1+spareWhileWaiting {
		t.Fatalf("the holder that waits got %d of the slots that were given back, want %d", got, 1+spareWhileWaiting)
	}
}

func TestLongWorkLeavesSlotsToShortWork(t *testing.T) {
	g, h, _, now := pair()
	for range 6 {
		h.Want(now, DemandKey{Service: "s", Lane: slots.Long}, []string{"a"})
	}
	exchange(now, g, h)
	if free := h.Spot(now, worldTargets[0], slots.Long).Free; free != 1 {
		t.Fatalf("%d long loans, want 1", free)
	}
}

func TestFreshElectorStaysSilent(t *testing.T) {
	start := time.Unix(1000, 0)
	later := start.Add(withDrift(PromiseTerm))
	e := NewElector(start)
	if e.Promise(later, Pledge{Partition: "p", Epoch: 2}) {
		t.Fatal("promised without having read the rows")
	}
	e.Informed()
	if e.Promise(later.Add(-1), Pledge{Partition: "p", Epoch: 2}) {
		t.Fatal("promised while a predecessor's promise may last")
	}
	if !e.Promise(later, Pledge{Partition: "p", Epoch: 2}) {
		t.Fatal("no promise although nothing stands against it")
	}
	if e.Promise(later, Pledge{Partition: "p", Epoch: 3}) {
		t.Fatal("consented to a new epoch while the promise to the old one lasts")
	}
	if e.Promise(later.Add(withDrift(PromiseTerm)), Pledge{Partition: "p", Epoch: 2}) {
		t.Fatal("renewed the promise to an epoch after hearing of a later one")
	}
	fresh := NewElector(start)
	fresh.Informed()
	if !fresh.Promise(start, Pledge{Partition: "p", Epoch: 1}) || !fresh.Promise(start, Pledge{Partition: "q", Epoch: 3, Released: 2}) {
		t.Fatal("an epoch that supersedes no other has to wait")
	}
}
