package credit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalknot/process/slots"
)

const (
	// borrowInterval is the longest time between two looks at what is to be said.
	borrowInterval = 20 * time.Millisecond
	// renewAfter is the age of a message after which loans in use are renewed.
	renewAfter = Term / 2
	// borrowTimeout bounds one call to a granter.
	borrowTimeout = Term / 2
	// firstBackoff and lastBackoff bound the pause after a granter had nothing to lend.
	firstBackoff = 4 * time.Millisecond
	lastBackoff  = 32 * time.Millisecond
	// farAfter is how long requests wait for slots of their region before slots of
	// other regions are borrowed.
	farAfter = 50 * time.Millisecond
	// directoryLife is how long the list of granters is used before it is made anew.
	directoryLife = 200 * time.Millisecond
)

// backoff is the pause before a granter is asked for more slots again.
type backoff struct {
	wait  time.Duration
	until time.Time
}

func (s *Service) borrowLoop(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(borrowInterval)
	defer ticker.Stop()
	for {
		s.borrow(ctx, &calls)
		select {
		case <-ctx.Done():
			return
		case <-s.triggers:
		case <-ticker.C:
		}
	}
}

// message is one call that is about to be made.
type message struct {
	granter Host
	args    *BorrowArgs
}

// borrow sends what is to be said to each granter.
func (s *Service) borrow(ctx context.Context, calls *sync.WaitGroup) {
	s.mu.Lock()
	now := time.Now()
	for _, service := range s.holder.Lapsed(now) {
		s.wake(service)
	}
	messages := s.compose(now)
	s.mu.Unlock()
	for _, m := range messages {
		s.counters.borrows.Add(1)
		if m.granter.Process == s.self {
			reply := s.lend(m.args)
			s.deliver(m, &reply)
			continue
		}
		calls.Go(func() { s.call(ctx, m) })
	}
}

func (s *Service) call(ctx context.Context, m message) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var reply BorrowReply
	if err := s.opts.Caller.Call(ctx, m.granter.Addr, serviceName+".Borrow", m.args, &reply); err != nil {
		s.counters.failed.Add(1)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.holder.Lost(m.granter.Process, m.args.Seq)
		s.pause(time.Now(), m.granter.Process)
		return
	}
	s.deliver(m, &reply)
}

func (s *Service) deliver(m message, reply *BorrowReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	services := s.holder.Deliver(now, m.granter.Process, m.args.Seq, reply)
	for _, service := range services {
		s.wake(service)
	}
	if !m.args.waits() {
		return
	}
	if len(services) > 0 {
		delete(s.backoff, m.granter.Process)
	} else {
		s.pause(now, m.granter.Process)
	}
	if len(s.holder.demands) > 0 {
		s.trigger()
	}
}

// waits reports whether requests wait for an answer.
func (a *BorrowArgs) waits() bool {
	for _, w := range a.Wants {
		if w.Count > 0 {
			return true
		}
	}
	return false
}

// pause lets a granter rest that had nothing to lend. The pause grows, with jitter.
func (s *Service) pause(now time.Time, granter Process) {
	b := s.backoff[granter]
	b.wait = min(lastBackoff, max(firstBackoff, 2*b.wait))
	b.until = now.Add(b.wait/2 + rand.N(b.wait))
	s.backoff[granter] = b
}

// compose returns the messages that are due: to granters asked for slots, to
// those whose loans need renewal, and to those that want unused loans back.
func (s *Service) compose(now time.Time) []message {
	d := s.lookUp(now)
	due := make(map[Process]bool)
	for key, targets := range s.holder.Demands() {
		if granter, ok := s.nextGranter(now, key, targets, d.owners); ok {
			due[granter] = true
		}
	}
	for _, granter := range s.holder.Pressed(now) {
		due[granter] = true
	}
	for _, granter := range s.holder.Granters() {
		if now.Sub(s.holder.line(granter).sentAt) >= renewAfter {
			due[granter] = true
		}
	}
	var messages []message
	for granter := range due {
		host, live := d.hosts[granter]
		if !live {
			continue
		}
		owned := func(t slots.Target) bool { return d.owners[t] == granter }
		if args, ok := s.holder.Compose(now, granter, owned); ok {
			messages = append(messages, message{granter: host, args: args})
		}
	}
	return messages
}

// last returns the messages that give every unused loan back.
func (s *Service) last(now time.Time) []message {
	s.holder.Abandon()
	d := s.lookUp(now)
	var messages []message
	for _, granter := range s.holder.Granters() {
		host, live := d.hosts[granter]
		if !live || granter == s.self {
			continue
		}
		s.holder.Lost(granter, s.holder.line(granter).seq)
		if args, ok := s.holder.Compose(now, granter, func(slots.Target) bool { return false }); ok {
			messages = append(messages, message{granter: host, args: args})
		}
	}
	return messages
}

// nextGranter returns a granter of one of the targets that is not resting and
// not being asked: of this host's region if there is one, any otherwise, and then
// only for requests that have waited for farAfter.
func (s *Service) nextGranter(now time.Time, key DemandKey, targets []string, owners map[slots.Target]Process) (Process, bool) {
	region := s.opts.Self().Region
	var near, far []Process
	busy := false
	for _, name := range targets {
		t := slots.Target{Service: key.Service, Name: name}
		granter, known := owners[t]
		if !known {
			continue
		}
		isNear := s.regions[t] == region
		if now.Before(s.backoff[granter].until) || s.holder.line(granter).waiting {
			busy = busy || (isNear && s.holder.line(granter).waiting)
			continue
		}
		if isNear {
			near = append(near, granter)
			continue
		}
		far = append(far, granter)
	}
	if len(near) > 0 {
		return near[rand.IntN(len(near))], true
	}
	if len(far) > 0 && !busy && s.holder.waitedSince(key, now.Add(-farAfter)) {
		return far[rand.IntN(len(far))], true
	}
	return Process{}, false
}

// directory says which process grants which target, and where it is.
type directory struct {
	at     time.Time
	hosts  map[Process]Host
	owners map[slots.Target]Process
}

// lookUp returns the directory, made anew when it is older than directoryLife.
func (s *Service) lookUp(now time.Time) *directory {
	if s.directory != nil && now.Sub(s.directory.at) < directoryLife {
		return s.directory
	}
	d := &directory{at: now, hosts: make(map[Process]Host), owners: make(map[slots.Target]Process, len(s.homes))}
	for _, h := range s.opts.Hosts() {
		d.hosts[h.Process] = h
	}
	for t, partition := range s.homes {
		row := s.rows[partition]
		if row.Released || row.Epoch == 0 {
			continue
		}
		if _, live := d.hosts[row.Owner]; live {
			d.owners[t] = row.Owner
		}
	}
	s.directory = d
	return d
}
