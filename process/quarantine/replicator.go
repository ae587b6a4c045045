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

// PullArgs requests the marks that changed after a change number of the called host's list.
type PullArgs struct {
	After uint64
	// Epoch identifies the list that After refers to; 0 means any.
	Epoch uint64
}

// PullReply carries marks and the change number to continue from.
type PullReply struct {
	Marks []Mark
	Next  uint64
	// Epoch identifies the list of the called host. It is 0 when the host does not send it.
	Epoch uint64
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

// Pull returns the marks that changed after args.After, or all when that refers to another
// list, such as that of an earlier process.
func (s *Service) Pull(args *PullArgs, reply *PullReply) error {
	after := args.After
	if args.Epoch != 0 && args.Epoch != s.list.epoch {
		after = 0
	}
	reply.Marks, reply.Next = s.list.Delta(after, maxMarksPerMessage)
	reply.Epoch = s.list.epoch
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
	// pulled holds what was pulled from each host, by address.
	pulled map[string]pullPosition
}

// pullPosition is the change number up to which the marks of a list were pulled.
type pullPosition struct{ epoch, seq uint64 }

// NewReplicator returns a Replicator for a list.
func NewReplicator(l *List, rpc peer.RPCClient, peerAddrs func() []string) *Replicator {
	return &Replicator{list: l, rpc: rpc, peerAddrs: peerAddrs, pulled: make(map[string]pullPosition)}
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
		position := r.pulled[addr]
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, pullTimeout)
		args := &PullArgs{After: position.seq, Epoch: position.epoch}
		var reply PullReply
		err := r.rpc.Call(ctx, addr, ServiceName+".Pull", args, &reply)
		cancel()
		r.mu.Lock()
		if err != nil {
			delete(r.pulled, addr) // the host may have restarted with a release that sends no epoch
		} else {
			r.list.Merge(reply.Marks)
			r.pulled[addr] = pullPosition{epoch: reply.Epoch, seq: reply.Next}
		}
		r.mu.Unlock()
	}
}

// randomSample returns up to n random addresses. It reorders addrs.
func randomSample(addrs []string, n int) []string {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(n, len(addrs))]
}
