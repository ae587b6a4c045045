package spread

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/process/membership"
	"quetzalknot/process/metrics"
	"quetzalknot/process/peer"
)

const (
	// idleInterval is the mean interval between exchanges started by a host.
	idleInterval = time.Second
	// activeInterval replaces idleInterval for activePeriod after a change or after an
	// exchange in which the tickets differed.
	activeInterval = 250 * time.Millisecond
	activePeriod   = 3 * time.Second
	// callTimeout bounds one call between hosts.
	callTimeout = 1500 * time.Millisecond
	// maxPushes bounds the pushes in flight. Further pushes are dropped; the exchanges
	// deliver those changes.
	maxPushes = 64
	// maxPushTries is how often a ticket is pushed to a partner that does not respond. The
	// last try begins within 2*(callTimeout+activeInterval) of the first.
	maxPushTries = 3
	// maxPushBytes is the largest delta that is pushed. For a larger one an exchange is
	// started, which sends it only to hosts that lack it.
	maxPushBytes = 16 << 10
	// partnerRefreshInterval is the minimum time between changes of a full set of
	// partners. Without it, many hosts starting at once would cause a connection to be
	// opened and abandoned for each of them.
	partnerRefreshInterval = time.Second
	// deadRetryRounds is the number of rounds between exchanges with a dead member.
	deadRetryRounds = 8
)

