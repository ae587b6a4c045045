// Package partner monitors other hosts by heartbeats and synchronises tables with them.
//
// Each host exchanges heartbeats with a bounded number of partners: its neighbours in the
// order of host names in its region, the store readers of its failure domain, and a few hosts of
// each other region. The readers do so with all hosts of their failure domain. A heartbeat
// carries the revisions of the mirrored tables and recent crash counts; a host whose copy
// of a table is older pulls the missing records. So a host that cannot reach the store
// still receives changes from its partners.
package partner

import (
	"context"
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
	evLost         = eventlog.Define(1701, zerolog.WarnLevel, "partner lost")
	evAlive        = eventlog.Define(1702, zerolog.InfoLevel, "partner alive")
	evLeaving      = eventlog.Define(1703, zerolog.InfoLevel, "partner leaving")
	evSynchronised = eventlog.Define(1704, zerolog.InfoLevel, "table synchronised from a partner")
	evPullFailed   = eventlog.Define(1705, zerolog.WarnLevel, "table not received from a partner")
	evNewerState   = eventlog.Define(1706, zerolog.InfoLevel, "partner has a newer desired state")
)

const (
	// serviceName is the net/rpc name of the service.
	serviceName = "Partner"
	// heartbeatInterval is the time between two heartbeats to a partner.
	heartbeatInterval = time.Second
	// recentContact is the time after a heartbeat or reply from a partner in which it is
	// sent none: that exchange carried the state of both hosts. So only one host of a pair
	// calls the other.
	recentContact = 700 * time.Millisecond
	// recentReaderContact is recentContact for the store readers of a failure domain: with the
	// interval it is less than readerTimeout, so that a reader that lives counts all the time.
	recentReaderContact = 400 * time.Millisecond
	// callTimeout is the timeout of one call.
	callTimeout = 800 * time.Millisecond
	// aliveTimeout is how long after its last heartbeat or reply a partner counts as
	// alive.
	aliveTimeout = 3200 * time.Millisecond
	// heartbeatDelay is how long a heartbeat may have been on the way, which adds to what it says
	// of the age of the store's answers.
	heartbeatDelay = 100 * time.Millisecond
	// introductionTime is how long a starting host waits to hear what its partners know.
	introductionTime = 2 * time.Second
	// servingTime is how long a starting host waits for what its partners know of requests that crash targets, before
	// it serves. servingPartners is how many answers suffice: when all hosts start at once, none of them knows more.
	servingTime     = 600 * time.Millisecond
	servingPartners = 3
	// soonInterval is the least time between two rounds of heartbeats that SendSoon starts, so that many crashes at
	// once do not load the links between the hosts.
	soonInterval = 100 * time.Millisecond
	// nearPartners and farPartners bound the partners in this host's region and in each
	// other region. An even number takes as many before as after this host by name, so that
	// partners are mutual.
	nearPartners, farPartners = 12, 2
	// smallRegion is the number of hosts up to which smallRegionPartners of another region are
	// partners.
	smallRegion, smallRegionPartners = 6, 3
	// crashCountMaxAge is the age up to which crash counts are sent in short heartbeats.
	crashCountMaxAge = 20 * time.Second
	// forgetAfter is how long a host that is not alive stays in the group and is still
	// sent heartbeats.
	forgetAfter = time.Minute
	// forgottenRetention is how long a host that was removed from the group is remembered, so that
	// it does not count again because of an old row.
	forgottenRetention = 10 * time.Minute
)

// Member is one process of the system.
type Member struct {
	Name        string
	Incarnation int64
	Region      string
	Domain      string
	// Peer is the address for calls between hosts; Entry is the address that callers use.
	Peer, Entry string
	// Capacity is how many requests per second the host can serve; 0 means unknown.
	Capacity float64
}

