package credit

import (
	"time"

	"quetzalknot/process/slots"
)

const (
	// idleReturn is how long an unused loan is kept while nobody else waits.
	idleReturn = Term
	// demandLife is how long an unmet demand is kept before its requests are asked again.
	demandLife = 250 * time.Millisecond
	// spareWhileWaiting is how many slots are wanted besides those of the requests
	// that wait, since more may stand behind them in a queue.
	spareWhileWaiting = 3
	// maxDemand bounds how many slots are asked for at once.
	maxDemand = 16
)

// Holder uses the slots that granters lent to this process. It is not safe for
// concurrent use; the time, on the monotonic clock, is passed in.
type Holder struct {
	self    Process
	lines   map[Process]*line
	targets map[slots.Target]*held
	demands map[DemandKey]*demand
}

// line is the conversation with one granting process.
type line struct {
	seq     uint64
	sentAt  time.Time
	waiting bool
	scarce  bool
	loans   map[LoanID]*credit
	// offered are the loans listed in the message under way.
	offered []LoanID
}

// held are the loans of one target.
type held struct {
	credits []*credit
	busy    int
	// epoch is the newest granting epoch seen.
	epoch uint64
}

// credit is a loan as the holder keeps it.
type credit struct {
	Loan
	granter Process
	expires time.Time
	busy    bool
	usedAt  time.Time
	gone    bool
}

// DemandKey names a kind of slot that requests wait for.
type DemandKey struct {
	Service string
	Lane    slots.Lane
}

type demand struct {
	targets []string
	count   int
	spare   bool
	since   time.Time
}

// NewHolder returns a holder without loans.
func NewHolder(self Process) *Holder {
	return &Holder{
		self: self, lines: make(map[Process]*line),
		targets: make(map[slots.Target]*held), demands: make(map[DemandKey]*demand),
	}
}

// Spot returns how many requests of a lane may be sent to a target now, and how
// many this process has in flight there.
func (h *Holder) Spot(now time.Time, target slots.Target, lane slots.Lane) slots.Spot {
	at := h.targets[target]
	if at == nil {
		return slots.Spot{}
	}
	free := 0
	for _, c := range at.credits {
		if c.usable(now, lane) {
			free++
		}
	}
	return slots.Spot{Free: free, InFlight: at.busy}
}

func (c *credit) usable(now time.Time, lane slots.Lane) bool {
	return !c.busy && c.Lane == lane && now.Before(c.expires)
}

// Take uses one loan of a target. The term is checked here, at the moment of
// use. The slot may stay occupied until now plus Hold(lane).
func (h *Holder) Take(now time.Time, target slots.Target, lane slots.Lane) (*credit, bool) {
	at := h.targets[target]
	if at == nil {
		return nil, false
	}
	for _, c := range at.credits {
		if c.usable(now, lane) {
			c.busy = true
			c.usedAt = now
			at.busy++
			return c, true
		}
	}
	return nil, false
}

// Release ends the use of a loan.
func (h *Holder) Release(now time.Time, c *credit) {
	if !c.busy {
		return
	}
	c.busy = false
	c.usedAt = now
	h.targets[c.Target].busy--
	if !now.Before(c.expires) {
		h.remove(c)
	}
}

// Want notes that a request found no room at any of the targets.
func (h *Holder) Want(now time.Time, key DemandKey, targets []string) {
	d := h.demand(now, key, targets)
	d.count = min(d.count+1, maxDemand)
}

// Spare notes that the last unused loan was taken, so that the next request
// would find no room.
func (h *Holder) Spare(now time.Time, key DemandKey, targets []string) {
	h.demand(now, key, targets).spare = true
}

func (h *Holder) demand(now time.Time, key DemandKey, targets []string) *demand {
	d := h.demands[key]
	if d == nil {
		d = &demand{since: now}
		h.demands[key] = d
	}
	d.targets = targets
	return d
}

// waiting reports whether requests wait for a kind of slot.
func (h *Holder) waiting(key DemandKey) bool {
	d := h.demands[key]
	return d != nil && d.count > 0
}

// waitedSince reports whether requests have waited for a kind of slot since a time.
func (h *Holder) waitedSince(key DemandKey, t time.Time) bool {
	d := h.demands[key]
	return d != nil && d.count > 0 && !d.since.After(t)
}

// Lapsed forgets the demands that were not met in demandLife and returns their services.
func (h *Holder) Lapsed(now time.Time) []string {
	var services []string
	for key, d := range h.demands {
		if now.Sub(d.since) < demandLife {
			continue
		}
		delete(h.demands, key)
		if d.count > 0 {
			services = append(services, key.Service)
		}
	}
	return services
}

// Demands returns the kinds of slots that are wanted, with their targets.
func (h *Holder) Demands() map[DemandKey][]string {
	wanted := make(map[DemandKey][]string, len(h.demands))
	for key, d := range h.demands {
		wanted[key] = d.targets
	}
	return wanted
}