// Config holds the dependencies of an Engine.
type Config struct {
	Members *membership.Members
	Client  peer.RPCClient
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Engine replicates the topics of one host. It is safe for concurrent use.
type Engine struct {
	Config
	topics sync.Map // topic name to Topic
	names  []string

	watermark watermark
	// pushSlots is a semaphore that bounds the pushes in flight.
	pushSlots chan struct{}
	calls     sync.WaitGroup
	// baseCtx is the parent of the contexts of all calls; Close cancels it.
	baseCtx context.Context
	cancel  context.CancelFunc

	mu         sync.Mutex
	closed     bool
	lastChange time.Time
	// exchanging holds the addresses with an exchange in flight.
	exchanging map[string]bool
	// probing holds the hosts with an indirect probe in flight.
	probing map[string]bool
	// partnerSum is the sum of the members from which partners was computed.
	partnerSum       uint64
	partners         []membership.Member
	partnersAt       time.Time
	nextPartnerIndex int

	complete atomic.Bool
	// syncedDomains holds the failure domains of the hosts with a complete state from
	// which this host has synchronised its tickets.
	syncedDomains map[string]bool
}

// New returns an engine with the members as its only topic.
func New(c Config) *Engine {
	e := &Engine{
		Config: c, pushSlots: make(chan struct{}, maxPushes),
		exchanging: make(map[string]bool), probing: make(map[string]bool), syncedDomains: make(map[string]bool),
	}
	e.baseCtx, e.cancel = context.WithCancel(context.Background())
	e.publishMetrics()
	e.Register(MembersTopic, c.Members)
	return e
}

// Topic names defined by this package.
const (
	MembersTopic = "members"
	TicketsTopic = "tickets"
)

// Register adds a topic. All topics must be registered before Serve and Run.
func (e *Engine) Register(name string, t Topic) {
	if len(name) == 0 || len(name) > MaxTopicName {
		panic("topic name " + name + " is empty or too long")
	}
	e.topics.Store(name, t)
	e.names = append(e.names, name)
	slices.Sort(e.names)
}

// Serve registers the engine's RPC methods with a server.
func (e *Engine) Serve(s *peer.Server) error {
	return s.Register(serviceName, &service{engine: e})
}

func (e *Engine) topic(name string) Topic {
	if t, ok := e.topics.Load(name); ok {
		return t.(Topic)
	}
	return nil
}

// Publish pushes a local change to the partners.
func (e *Engine) Publish(topic string, delta []byte) { e.push(topic, delta, "") }

// push sends a delta to all partners except the host that it came from.
func (e *Engine) push(topic string, delta []byte, from string) {
	if !e.quiet(topic) {
		e.noteChange()
	}
	for _, p := range e.partnersFor(topic) {
		if p.Host == from {
			continue
		}
		if len(delta) > maxPushBytes {
			e.startExchange(p)
			continue
		}
		e.pushTo(p, topic, delta)
	}
}

func (e *Engine) quiet(topic string) bool {
	_, ok := e.topic(topic).(Quiet)
	return ok
}

// partnersFor returns the partners to which a change of a topic is pushed. A change of the
// members themselves or of a quiet topic goes to the current partners. Any other change is
// rare and goes to the partners among all members known now: a host that only newer sets of
// partners contain would otherwise get no push of it.
func (e *Engine) partnersFor(topic string) []membership.Member {
	if !e.rare(topic) {
		return e.currentPartners()
	}
	return e.refreshPartners(0)
}

// rare reports whether the changes of a topic are rare and urgent.
func (e *Engine) rare(topic string) bool { return topic != MembersTopic && !e.quiet(topic) }

func (e *Engine) pushTo(p membership.Member, topic string, delta []byte) {
	select {
	case e.pushSlots <- struct{}{}:
	default:
		e.Metrics.Counter("spread.pushes_dropped_total").Add(1)
		return
	}
	tries := 1
	if e.rare(topic) {
		tries = maxPushTries
	}
	args := PushArgs{From: e.Members.Self().Host, Topic: topic, Delta: delta}
	started := e.goCall(func(context.Context) {
		defer func() { <-e.pushSlots }()
		e.callPush(p, &args, tries)
	})
	if !started {
		<-e.pushSlots
	}
}

// callPush pushes a change, again after each failure until all tries are used or many other
// pushes are in flight.
func (e *Engine) callPush(p membership.Member, args *PushArgs, tries int) {
	for try := range tries {
		if try > 0 && (len(e.pushSlots) > maxPushes/2 || !e.pause(activeInterval)) {
			return
		}
		ctx, cancel := context.WithTimeout(e.baseCtx, callTimeout)
		err := e.Client.Call(ctx, p.PeerAddr, serviceName+".Push", args, &Empty{})
		cancel()
		e.Metrics.Counter("spread.pushes_total").Add(1)
		if err == nil {
			return
		}
		e.Metrics.Counter("spread.pushes_failed_total").Add(1)
	}
}

// pause waits. It returns false if the engine is closed first.
func (e *Engine) pause(d time.Duration) bool {
	select {
	case <-e.baseCtx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// goCall runs a call in a goroutine with a timeout. It returns false if the engine is
// closed.
func (e *Engine) goCall(call func(ctx context.Context)) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.calls.Go(func() {
		ctx, cancel := context.WithTimeout(e.baseCtx, callTimeout)
		defer cancel()
		call(ctx)
	})
	return true
}

func (e *Engine) noteChange() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastChange = time.Now()
}

// noteDifference keeps the interval between exchanges short while the tickets differ from those
// of another host. What either lacks may have been lost on the way.
func (e *Engine) noteDifference(topic string) {
	if topic == TicketsTopic {
		e.noteChange()
	}
}

// currentPartners returns the partners, recomputing them if the members have changed.
// A full set of partners is recomputed at most once per partnerRefreshInterval.
func (e *Engine) currentPartners() []membership.Member {
	return e.refreshPartners(partnerRefreshInterval)
}

// refreshPartners returns the partners, recomputing them if the members have changed and a
// full set is at least minAge old.
func (e *Engine) refreshPartners(minAge time.Duration) []membership.Member {
	sum := e.Members.Sum()
	e.mu.Lock()
	defer e.mu.Unlock()
	due := len(e.partners) < membership.MaxPartners || time.Since(e.partnersAt) >= minAge
	if sum != e.partnerSum && due || e.partners == nil {
		e.partnerSum = sum
		e.partnersAt = time.Now()
		e.partners = membership.Partners(e.Members.Self(), e.Members.Reachable())
	}
	return e.partners
}

// Run exchanges with the partners in turn until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.interval()):
		}
		for _, dead := range e.Members.Tick(time.Now()) {
			evDead.Log(e.Log).Str("member", dead.Host).Uint64("incarnation", dead.Incarnation).Send()
		}
		if p, ok := e.nextPartner(); ok {
			e.startExchange(p)
		}
		if round%deadRetryRounds == 0 {
			e.retryDead()
		}
	}
}

// interval returns the delay before the next exchange, with jitter.
func (e *Engine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	mean := idleInterval
	if time.Since(e.lastChange) < activePeriod {
		mean = activeInterval
	}
	return mean*3/4 + rand.N(mean/2)
}

func (e *Engine) nextPartner() (membership.Member, bool) {
	partners := e.currentPartners()
	if len(partners) == 0 {
		return membership.Member{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextPartnerIndex = (e.nextPartnerIndex + 1) % len(partners)
	return partners[e.nextPartnerIndex], true
}

// retryDead starts an exchange with a random dead member, so that hosts find each
// other again after a network partition.
func (e *Engine) retryDead() {
	dead := e.Members.Dead()
	if len(dead) > 0 {
		e.startExchange(dead[rand.IntN(len(dead))])
	}
}

// Close cancels all calls that the engine has started and waits for them to finish.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.cancel()
	e.calls.Wait()
}

// errUnknownTopic reports a topic that this release does not have.
var errUnknownTopic = errors.New("unknown topic")
