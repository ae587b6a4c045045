package credit

import (
	"cmp"
	"slices"
	"time"

	"quetzalknot/process/slots"
)

// hungerLife is how long a holder that got less than it wanted keeps its place in line.
const hungerLife = 100 * time.Millisecond

// bookLife is how long a silent holder without loans is remembered.
const bookLife = time.Minute

// Granter lends the slots of the targets that it was given. It is not safe for
// concurrent use; the time is passed in.
type Granter struct {
	self    Process
	pools   map[slots.Target]*pool
	holders map[Process]*book
	// hungry holds, by service, when each holder last got nothing.
	hungry map[string]map[Process]time.Time
	nextID LoanID
}

// pool counts the loans of one target.
type pool struct {
	epoch     uint64
	partition string
	slots     int
	long      int
	total     int
	totalLong int
	// shortAt and longAt are when the loans of an earlier granter have ended.
	shortAt time.Time
	longAt  time.Time
	// inherited are loans of the granter before that still occupy slots.
	inherited []inherited
	closed    bool
}

type inherited struct {
	lane  slots.Lane
	until time.Time
}

// book holds the loans of one holder.
type book struct {
	seq   uint64
	seen  time.Time
	loans map[LoanID]*lent
}

// lent is a loan as the granter keeps it.
type lent struct {
	Loan
	lentAt time.Time
	// until is when the slot is free again even if the holder says nothing.
	until time.Time
}

// NewGranter returns a granter without targets.
func NewGranter(self Process) *Granter {
	return &Granter{
		self: self, pools: make(map[slots.Target]*pool),
		holders: make(map[Process]*book), hungry: make(map[string]map[Process]time.Time),
	}
}

// Capacity is what may be lent of one target.
type Capacity struct {
	Target slots.Target
	Slots  int
	// LongSlots is how many of Slots long work may hold.
	LongSlots int
}

// Adopt opens a target in an epoch, or changes its capacity. wait is how much
// longer loans of an earlier granter may last.
func (g *Granter) Adopt(now time.Time, c Capacity, right Right, wait Wait) {
	p := g.pools[c.Target]
	if p == nil || p.epoch != right.Epoch {
		p = &pool{
			epoch: right.Epoch, partition: right.Partition,
			shortAt: now.Add(wait.Short), longAt: now.Add(wait.Long),
		}
		for _, b := range wait.busyAt(c.Target) {
			p.inherited = append(p.inherited, inherited{lane: b.Lane, until: now.Add(withDrift(b.Remain))})
		}
		g.pools[c.Target] = p
	}
	p.slots = c.Slots
	p.long = c.LongSlots
	p.closed = false
}

// Close ends lending of a target and keeps count of its loans.
func (g *Granter) Close(target slots.Target) {
	if p := g.pools[target]; p != nil {
		p.closed = true
	}
}

// Drop forgets a target that another granter has now.
func (g *Granter) Drop(target slots.Target) {
	delete(g.pools, target)
	for _, b := range g.holders {
		for id, l := range b.loans {
			if l.Target == target {
				delete(b.loans, id)
			}
		}
	}
}

// Settled reports whether every short loan of earlier granters has ended.
func (g *Granter) Settled(now time.Time, target slots.Target) bool {
	p := g.pools[target]
	return p == nil || !now.Before(p.shortAt)
}

// Busy is one slot that a loan still occupies.
type Busy struct {
	Target slots.Target
	Lane   slots.Lane
	// Remain is how much longer it may be occupied.
	Remain time.Duration
}

// Outstanding lists the occupied slots of a target.
func (g *Granter) Outstanding(now time.Time, target slots.Target) []Busy {
	g.sweep(now)
	p := g.pools[target]
	if p == nil {
		return nil
	}
	var busy []Busy
	for _, i := range p.inherited {
		busy = append(busy, Busy{Target: target, Lane: i.lane, Remain: i.until.Sub(now)})
	}
	if now.Before(p.longAt) {
		for range p.long {
			busy = append(busy, Busy{Target: target, Lane: slots.Long, Remain: p.longAt.Sub(now)})
		}
	}
	for _, b := range g.holders {
		for _, l := range b.loans {
			if l.Target == target && l.Epoch == p.epoch {
				busy = append(busy, Busy{Target: target, Lane: l.Lane, Remain: l.until.Sub(now)})
			}
		}
	}
	return busy
}

