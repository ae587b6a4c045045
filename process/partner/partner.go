// Package partner watches some other hosts and levels beliefs with them.
//
// Each host beats to a bounded number of partners: those next to it in the order of
// names of its region, and a few of each other region. A beat carries the positions of
// the mirrored tables and recent crash counts; a host that is behind asks for what it
// lacks. So a host that the store turns away still learns what others know.
package partner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/crash"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/fleet"
	"quetzalknot/process/metrics"
	"quetzalknot/process/mirror"
	"quetzalknot/process/peer"
)

var (
	evLost    = eventlog.Define(1701, zerolog.WarnLevel, "partner lost")
	evFound   = eventlog.Define(1702, zerolog.InfoLevel, "partner found")
	evLeaving = eventlog.Define(1703, zerolog.InfoLevel, "partner leaves")
	evLevel   = eventlog.Define(1704, zerolog.InfoLevel, "belief levelled by a partner")
)

const (
	// serviceName is the net/rpc name of the service.
	serviceName = "Partner"
	// beatInterval is the time between two beats to a partner.
	beatInterval = time.Second
	// heardLately is how long after a partner was heard of it gets no beat: its own, or
	// its answer, has levelled both. So of two partners one calls the other.
	heardLately = 700 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 800 * time.Millisecond
	// aliveFor is how long a partner counts as alive after it was heard of.
	aliveFor = 3200 * time.Millisecond
	// nearPartners and farPartners bound the partners in the own and each other region.
	nearPartners, farPartners = 12, 3
	// crashReport is how old the crash counts in a beat may be.
	crashReport = 20 * time.Second
	// forgetAfter is how long a host that is not heard of is still tried.
	forgetAfter = time.Minute
)

// Member is one process of the system.
type Member struct {
	Name        string
	Incarnation int64
	Region      string
	Domain      string
	// Peer is the address for calls between hosts; Entry the one that callers use.
	Peer, Entry string
	// Capacity is how many requests a second the host can carry; 0 means not known.
	Capacity float64
}

// Beat is what a host tells a partner.
type Beat struct {
	From    Member
	Leaving bool
	// Positions are the revisions up to which tables are mirrored.
	Positions map[string]uint64
	Crashes   []crash.Count
	// Rate is how many requests a second the sender got lately.
	Rate float64
	// Fresh says that the sender reads the store itself and gets answers; Troubled that
	// the store failed it a short time ago.
	Fresh, Troubled bool
}

// Reading is what a host knows of the store at first hand.
type Reading struct {
	Fresh, Troubled bool
}

// Pull asks for what a host lacks of a table.
type Pull struct {
	Table string
	After uint64
}

// Options are what a Group needs.
type Options struct {
	Self   Member
	Tables []string
	Mirror *mirror.Mirror
	// Apply takes in records of a partner.
	Apply   func(d mirror.Delta)
	Crashes *crash.Counts
	// Rate returns how many requests a second this host got lately.
	Rate func() float64
	// Reading returns what this host knows of the store at first hand.
	Reading func() Reading
	Caller  peer.Caller
	Metrics *metrics.Set
	Log     zerolog.Logger
	Now     func() time.Time
}

// Group is the set of known hosts. It is safe for concurrent use.
type Group struct {
	opts Options

	mu      sync.Mutex
	members map[string]*state
	leaving bool
	pulling map[string]bool
	// strongNames are the hosts that strong returns; nil when members have come or gone.
	strongNames map[string]bool
	// freshAt, soundAt and troubledAt are when a partner last said that it reads the
	// store, that it does without trouble, and that it had trouble.
	freshAt, soundAt, troubledAt time.Time
}

type state struct {
	Member
	heard   time.Time
	known   time.Time
	alive   bool
	leaving bool
	rate    float64
}

// New returns a group that knows only its own host.
func New(opts Options) *Group {
	return &Group{opts: opts, members: make(map[string]*state), pulling: make(map[string]bool)}
}