// Options holds the settings and dependencies of a Group.
type Options struct {
	Self   Member
	Tables []string
	Mirror *mirror.Mirror
	// Apply stores records that were pulled from a partner.
	Apply   func(d mirror.Delta)
	Crashes *crash.Counts
	// RequestRate returns this host's recent rate of incoming requests per second.
	RequestRate func() float64
	// StoreStatus returns the store's status as this host's own calls show it.
	StoreStatus func() StoreStatus
	// StateVersion returns the version of the desired state in force on this host, which partners
	// are informed; 0 means none. May be nil.
	StateVersion func() uint64
	// StaleRecords returns the records of a restored store that do not count on this host, which
	// partners are informed of in full heartbeats, and IgnoreStale takes those of a partner. Both may
	// be nil.
	StaleRecords func() []StaleRecord
	IgnoreStale  func([]StaleRecord)
	// Limits returns what this host states about the limits of targets, in full heartbeats to a partner
	// that has acknowledged all changes up to a number of ResendFull, and the number up to which these are
	// all, or 0 if there are no more. ApplyLimits takes what a partner states. Both may be nil.
	Limits      func(acknowledged uint64, now time.Time) (limits []fleet.StatedLimit, upTo uint64)
	ApplyLimits func(limits []fleet.StatedLimit, now time.Time)
	// Confirmed returns the last confirmation of this host's copy of a table, which partners ask for; ok is false if
	// there was none. BootTime is the clock of confirmations. Both may be nil; Confirm needs BootTime.
	Confirmed func(table string) (c Confirmation, ok bool)
	BootTime  func() time.Duration
	Client    peer.RPCClient
	Metrics   *metrics.Set
	Log       zerolog.Logger
	Now       func() time.Time
}

// Group is the set of known hosts. It is safe for concurrent use.
type Group struct {
	opts Options

	mu      sync.Mutex
	members map[string]*memberState
	leaving bool
	// forgottenCount is the number of hosts that were removed from members.
	forgottenCount int
	// classes holds the class of each member by its address for calls between hosts.
	classes map[string]string
	// pullsRunning holds the tables that are being pulled from a partner, pullsWaiting the last heartbeats that named a newer
	// revision meanwhile, and fetching what has arrived of large replies.
	pullsRunning map[string]bool
	pullsWaiting map[string]*Heartbeat
	fetching     map[string]*fetched
	// baseNames caches baseHosts; nil after members were added or removed.
	baseNames map[string]bool
	// readerLimit caches domainReaders; nil after members were added or removed.
	readerLimit *int
	// readerAt is when a partner last reported that it reads the store, healthyReaderAt when
	// one last did so without store failures, and storeFailedAt when one last reported a
	// store failure.
	readerAt, healthyReaderAt, storeFailedAt time.Time
	// nearReaderAt is when a partner in this region last reported that it reads the store
	// without failures.
	nearReaderAt time.Time
	startedAt    time.Time
	// confirmedAt is when the store last confirmed tables of which this host has all, as far as partners have said.
	confirmedAt time.Time
	// stateVersion is the latest version of the desired state that a partner had in force.
	stateVersion uint64
	// introduced is true once a heartbeat or reply has arrived that states the version of the desired state, and
	// listed once all members that the store lists were added.
	introduced, listed bool
	// mayServe is true once MayServe was.
	mayServe bool
	// hasMembers is true once the members were taken over from another host.
	hasMembers bool
	// forgotten holds the hosts that were removed from the group, by name.
	forgotten map[string]forgottenHost
	// changeNumber is the number of ResendFull calls, which a full heartbeat has as its number.
	changeNumber uint64
	snapshot     snapshotCache
	// offers holds the large replies that other hosts fetch, and packed the last of large deltas.
	offers offers
	packed packedDeltas
	// soon holds a value while heartbeats are to be sent at once.
	soon chan struct{}
}

