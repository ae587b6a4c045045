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
	// idleInterval is the mean time between two exchanges that a host begins.
	idleInterval = time.Second
	// busyInterval is the same while changes are about, for busyTime after the last.
	busyInterval = 250 * time.Millisecond
	busyTime     = 3 * time.Second
	// callTimeout bounds one call between hosts.
	callTimeout = 1500 * time.Millisecond
	// maxPushes bounds the pushes in flight; further ones are left to the exchanges.
	maxPushes = 64
	// maxPushBytes is the largest delta that is pushed; larger ones go by exchange,
	// which sends them only to hosts that lack them.
	maxPushBytes = 16 << 10
	// deadEvery is after how many exchanges a dead member is tried.
	deadEvery = 8
)

// Config is what an engine works with.
type Config struct {
	Members *membership.Members
	Caller  peer.Caller
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Engine spreads the topics of one host. It is safe for concurrent use.
type Engine struct {
	Config
	topics sync.Map // name to Topic
	names  []string

	fresh freshness
	// pushes bounds the pushes in flight.
	pushes chan struct{}
	calls  sync.WaitGroup
	// stopped ends all calls of a closing engine.
	stopped context.Context
	stop    context.CancelFunc

	mu         sync.Mutex
	closed     bool
	lastChange time.Time
	// busy holds the addresses with an exchange in flight.
	busy map[string]bool
	// suspecting holds the hosts that are being looked into.
	suspecting map[string]bool
	partnerSum uint64
	partners   []membership.Member
	next       int

	whole       atomic.Bool
	syncDomains map[string]bool
}

// New returns an engine without topics but the members.
func New(c Config) *Engine {
	e := &Engine{
		Config: c, pushes: make(chan struct{}, maxPushes),
		busy: make(map[string]bool), suspecting: make(map[string]bool), syncDomains: make(map[string]bool),
	}
	e.stopped, e.stop = context.WithCancel(context.Background())
	e.publishMetrics()
	e.Register(MembersTopic, c.Members)
	return e
}

// The topics of the engine's own package.
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

// Serve adds the engine's calls to a server.
func (e *Engine) Serve(s *peer.Server) error {
	return s.Register(serviceName, &service{engine: e})
}

func (e *Engine) topic(name string) Topic {
	if t, ok := e.topics.Load(name); ok {
		return t.(Topic)
	}
	return nil
}

// Publish pushes a change that was made on this host to the partners.
func (e *Engine) Publish(topic string, delta []byte) { e.push(topic, delta, "") }

// push sends a delta to all partners but the host that it came from.
func (e *Engine) push(topic string, delta []byte, from string) {
	e.noteChange()
	for _, p := range e.currentPartners() {
		if p.Host == from {
			continue
		}
		if len(delta) > maxPushBytes {
			e.begin(p)
			continue
		}
		e.pushTo(p, topic, delta)
	}
}

func (e *Engine) pushTo(p membership.Member, topic string, delta []byte) {
	select {
	case e.pushes <- struct{}{}:
	default:
		e.Metrics.Counter("spread.pushes_dropped_total").Add(1)
		return
	}
	started := e.goCall(func(ctx context.Context) {
		defer func() { <-e.pushes }()
		args := PushArgs{From: e.Members.Self().Host, Topic: topic, Delta: delta}
		if err := e.Caller.Call(ctx, p.PeerAddr, serviceName+".Push", &args, &Empty{}); err != nil {
			e.Metrics.Counter("spread.pushes_failed_total").Add(1)
		}
	})
	if !started {
		<-e.pushes
	}
	e.Metrics.Counter("spread.pushes_total").Add(1)
}

// goCall runs a call with its deadline, unless the engine is closed.
func (e *Engine) goCall(call func(ctx context.Context)) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.calls.Go(func() {
		ctx, cancel := context.WithTimeout(e.stopped, callTimeout)
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

// currentPartners returns the partners for the members as they are now.
func (e *Engine) currentPartners() []membership.Member {
	sum := e.Members.Sum()
	e.mu.Lock()
	defer e.mu.Unlock()
	if sum != e.partnerSum || e.partners == nil {
		e.partnerSum = sum
		e.partners = membership.Partners(e.Members.Self(), e.Members.Reachable())
	}
	return e.partners
}

// Run exchanges with one partner after the other until ctx ends.
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
			e.begin(p)
		}
		if round%deadEvery == 0 {
			e.tryDead()
		}
	}
}

// interval returns the time to the next exchange, with jitter.
func (e *Engine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	mean := idleInterval
	if time.Since(e.lastChange) < busyTime {
		mean = busyInterval
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
	e.next = (e.next + 1) % len(partners)
	return partners[e.next], true
}

// tryDead exchanges with a random member that counts as dead.
func (e *Engine) tryDead() {
	dead := e.Members.Dead()
	if len(dead) > 0 {
		e.begin(dead[rand.IntN(len(dead))])
	}
}

// Close ends all calls that the engine has begun and waits for them.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.stop()
	e.calls.Wait()
}

// errUnknownTopic reports a topic of another release.
var errUnknownTopic = errors.New("unknown topic")