// Register adds the group's calls to a server.
func (g *Group) Register(s *peer.Server) error { return s.Register(serviceName, &service{g}) }

// service is the net/rpc form of the group.
type service struct{ g *Group }

// Beat takes in a partner's beat and answers with this host's own.
func (s *service) Beat(beat *Beat, reply *Beat) error {
	s.g.heard(beat)
	*reply = s.g.beat()
	return nil
}

// Pull returns what a partner lacks of a table.
func (s *service) Pull(pull *Pull, reply *mirror.Delta) error {
	*reply = s.g.opts.Mirror.Since(pull.Table, pull.After)
	return nil
}

func (g *Group) beat() Beat {
	now := g.opts.Now()
	reading := g.opts.Reading()
	b := Beat{Fresh: reading.Fresh, Troubled: reading.Troubled, From: g.opts.Self, Positions: make(map[string]uint64), Rate: g.opts.Rate(), Crashes: g.opts.Crashes.Recent(crashReport, now)}
	for _, name := range g.opts.Tables {
		b.Positions[name] = g.opts.Mirror.Position(name)
	}
	g.mu.Lock()
	b.Leaving = g.leaving
	g.mu.Unlock()
	return b
}

// Learn takes in members that the store names. It does not make them alive.
func (g *Group) Learn(members []Member) {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range members {
		g.learn(m, now)
	}
}

func (g *Group) learn(m Member, now time.Time) *state {
	if m.Name == g.opts.Self.Name {
		return nil
	}
	s := g.members[m.Name]
	if s == nil || m.Incarnation > s.Incarnation {
		s = &state{Member: m, known: now}
		g.members[m.Name] = s
		g.strongNames = nil
	}
	if m.Incarnation < s.Incarnation {
		return nil
	}
	return s
}

// heard takes in a beat, by call or as an answer.
func (g *Group) heard(b *Beat) {
	now := g.opts.Now()
	g.opts.Crashes.Merge(b.Crashes, now)
	g.mu.Lock()
	s := g.learn(b.From, now)
	if s != nil {
		s.rate = b.Rate
		g.noteReading(b, now)
		g.mark(s, b.Leaving, now)
	}
	g.mu.Unlock()
	if s != nil {
		g.pull(b)
	}
}

func (g *Group) mark(s *state, leaving bool, now time.Time) {
	s.heard = now
	if !s.alive {
		s.alive = true
		evFound.Log(g.opts.Log).Str("member", s.Name).Int64("incarnation", s.Incarnation).Send()
	}
	if leaving && !s.leaving {
		s.leaving = true
		evLeaving.Log(g.opts.Log).Str("member", s.Name).Send()
	}
}

// pull fetches what the sender of a beat knows and this host does not.
func (g *Group) pull(b *Beat) {
	for _, name := range g.opts.Tables {
		own := g.opts.Mirror.Position(name)
		if b.Positions[name] <= own || !g.startPull(name) {
			continue
		}
		go g.fetch(b.From, name, own)
	}
}

func (g *Group) startPull(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pulling[name] {
		return false
	}
	g.pulling[name] = true
	return true
}

// pullDelay leaves the store's own feed the time to bring the same records.
const pullDelay = 250 * time.Millisecond

func (g *Group) fetch(from Member, name string, own uint64) {
	defer func() {
		g.mu.Lock()
		g.pulling[name] = false
		g.mu.Unlock()
	}()
	if g.opts.Reading().Fresh {
		time.Sleep(pullDelay)
	}
	if now := g.opts.Mirror.Position(name); now > own {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	delta := new(mirror.Delta)
	g.opts.Metrics.Counter("partners.pulls").Add(1)
	if err := g.opts.Caller.Call(ctx, from.Peer, serviceName+".Pull", &Pull{Table: name, After: own}, delta); err != nil {
		return
	}
	evLevel.Log(g.opts.Log).Str("member", from.Name).Str("table", name).Uint64("revision", delta.UpTo).
		Int("records", len(delta.Records)).Send()
	g.opts.Apply(*delta)
}

// Run beats to the partners until ctx ends.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		g.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (g *Group) round(ctx context.Context) {
	g.expire()
	g.callEach(ctx, func(m Member) bool { return !g.heardOf(m) })
}