// Borrow takes in what a holder says, renews its loans and lends what it wants
// as far as there is room. allowed says whether this process has the right to
// grant for a target at this moment.
func (g *Granter) Borrow(now time.Time, args *BorrowArgs, allowed func(slots.Target) bool) BorrowReply {
	b := g.holders[args.Holder]
	if b == nil {
		b = &book{loans: make(map[LoanID]*lent)}
		g.holders[args.Holder] = b
	}
	if args.Granter != g.self || args.Seq <= b.seq {
		return BorrowReply{Stale: true}
	}
	b.seq = args.Seq
	b.seen = now
	g.takeBack(b, args.Have)
	g.sweep(now)
	reply := BorrowReply{Refused: g.renew(now, args.Holder, b, args.Have, allowed)}
	for _, want := range args.Wants {
		loans := g.lend(now, args.Holder, b, want, allowed)
		g.note(now, want, args.Holder, len(loans))
		reply.Loans = append(reply.Loans, loans...)
		reply.Scarce = reply.Scarce || g.waiting(now, want.Service, args.Holder) > 0
	}
	for service := range b.services() {
		reply.Scarce = reply.Scarce || g.waiting(now, service, args.Holder) > 0
	}
	return reply
}

func (b *book) services() map[string]int {
	counts := make(map[string]int)
	for _, l := range b.loans {
		counts[l.Target.Service]++
	}
	return counts
}

// takeBack frees the loans that the holder does not list.
func (g *Granter) takeBack(b *book, have []LoanID) {
	kept := make(map[LoanID]bool, len(have))
	for _, id := range have {
		kept[id] = true
	}
	for id, l := range b.loans {
		if !kept[id] {
			g.free(b, l)
		}
	}
}

// sweep frees the slots whose bound has passed.
func (g *Granter) sweep(now time.Time) {
	for holder, b := range g.holders {
		for _, l := range b.loans {
			if !now.Before(l.until) {
				g.free(b, l)
			}
		}
		if len(b.loans) == 0 && now.Sub(b.seen) > bookLife {
			delete(g.holders, holder)
		}
	}
	for _, p := range g.pools {
		p.inherited = slices.DeleteFunc(p.inherited, func(i inherited) bool { return !now.Before(i.until) })
	}
}

func (g *Granter) free(b *book, l *lent) {
	delete(b.loans, l.ID)
	p := g.pools[l.Target]
	if p == nil || p.epoch != l.Epoch {
		return
	}
	p.total--
	if l.Lane == slots.Long {
		p.totalLong--
	}
}

// renew lengthens the listed loans and returns those that it does not.
func (g *Granter) renew(now time.Time, holder Process, b *book, have []LoanID, allowed func(slots.Target) bool) []LoanID {
	var refused []LoanID
	counts := b.services()
	for _, id := range have {
		l := b.loans[id]
		if l == nil || !g.renewable(now, holder, l, counts[l.Target.Service], allowed) {
			refused = append(refused, id)
			continue
		}
		l.until = maxTime(l.until, now.Add(occupied(l.Lane)))
	}
	return refused
}

func (g *Granter) renewable(now time.Time, holder Process, l *lent, count int, allowed func(slots.Target) bool) bool {
	p := g.pools[l.Target]
	if p == nil || p.closed || p.epoch != l.Epoch || !allowed(l.Target) {
		return false
	}
	if p.total > p.slots {
		return false
	}
	if g.waiting(now, l.Target.Service, holder) == 0 {
		return true
	}
	return count <= g.fairShare(now, l.Target.Service) && now.Sub(l.lentAt) < Term
}

