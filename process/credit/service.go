package credit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/platform"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/process/peer"
	"quetzalknot/process/slots"
)

var (
	evClaimed     = eventlog.Define(1201, zerolog.InfoLevel, "partition claimed")
	evEstablished = eventlog.Define(1202, zerolog.InfoLevel, "right to grant established")
	evReleased    = eventlog.Define(1203, zerolog.InfoLevel, "partition released")
	evLost        = eventlog.Define(1204, zerolog.WarnLevel, "right to grant lost")
	evRows        = eventlog.Define(1205, zerolog.WarnLevel, "partitions are not read or written")
	evElectors    = eventlog.Define(1206, zerolog.InfoLevel, "electors changed")
)

// serviceName is the name of the net/rpc service.
const serviceName = "Credit"

// Options are what a Service needs from its process.
type Options struct {
	Self   func() Host
	Table  platform.Table
	Caller peer.Caller
	// Hosts returns the live entry hosts, this one included.
	Hosts func() []Host
	// Targets returns the targets whose slots are lent.
	Targets func() []TargetInfo
	// Version returns the number of the configuration version in force.
	Version func() uint64
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Service lends and borrows slots for one process. It is a slots.Room.
type Service struct {
	opts     Options
	self     Process
	counters *counters
	triggers chan struct{}

	// hinted is set when another host released a partition for this one.
	hinted atomic.Bool

	mu sync.Mutex
	// missing is since when each owner has not been among the live hosts.
	missing map[Process]time.Time
	// draining is since when each partition is closed before its release.
	draining  map[string]time.Time
	startedAt time.Time
	granter   *Granter
	holder    *Holder
	elector   *Elector
	tenures   map[string]*Tenure
	rows      map[string]rowAt
	readTo    int64
	// keptAt and keptVersion tell of the last look at the partitions.
	keptAt      time.Time
	keptVersion uint64
	homes       map[slots.Target]string
	regions     map[slots.Target]string
	infos       []TargetInfo
	adopted     map[slots.Target]bool
	backoff     map[Process]backoff
	directory   *directory
	// leaving is true once the process claims no more partitions.
	leaving bool
	wakers  map[string]chan struct{}
	// liveSince is since when the set of live hosts has not changed.
	liveSince time.Time
	liveNames string
}

// rowAt is a row with the revision at which it was read.
type rowAt struct {
	Row
	revision int64
}

// NewService returns a service of a process that starts now.
func NewService(opts Options) *Service {
	s := &Service{
		opts: opts, counters: newCounters(opts.Metrics), triggers: make(chan struct{}, 1),
		granter: NewGranter(Process{}), holder: NewHolder(Process{}), elector: NewElector(time.Now()),
		tenures: make(map[string]*Tenure), rows: make(map[string]rowAt),
		homes: make(map[slots.Target]string), regions: make(map[slots.Target]string), adopted: make(map[slots.Target]bool),
		backoff: make(map[Process]backoff), missing: make(map[Process]time.Time), draining: make(map[string]time.Time),
		startedAt: time.Now(), wakers: make(map[string]chan struct{}),
	}
	s.counters.gauges(opts.Metrics, s)
	return s
}

// SetSelf says which process this is. It is called once, before Run.
func (s *Service) SetSelf(self Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self = self
	s.granter.self = self
	s.holder.self = self
}

// Register adds the service's calls to a peer server.
func (s *Service) Register(server *peer.Server) error {
	return server.Register(serviceName, &calls{service: s})
}

// Run lends and borrows until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.every(ctx, versionInterval, s.lookAtPartitions) })
	loops.Go(func() { s.every(ctx, pledgeInterval, s.pledge) })
	loops.Go(func() { s.borrowLoop(ctx) })
	loops.Wait()
}

// Leave releases every partition, so that other hosts grant at once, and claims
// no more.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.drainAll(ctx)
	for _, name := range s.owned() {
		s.releasePartition(ctx, name)
	}
}

// drainAll closes every partition and waits until their loans have ended, for at
// most drainTime.
func (s *Service) drainAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTime)
	defer cancel()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for s.lentOut() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// lentOut closes all adopted targets and counts their occupied slots.
func (s *Service) lentOut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for t := range s.adopted {
		s.granter.Close(t)
		busy += len(s.granter.Outstanding(time.Now(), t))
	}
	return busy
}

// GiveBack returns every unused loan. It is called after Run has ended.
func (s *Service) GiveBack(ctx context.Context) {
	s.mu.Lock()
	messages := s.last(time.Now())
	s.mu.Unlock()
	var calls sync.WaitGroup
	for _, m := range messages {
		calls.Go(func() { s.call(ctx, m) })
	}
	calls.Wait()
}

func (s *Service) every(ctx context.Context, interval time.Duration, do func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// calls is the net/rpc form of the service.
type calls struct{ service *Service }

// Borrow lends slots to a holder.
func (c *calls) Borrow(args *BorrowArgs, reply *BorrowReply) error {
	*reply = c.service.lend(args)
	return nil
}

// Promise answers an owner of partitions.
func (c *calls) Promise(args *PromiseArgs, reply *PromiseReply) error {
	*reply = c.service.promise(args)
	return nil
}

// Look lets the process look at the partitions at once.
func (c *calls) Look(*LookArgs, *LookReply) error {
	c.service.hinted.Store(true)
	return nil
}

func (s *Service) lend(args *BorrowArgs) BorrowReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	reply := s.granter.Borrow(now, args, func(t slots.Target) bool { return s.allowed(now, t) })
	s.counters.lent.Add(int64(len(reply.Loans)))
	s.counters.served.Add(1)
	return reply
}

// allowed reports whether this process may grant slots of a target now.
func (s *Service) allowed(now time.Time, t slots.Target) bool {
	tenure := s.tenures[s.homes[t]]
	return tenure != nil && tenure.Allowed(now)
}

func (s *Service) promise(args *PromiseArgs) PromiseReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	granted := make([]bool, len(args.Pledges))
	for i, p := range args.Pledges {
		granted[i] = s.elector.Promise(now, p)
		if tenure := s.tenures[p.Partition]; tenure != nil && tenure.Epoch < p.Epoch {
			s.lose(p.Partition)
		}
	}
	return PromiseReply{Granted: granted}
}

// Serve answers one call, as net/rpc does. Tests use it in place of a connection.
func (s *Service) Serve(method string, args, reply any) {
	switch method {
	case "Borrow":
		*reply.(*BorrowReply) = s.lend(args.(*BorrowArgs))
	case "Look":
		s.hinted.Store(true)
	case "Promise":
		*reply.(*PromiseReply) = s.promise(args.(*PromiseArgs))
	}
}