// memberState is a known host other than this one.
type memberState struct {
	Member
	// lastSeen is when the host's last heartbeat or reply arrived.
	lastSeen time.Time
	// notAliveSince is when the host was added or was last found lost.
	notAliveSince time.Time
	alive         bool
	leaving       bool
	// forgotten is true if the host was removed from the group and is known again by a row of the
	// same incarnation only. It is sent heartbeats but does not count.
	forgotten   bool
	requestRate float64
	// hasFull is true once the host has received a full heartbeat of this host and takes
	// short ones.
	hasFull bool
	// sent is the number of the last full heartbeat that the host was sent, acknowledged that of the last one
	// that it is known to have received, and received that of the last one that was received of it.
	sent, acknowledged, received uint64
	// readAt is when the host's last heartbeat reported that it reads the store; zero if it
	// reported that it does not or stated no age. readAge is the age of the store's responses then, and
	// readPositions are the positions of the host's tables, in the order of Options.Tables.
	// reportHold is for how long the reports of live targets could be missing then, and countsRestores is
	// true if that counts also from the host's notice of a restore.
	readAt         time.Time
	readAge        time.Duration
	reportHold     time.Duration
	countsRestores bool
	readPositions  []mirror.Position
	// early is true from a heartbeat of sendEarly until the next interval.
	early bool
	// stated is what the host last said of its copies.
	stated statedCopy
}

// New returns a group that contains only this host.
func New(opts Options) *Group {
	return &Group{
		opts: opts, members: make(map[string]*memberState), classes: make(map[string]string), forgotten: make(map[string]forgottenHost),
		pullsRunning: make(map[string]bool), pullsWaiting: make(map[string]*Heartbeat), fetching: make(map[string]*fetched), startedAt: opts.Now(), soon: make(chan struct{}, 1),
	}
}

// Register registers the group's net/rpc service with a server.
func (g *Group) Register(s *peer.Server) error { return s.Register(serviceName, &service{g}) }

// receive handles a heartbeat that came as a call. It is taken to have been on the way for heartbeatDelay.
func (g *Group) receive(h *Heartbeat) { g.receiveMadeAfter(h, g.opts.Now().Add(-heartbeatDelay)) }

// receiveMadeAfter handles a heartbeat that was made after a time.
func (g *Group) receiveMadeAfter(h *Heartbeat, madeAfter time.Time) {
	now := g.opts.Now()
	g.opts.Crashes.Merge(h.Crashes, now)
	g.mu.Lock()
	s := g.addMember(h.From, now)
	if s != nil {
		g.introduced = g.introduced || h.StateVersion > 0
		s.requestRate = h.Rate
		if h.To == g.opts.Self.Incarnation {
			s.received, s.acknowledged = max(s.received, h.Number), max(s.acknowledged, h.Received)
		}
		g.recordStateVersion(h)
		g.recordStoreStatus(s, h, now)
		g.recordStated(s, h, madeAfter)
		g.markSeen(s, h.Leaving, now)
	}
	g.mu.Unlock()
	if s == nil {
		return
	}
	if len(h.StaleRecords) > 0 && g.opts.IgnoreStale != nil {
		g.opts.IgnoreStale(h.StaleRecords)
	}
	if len(h.Limits) > 0 && g.opts.ApplyLimits != nil {
		g.opts.ApplyLimits(h.Limits, now)
	}
	g.pullNewer(h)
}

// recordStateVersion records the version of the desired state that the sender of a heartbeat has. The lock must be held.
func (g *Group) recordStateVersion(h *Heartbeat) {
	if h.StateVersion <= g.stateVersion {
		return
	}
	g.stateVersion = h.StateVersion
	if g.opts.StateVersion == nil {
		return
	}
	if own := g.opts.StateVersion(); own < h.StateVersion {
		evNewerState.Log(g.opts.Log).Str("member", h.From.Name).Uint64("version", h.StateVersion).Uint64("own_version", own).Send()
	}
}

