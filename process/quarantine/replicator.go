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
	// fanOut is the number of hosts to which a host sends a new mark.
	fanOut = 8
	// maxMarksPerMessage bounds the marks in one message.
	maxMarksPerMessage = 256
	// syncInterval is the time between two pulls from random hosts.
	syncInterval = 2 * time.Second
	// pushTimeout bounds one push to all its hosts.
	pushTimeout = time.Second
	// pullTimeout bounds one pull.
	pullTimeout = time.Second
)

// PushArgs carries marks to another host.
type PushArgs struct{ Marks []Mark }

// PushReply is empty.
type PushReply struct{}

// PullArgs requests the marks that changed after a change number of the called host.
type PullArgs struct{ After uint64 }

// PullReply carries marks and the change number to continue from.
type PullReply struct {
	Marks []Mark
	Next  uint64
}

// Service receives and returns marks over net/rpc.
type Service struct {
	list *List
	// onChange is called after a push that changed the list.
	onChange func()
}

// NewService returns the service of a list. It calls onChange, if not nil, after each
// push of another host that changed the list.
func NewService(l *List, onChange func()) *Service { return &Service{list: l, onChange: onChange} }

// Push merges marks that another host sent.
func (s *Service) Push(args *PushArgs, _ *PushReply) error {
	if s.list.Merge(args.Marks) > 0 && s.onChange != nil {
		s.onChange()
	}
	return nil
}

// Pull returns the marks that changed after args.After.
func (s *Service) Pull(args *PullArgs, reply *PullReply) error {
	reply.Marks, reply.Next = s.list.Delta(args.After, maxMarksPerMessage)
	return nil
}

// Replicator replicates marks between hosts: it pushes new marks to a few random hosts,
// and regularly pulls missed marks from a random one (anti-entropy).
type Replicator struct {
	list *List
	rpc  peer.RPCClient
	// peerAddrs returns the peer addresses of the other live hosts.
	peerAddrs func() []string

	mu        sync.Mutex
	pushedSeq uint64
	// lastPush is closed when the last Push and all before it have ended; nil before the
	// first.
	lastPush chan struct{}
	// pulledSeq holds the change number up to which the marks of each host, by address,
	// were pulled.
	pulledSeq map[string]uint64
}

// NewReplicator returns a Replicator for a list.
func NewReplicator(l *List, rpc peer.RPCClient, peerAddrs func() []string) *Replicator {
	return &Replicator{list: l, rpc: rpc, peerAddrs: peerAddrs, pulledSeq: make(map[string]uint64)}
}

// PushAsync calls Push in a new goroutine.
func (r *Replicator) PushAsync() { go r.Push(context.Background()) }

// Push sends the marks that changed since the last Push to up to fanOut random hosts,
// and waits until all have replied or pushTimeout has passed. It also waits for the
// pushes in flight, which may carry the caller's mark.
func (r *Replicator) Push(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushTimeout)
	defer cancel()
	r.mu.Lock()
	marks, next := r.list.Delta(r.pushedSeq, maxMarksPerMessage)
	r.pushedSeq = next
	earlier, done := r.lastPush, make(chan struct{})
	r.lastPush = done
	r.mu.Unlock()
	defer close(done)
	r.send(ctx, marks)
	if earlier == nil {
		return
	}
	select {
	case <-earlier:
	case <-ctx.Done():
	}
}

// send sends marks to up to fanOut random hosts and waits until all have replied or ctx
// has ended.
func (r *Replicator) send(ctx context.Context, marks []Mark) {
	if len(marks) == 0 {
		return
	}
	var calls sync.WaitGroup
	for _, addr := range randomSample(r.peerAddrs(), fanOut) {
		calls.Go(func() {
			_ = r.rpc.Call(ctx, addr, ServiceName+".Push", &PushArgs{Marks: marks}, &PushReply{}) // a host that misses the push gets the marks by a later pull
		})
	}
	calls.Wait()
}

// Run pulls missed marks from one random host every syncInterval, until ctx ends.
func (r *Replicator) Run(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.pull(ctx)
		}
	}
}

func (r *Replicator) pull(ctx context.Context) {
	for _, addr := range randomSample(r.peerAddrs(), 1) {
		r.mu.Lock()
		args := &PullArgs{After: r.pulledSeq[addr]}
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, pullTimeout)
		var reply PullReply
		err := r.rpc.Call(ctx, addr, ServiceName+".Pull", args, &reply)
		cancel()
		r.mu.Lock()
		if err != nil {
			delete(r.pulledSeq, addr) // the host may have restarted; a new process numbers its changes from 0
		} else {
			r.list.Merge(reply.Marks)
			r.pulledSeq[addr] = reply.Next
		}
		r.mu.Unlock()
	}
}

// randomSample returns up to n random addresses. It reorders addrs.
func randomSample(addrs []string, n int) []string {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(n, len(addrs))]
}
