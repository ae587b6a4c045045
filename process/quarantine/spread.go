package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalknot/process/peer"
)

const (
	// ServiceName is the name of the net/rpc service.
	ServiceName = "Quarantine"
	// fanOut is how many hosts a new mark is sent to at once.
	fanOut = 8
	// deltaLimit is how many marks one message carries.
	deltaLimit = 256
	// repairInterval is the time between two comparisons with another host.
	repairInterval = 2 * time.Second
	// pushTimeout bounds the sending of a new mark.
	pushTimeout = time.Second
	// callTimeout bounds one comparison.
	callTimeout = time.Second
)

// PushArgs carries marks to another host.
type PushArgs struct{ Marks []Mark }

// PushReply is empty.
type PushReply struct{}

// PullArgs asks for the marks that changed after a change number of the asked host.
type PullArgs struct{ After uint64 }

// PullReply carries marks and the change number to continue from.
type PullReply struct {
	Marks []Mark
	Next  uint64
}

// Service serves marks over net/rpc.
type Service struct {
	list *List
	// changed is called after marks were new here.
	changed func()
}

// NewService returns the service of a list. It calls changed, if not nil, when
// another host sent marks that were new.
func NewService(l *List, changed func()) *Service { return &Service{list: l, changed: changed} }

// Push takes in marks.
func (s *Service) Push(args *PushArgs, _ *PushReply) error {
	if s.list.Merge(args.Marks) > 0 && s.changed != nil {
		s.changed()
	}
	return nil
}

// Pull returns marks that changed.
func (s *Service) Pull(args *PullArgs, reply *PullReply) error {
	reply.Marks, reply.Next = s.list.Delta(args.After, deltaLimit)
	return nil
}

// Spreader exchanges marks with a bounded number of other hosts.
type Spreader struct {
	list  *List
	calls peer.Caller
	// peers returns the peer addresses of the other live hosts.
	peers func() []string

	mu     sync.Mutex
	pushed uint64
	// pulled holds how far each host's marks are known.
	pulled map[string]uint64
}

// NewSpreader returns a Spreader for a list.
func NewSpreader(l *List, calls peer.Caller, peers func() []string) *Spreader {
	return &Spreader{list: l, calls: calls, peers: peers, pulled: make(map[string]uint64)}
}

// PassOn sends new marks in the background.
func (s *Spreader) PassOn() { go s.Push(context.Background()) }

// Push sends the marks that changed since the last Push to up to 8 hosts, and
// waits until they have them or 300 ms have passed.
func (s *Spreader) Push(ctx context.Context) {
	s.mu.Lock()
	marks, next := s.list.Delta(s.pushed, deltaLimit)
	s.pushed = next
	s.mu.Unlock()
	if len(marks) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, addr := range pick(s.peers(), fanOut) {
		calls.Go(func() {
			_ = s.calls.Call(ctx, addr, ServiceName+".Push", &PushArgs{Marks: marks}, &PushReply{}) // repaired by Run
		})
	}
	calls.Wait()
}

// Run repairs missed marks by asking one random host at a time, until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	ticker := time.NewTicker(repairInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.pull(ctx)
		}
	}
}

func (s *Spreader) pull(ctx context.Context) {
	for _, addr := range pick(s.peers(), 1) {
		s.mu.Lock()
		args := &PullArgs{After: s.pulled[addr]}
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		var reply PullReply
		err := s.calls.Call(ctx, addr, ServiceName+".Pull", args, &reply)
		cancel()
		s.mu.Lock()
		if err != nil {
			delete(s.pulled, addr) // a new process there counts from 0
		} else {
			s.list.Merge(reply.Marks)
			s.pulled[addr] = reply.Next
		}
		s.mu.Unlock()
	}
}

// pick returns up to n random addresses.
func pick(addrs []string, n int) []string {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(n, len(addrs))]
}