// fairShare is the part of a service's slots here that one holder may keep while
// others wait.
func (g *Granter) fairShare(now time.Time, service string) int {
	capacity := 0
	for t, p := range g.pools {
		if t.Service == service && !p.closed {
			capacity += p.slots
		}
	}
	holders := make(map[Process]bool)
	for holder, b := range g.holders {
		if b.services()[service] > 0 {
			holders[holder] = true
		}
	}
	for holder, last := range g.hungry[service] {
		if now.Sub(last) < hungerLife {
			holders[holder] = true
		}
	}
	return max(1, capacity/max(1, len(holders)))
}

// lend gives out what is wanted, at the least lent targets first. A holder that
// has its fair share leaves a slot for each holder that waits.
func (g *Granter) lend(now time.Time, holder Process, b *book, want Want, allowed func(slots.Target) bool) []Loan {
	room := g.roomOf(now, want, allowed)
	free := 0
	for _, r := range room {
		free += r.free
	}
	count := want.Count
	waiting := g.waiting(now, want.Service, holder)
	if waiting == 0 {
		count += want.Spare
	}
	if waiting > 0 && b.services()[want.Service] >= g.fairShare(now, want.Service) {
		free -= waiting
	}
	var loans []Loan
	for len(loans) < count && free > 0 {
		best := slices.MaxFunc(room, func(a, b targetRoom) int { return cmp.Compare(a.share(), b.share()) })
		if best.free <= 0 {
			break
		}
		loans = append(loans, g.lendOne(now, b, best.target, want.Lane))
		free--
		room = g.roomOf(now, want, allowed)
	}
	return loans
}

// targetRoom is how many slots of a target can be lent now.
type targetRoom struct {
	target slots.Target
	free   int
	slots  int
}

func (r targetRoom) share() float64 { return float64(r.free) / float64(max(1, r.slots)) }

func (g *Granter) roomOf(now time.Time, want Want, allowed func(slots.Target) bool) []targetRoom {
	room := make([]targetRoom, 0, len(want.Targets))
	for _, name := range want.Targets {
		t := slots.Target{Service: want.Service, Name: name}
		p := g.pools[t]
		if p == nil || p.closed || !allowed(t) {
			continue
		}
		room = append(room, targetRoom{target: t, free: p.free(now, want.Lane), slots: p.slots})
	}
	return room
}

// free returns how many slots of a lane can be lent.
func (p *pool) free(now time.Time, lane slots.Lane) int {
	if now.Before(p.shortAt) || (lane == slots.Long && now.Before(p.longAt)) {
		return 0
	}
	total, long := p.total, p.totalLong
	for _, i := range p.inherited {
		total++
		if i.lane == slots.Long {
			long++
		}
	}
	if now.Before(p.longAt) {
		total += p.long
	}
	free := p.slots - total
	if lane == slots.Long {
		free = min(free, p.long-long)
	}
	return max(0, free)
}

func (g *Granter) lendOne(now time.Time, b *book, target slots.Target, lane slots.Lane) Loan {
	p := g.pools[target]
	p.total++
	if lane == slots.Long {
		p.totalLong++
	}
	g.nextID++
	loan := Loan{ID: g.nextID, Target: target, Lane: lane, Epoch: p.epoch}
	b.loans[loan.ID] = &lent{Loan: loan, lentAt: now, until: now.Add(occupied(lane))}
	return loan
}

// occupied is how long a slot lent or renewed now may stay occupied.
func occupied(lane slots.Lane) time.Duration { return withDrift(Term + Hold(lane)) }

// note keeps a holder's place in line while it got nothing of what it waits for.
func (g *Granter) note(now time.Time, want Want, holder Process, got int) {
	line := g.hungry[want.Service]
	if line == nil {
		line = make(map[Process]time.Time)
		g.hungry[want.Service] = line
	}
	if got > 0 || want.Count == 0 {
		delete(line, holder)
		return
	}
	line[holder] = now
}

// waiting counts the other holders that wait for slots of a service.
func (g *Granter) waiting(now time.Time, service string, holder Process) int {
	n := 0
	for other, last := range g.hungry[service] {
		if other != holder && now.Sub(last) < hungerLife {
			n++
		}
	}
	return n
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
