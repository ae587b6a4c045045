package quota

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/process/peer"
)

var (
	evAllocator = eventlog.Define(1901, zerolog.InfoLevel, "allocator of rate limits changed")
	evLimited   = eventlog.Define(1902, zerolog.WarnLevel, "workspace reached its rate limit")
)

const (
	// serviceName is the net/rpc name of the service.
	serviceName = "Quota"
	// pollInterval is the time between two checks whether a message is due, unless a request waits.
	pollInterval = 20 * time.Millisecond
	// hostsInterval is the time between two readings of the known hosts.
	hostsInterval = 500 * time.Millisecond
	// maxWait is how long a request waits for a token that the allocator may grant. It covers two messages to another
	// region and their replies, since the one that is under way does not ask for it yet.
	maxWait = 250 * time.Millisecond
	// failoverWait is how long a request waits while no allocator answers: until the share that was lent to the last
	// one has lapsed and another one has replied.
	failoverWait = shareTerm + 300*time.Millisecond
	// waitPoll is the time between two checks of a request that waits, since a share may lapse without a reply.
	waitPoll = 50 * time.Millisecond
	// logInterval is the time between two log lines of refusals by a limit.
	logInterval = 5 * time.Second
)

// NodeOptions are the dependencies of a Node.
type NodeOptions struct {
	Limiter *Limiter
	Client  peer.RPCClient
	// Hosts returns the other hosts that are known; false while no list of them is known yet.
	Hosts   func() ([]Host, bool)
	Metrics *metrics.Set
	Log     zerolog.Logger
	Now     func() time.Time
}

// Node exchanges the messages of a Limiter with other hosts and makes requests wait for tokens.
type Node struct {
	opts NodeOptions
	// wake holds a value while a request waits that no message has asked a token for.
	wake chan struct{}

	mu sync.Mutex
	// replied is closed at the next reply, and replaced.
	replied   chan struct{}
	allocator string
	logged    map[string]Status
}

// NewNode returns a node that has not started.
func NewNode(opts NodeOptions) *Node {
	return &Node{opts: opts, wake: make(chan struct{}, 1), replied: make(chan struct{}), logged: make(map[string]Status)}
}

// Register registers the net/rpc service with a server.
func (n *Node) Register(s *peer.Server) error { return s.Register(serviceName, &service{n}) }

// service is the net/rpc service of a node.
type service struct{ n *Node }

// Ask answers a message of another host.
func (s *service) Ask(ask *Ask, reply *Reply) error {
	*reply = s.n.opts.Limiter.Answer(ask, s.n.opts.Now())
	return nil
}

// Run sends the messages that are due until ctx ends.
func (n *Node) Run(ctx context.Context) {
	poll, hosts, logs := time.NewTicker(pollInterval), time.NewTicker(hostsInterval), time.NewTicker(logInterval)
	defer poll.Stop()
	defer hosts.Stop()
	defer logs.Stop()
	n.readHosts()
	for {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		case <-n.wake:
		case <-hosts.C:
			n.readHosts()
		case <-logs.C:
			n.logRefusals()
		}
		if out, due := n.opts.Limiter.Next(n.opts.Now()); due {
			go n.send(ctx, out)
		}
		n.logAllocator()
	}
}

func (n *Node) readHosts() {
	if hosts, ok := n.opts.Hosts(); ok {
		n.opts.Limiter.SetHosts(hosts, n.opts.Now())
	}
}

func (n *Node) send(ctx context.Context, out Outgoing) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	n.opts.Metrics.Counter("quota.messages").Add(1)
	reply := new(Reply)
	if err := n.opts.Client.Call(ctx, out.Address, serviceName+".Ask", &out.Ask, reply); err != nil {
		n.opts.Metrics.Counter("quota.failed_messages").Add(1)
		reply = nil
	}
	n.opts.Limiter.Done(out, reply, n.opts.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.replied)
	n.replied = make(chan struct{})
}

// Take admits a request of a workspace or says when to try again. It waits up to maxWait, or failoverWait while no allocator
// answers, and no longer than ctx, for a token while the allocator may have one.
func (n *Node) Take(ctx context.Context, workspace string, now time.Time) (ok bool, retryAfter time.Duration) {
	ok, retryAfter = n.opts.Limiter.Take(workspace, now)
	if ok || !n.opts.Limiter.startWaiting(workspace, now) {
		return ok, retryAfter
	}
	defer n.opts.Limiter.stopWaiting(workspace)
	poll := time.NewTicker(waitPoll)
	defer poll.Stop()
	for {
		n.mu.Lock()
		replied := n.replied
		n.mu.Unlock()
		// A reply may have come before replied was read.
		at := n.opts.Now()
		if ok, retryAfter = n.opts.Limiter.take(workspace, at, false); ok || !n.opts.Limiter.keepWaiting(workspace, at) {
			return ok, retryAfter
		}
		if !mayWaitOn(at.Sub(now), n.opts.Limiter.failingOver(at)) {
			return false, retryAfter
		}
		select {
		case n.wake <- struct{}{}:
		default:
		}
		select {
		case <-replied:
		case <-poll.C:
		case <-ctx.Done():
			return false, retryAfter
		}
	}
}

// mayWaitOn reports whether a request that has waited for some time may go on, while an allocator answers or not.
func mayWaitOn(waited time.Duration, failingOver bool) bool {
	return waited < maxWait || failingOver && waited < failoverWait
}

// Return gives back the token of a request that was not sent.
func (n *Node) Return(workspace string, now time.Time) { n.opts.Limiter.Return(workspace, now) }

// logAllocator logs that another host allocates.
func (n *Node) logAllocator() {
	allocator, share := n.opts.Limiter.allocatorAndShare(n.opts.Now())
	if allocator == n.allocator {
		return
	}
	n.allocator = allocator
	evAllocator.Log(n.opts.Log).Str("allocator", allocator).Float64("share", share).Send()
}

// logRefusals logs the limits that refused requests since the last call.
func (n *Node) logRefusals() {
	for name, s := range n.opts.Limiter.Statuses(n.opts.Now()) {
		before := n.logged[name]
		n.logged[name] = s
		if s.Refused <= before.Refused {
			continue
		}
		evLimited.Log(n.opts.Log).Str("workspace", name).Float64("per_second", s.Limit.PerSecond).Float64("burst", s.Limit.Burst).
			Str("allocator", s.Allocator).Float64("share", s.Share).
			Int64("admitted", s.Admitted-before.Admitted).Int64("refused", s.Refused-before.Refused).Send()
	}
}