// callEach beats to the partners that are wanted.
func (g *Group) callEach(ctx context.Context, wanted func(Member) bool) {
	for _, m := range g.partners() {
		if wanted(m) {
			go g.call(ctx, m)
		}
	}
}

// heardOf reports whether a partner was heard of a short time ago.
func (g *Group) heardOf(m Member) bool {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.members[m.Name]
	return s != nil && !s.heard.IsZero() && now.Sub(s.heard) < heardLately
}

func (g *Group) call(ctx context.Context, m Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	beat, reply := g.beat(), new(Beat)
	g.opts.Metrics.Counter("partners.beats").Add(1)
	if err := g.opts.Caller.Call(ctx, m.Peer, serviceName+".Beat", &beat, reply); err != nil {
		g.opts.Metrics.Counter("partners.failed_beats").Add(1)
		return
	}
	g.heard(reply)
}

// expire marks hosts that were not heard of as lost, and forgets those of long ago.
func (g *Group) expire() {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.members {
		if s.alive && now.Sub(s.heard) > aliveFor {
			s.alive = false
			s.known = now
			evLost.Log(g.opts.Log).Str("member", name).Dur("silent", now.Sub(s.heard)).Send()
		}
		if !s.alive && now.Sub(s.known) > forgetAfter {
			delete(g.members, name)
			g.strongNames = nil
		}
	}
}

// partners returns the hosts that this one beats to.
func (g *Group) partners() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	byRegion := make(map[string][]Member)
	for _, s := range g.members {
		byRegion[s.Region] = append(byRegion[s.Region], s.Member)
	}
	var partners []Member
	for region, list := range byRegion {
		limit := farPartners
		if region == g.opts.Self.Region {
			limit = nearPartners
		}
		partners = append(partners, g.nearest(list, limit)...)
	}
	return partners
}

// nearest returns the members around this host in the ring of names.
func (g *Group) nearest(list []Member, limit int) []Member {
	if len(list) <= limit {
		return list
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	at, _ := slices.BinarySearchFunc(list, g.opts.Self.Name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
	chosen := make([]Member, 0, limit)
	for i := range limit {
		chosen = append(chosen, list[(at-limit/2+i+len(list))%len(list)])
	}
	return chosen
}

// Leave tells the partners that this host is about to stop.
func (g *Group) Leave(ctx context.Context) {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.callEach(ctx, func(Member) bool { return true })
}

// Alive returns the hosts that are alive and do not leave, this one included unless it
// leaves itself.
func (g *Group) Alive() []Member {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var alive []Member
	if !g.leaving {
		alive = append(alive, g.opts.Self)
	}
	for _, s := range g.members {
		if s.alive && !s.leaving && now.Sub(s.heard) <= aliveFor {
			alive = append(alive, s.Member)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// Known returns how many hosts are known, this one included, whether they are alive or not.
func (g *Group) Known() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members) + 1
}

// Owns reports whether this host is among the first owners of a key. Owners are hosts
// that carry requests. Hosts that are known but not heard of count, so that a partition
// does not add owners.
func (g *Group) Owns(id string, owners int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	strong := g.strong()
	if !strong[g.opts.Self.Name] || len(strong) <= owners {
		return strong[g.opts.Self.Name]
	}
	own := fleet.Score(ownerSalt, id+"/"+g.opts.Self.Name)
	before := 0
	for name := range strong {
		if fleet.Score(ownerSalt, id+"/"+name) > own {
			before++
		}
	}
	return before < owners
}

// ownerSalt separates the order of owners from other orders.
const ownerSalt = 0x6f776e6572