// SendSoon makes the group send heartbeats to all partners at once, or soonInterval after it last did.
func (g *Group) SendSoon() {
	select {
	case g.soon <- struct{}{}:
	default:
	}
}

// Run sends heartbeats to the partners until ctx ends.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	g.sendDue(ctx)
	soon := g.soon
	var again <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.sendDue(ctx)
		case <-soon:
			g.sendHeartbeats(ctx, func(Member) bool { return true })
			soon, again = nil, time.After(soonInterval)
		case <-again:
			soon, again = g.soon, nil
		}
	}
}

// sendDue expires members and sends heartbeats to the partners without recent contact.
func (g *Group) sendDue(ctx context.Context) {
	g.expireMembers()
	var readers map[string]bool
	if g.domainReaders() > 0 {
		readers = g.readers()
	}
	g.sendHeartbeats(ctx, func(m Member) bool {
		recent := recentContact
		if readers[m.Name] {
			recent = recentReaderContact
		}
		return g.endEarly(m) || !g.seenWithin(m, recent)
	})
}

// sendEarly sends heartbeats between two intervals. The next interval sends them again: else the time to the one after it
// would be more than readerTimeout.
func (g *Group) sendEarly(ctx context.Context, wanted func(Member) bool) {
	g.sendHeartbeats(ctx, func(m Member) bool {
		if !wanted(m) {
			return false
		}
		g.setEarly(m, true)
		return true
	})
}

// setEarly records whether a host was sent a heartbeat by sendEarly since the last interval, and returns what it was before.
func (g *Group) setEarly(m Member, early bool) (before bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.members[m.Name]; s != nil {
		before, s.early = s.early, early
	}
	return before
}

// endEarly reports whether a host was sent a heartbeat by sendEarly since the last interval.
func (g *Group) endEarly(m Member) bool { return g.setEarly(m, false) }

// sendHeartbeats starts a heartbeat call to each partner that wanted accepts.
func (g *Group) sendHeartbeats(ctx context.Context, wanted func(Member) bool) {
	for _, m := range g.allPartners() {
		if wanted(m) {
			go g.sendHeartbeat(ctx, m)
		}
	}
}

// seenWithin reports whether a heartbeat or reply from a host arrived within d.
func (g *Group) seenWithin(m Member, d time.Duration) bool {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.members[m.Name]
	return s != nil && !s.lastSeen.IsZero() && now.Sub(s.lastSeen) < d
}

// sendHeartbeat sends one heartbeat and handles the reply.
func (g *Group) sendHeartbeat(ctx context.Context, m Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	g.opts.Metrics.Counter("partners.beats").Add(1)
	sent := g.opts.Now()
	reply, err := g.exchange(ctx, m)
	if err != nil {
		g.opts.Metrics.Counter("partners.failed_beats").Add(1)
		return
	}
	g.receiveMadeAfter(reply, sent)
}

// Leave marks this host as leaving and announces it to all partners.
func (g *Group) Leave(ctx context.Context) {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.sendHeartbeats(ctx, func(Member) bool { return true })
}

// Owns reports whether this host is among the given number of owners of a key by rendezvous
// hashing. Only base hosts are owners (see baseHosts). Hosts that are known but not alive
// count as owners too, so that a network partition does not add owners.
func (g *Group) Owns(id string, owners int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := g.baseHosts()
	if !candidates[g.opts.Self.Name] || len(candidates) <= owners {
		return candidates[g.opts.Self.Name]
	}
	own := fleet.Score(ownerHashSalt, id+"/"+g.opts.Self.Name)
	higherScores := 0
	for name := range candidates {
		if fleet.Score(ownerHashSalt, id+"/"+name) > own {
			higherScores++
		}
	}
	return higherScores < owners
}

// Candidates returns how many hosts can be owners.
func (g *Group) Candidates() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.baseHosts())
}

// ownerHashSalt makes the owner scores independent of other rendezvous scores.
const ownerHashSalt = 0x6f776e6572