// Compose returns the next message to a granter: all that is kept of its loans,
// and the demand for its targets. Loans that are not needed are left out, which
// gives them back. ok is false while an answer is awaited.
func (h *Holder) Compose(now time.Time, granter Process, owned func(slots.Target) bool) (args *BorrowArgs, ok bool) {
	l := h.line(granter)
	if l.waiting {
		return nil, false
	}
	l.seq++
	l.sentAt = now
	l.waiting = true
	args = &BorrowArgs{Holder: h.self, Granter: granter, Seq: l.seq}
	for _, c := range l.loans {
		if !c.busy && h.unneeded(now, l, c) {
			h.remove(c)
			continue
		}
		args.Have = append(args.Have, c.ID)
	}
	l.offered = args.Have
	for key, d := range h.demands {
		want := Want{Service: key.Service, Lane: key.Lane, Count: d.count}
		if d.spare {
			want.Spare = 1
		}
		if d.count > 0 {
			want.Spare = spareWhileWaiting
		}
		for _, name := range d.targets {
			if owned(slots.Target{Service: key.Service, Name: name}) {
				want.Targets = append(want.Targets, name)
			}
		}
		if len(want.Targets) > 0 {
			args.Wants = append(args.Wants, want)
		}
	}
	return args, true
}

func (h *Holder) unneeded(now time.Time, l *line, c *credit) bool {
	if !now.Before(c.expires) {
		return true
	}
	if h.waiting(DemandKey{Service: c.Target.Service, Lane: c.Lane}) {
		return false
	}
	return l.scarce || now.Sub(c.usedAt) >= idleReturn
}

// Deliver takes in the answer to the message with a sequence number. A late
// answer is ignored: the granter has taken its loans back. It returns the
// services that have new room.
func (h *Holder) Deliver(now time.Time, granter Process, seq uint64, reply *BorrowReply) []string {
	l := h.line(granter)
	if !l.waiting || l.seq != seq {
		return nil
	}
	l.waiting = false
	if reply.Stale {
		return nil
	}
	l.scarce = reply.Scarce
	expires := l.sentAt.Add(Term)
	for _, id := range l.offered {
		if c := l.loans[id]; c != nil {
			c.expires = maxTime(c.expires, expires)
		}
	}
	for _, id := range reply.Refused {
		if c := l.loans[id]; c != nil {
			c.expires = time.Time{}
			h.dropIdle(c)
		}
	}
	var services []string
	for _, loan := range reply.Loans {
		if h.add(now, l, granter, loan, expires) {
			services = append(services, loan.Target.Service)
		}
	}
	return services
}

// Lost ends the wait for the answer to a message that failed or timed out.
func (h *Holder) Lost(granter Process, seq uint64) {
	if l := h.line(granter); l.seq == seq {
		l.waiting = false
	}
}

func (h *Holder) add(now time.Time, l *line, granter Process, loan Loan, expires time.Time) bool {
	at := h.targets[loan.Target]
	if at == nil {
		at = &held{}
		h.targets[loan.Target] = at
	}
	if loan.Epoch < at.epoch || !now.Before(expires) {
		return false
	}
	if loan.Epoch > at.epoch {
		at.epoch = loan.Epoch
		h.dropOlder(at)
	}
	c := &credit{Loan: loan, granter: granter, expires: expires, usedAt: now}
	l.loans[loan.ID] = c
	at.credits = append(at.credits, c)
	h.met(DemandKey{Service: loan.Target.Service, Lane: loan.Lane})
	return true
}

func (h *Holder) met(key DemandKey) {
	d := h.demands[key]
	if d == nil {
		return
	}
	if d.count > 0 {
		d.count--
	} else {
		d.spare = false
	}
	if d.count == 0 && !d.spare {
		delete(h.demands, key)
	}
}

// dropOlder gives up the unused loans of earlier epochs of a target.
func (h *Holder) dropOlder(at *held) {
	for _, c := range append([]*credit(nil), at.credits...) {
		if c.Epoch < at.epoch {
			c.expires = time.Time{}
			h.dropIdle(c)
		}
	}
}

func (h *Holder) dropIdle(c *credit) {
	if !c.busy {
		h.remove(c)
	}
}

func (h *Holder) remove(c *credit) {
	if c.gone {
		return
	}
	c.gone = true
	delete(h.line(c.granter).loans, c.ID)
	at := h.targets[c.Target]
	for i, other := range at.credits {
		if other == c {
			at.credits = append(at.credits[:i], at.credits[i+1:]...)
			break
		}
	}
}

func (h *Holder) line(granter Process) *line {
	l := h.lines[granter]
	if l == nil {
		l = &line{loans: make(map[LoanID]*credit)}
		h.lines[granter] = l
	}
	return l
}

// Abandon lets every unused loan lapse, so that the next messages give them back.
func (h *Holder) Abandon() {
	clear(h.demands)
	for _, l := range h.lines {
		for _, c := range l.loans {
			c.expires = time.Time{}
		}
	}
}

// Granters returns the granting processes whose loans are kept.
func (h *Holder) Granters() []Process {
	var granters []Process
	for granter, l := range h.lines {
		if len(l.loans) > 0 {
			granters = append(granters, granter)
		}
	}
	return granters
}

// Pressed returns the granters that should hear at once that unused loans are
// given back, because others wait for them.
func (h *Holder) Pressed(now time.Time) []Process {
	var granters []Process
	for granter, l := range h.lines {
		if !l.scarce || l.waiting {
			continue
		}
		for _, c := range l.loans {
			if !c.busy && h.unneeded(now, l, c) {
				granters = append(granters, granter)
				break
			}
		}
	}
	return granters
}
