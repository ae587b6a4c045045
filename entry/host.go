// Package entry runs an entry host on the users' platform: it replicates the desired
// state, the targets' reports and the list of hosts from the store and from partners, and
// serves callers' requests accordingly.
//
// host.go starts and stops the components, load.go takes the tables over at the start, taken.go
// knows when they are, apply.go applies records of the store and of partners, stale.go knows the
// reports of a restored store that no longer count, follow.go reads the store, keys.go knows whether
// keys are accepted, quota.go sets the rate limits of workspaces, outage.go and returned.go know when
// the store was away, endpoints.go answers the directory and the readiness check, settings.go holds the settings.
package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"quetzalknot/connection/caller"
	"quetzalknot/connection/target"
	"quetzalknot/platform/adapter"
	"quetzalknot/process/boottime"
	"quetzalknot/process/crash"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/fleet"
	"quetzalknot/process/memory"
	"quetzalknot/process/metrics"
	"quetzalknot/process/mirror"
	"quetzalknot/process/partner"
	"quetzalknot/process/peer"
	"quetzalknot/process/quota"
	"quetzalknot/request/budget"
	"quetzalknot/request/place"
	"quetzalknot/request/serve"
	"quetzalknot/version/routes"
)

var (
	evStarted            = eventlog.Define(1011, zerolog.InfoLevel, "entry host started")
	evLeaving            = eventlog.Define(1012, zerolog.InfoLevel, "entry host leaving")
	evStopped            = eventlog.Define(1013, zerolog.InfoLevel, "entry host stopped")
	evSettingsReloaded   = eventlog.Define(1014, zerolog.InfoLevel, "settings reloaded")
	evSettingsRejected   = eventlog.Define(1015, zerolog.ErrorLevel, "settings rejected")
	evLinesDropped       = eventlog.Define(1016, zerolog.WarnLevel, "log lines dropped")
	evReadinessChanged   = eventlog.Define(1017, zerolog.InfoLevel, "readiness changed")
	evRequestQuarantined = eventlog.Define(1018, zerolog.WarnLevel, "request quarantined")
	evMalformed          = eventlog.Define(1020, zerolog.WarnLevel, "malformed request rejected")
	evBudgetChanged      = eventlog.Define(1019, zerolog.InfoLevel, "retry budget changed")
)

// Costs of traffic between failure domains and between regions, as equivalent latency for
// each kilobyte.
const (
	crossDomainCost = 4 * time.Millisecond
	crossRegionCost = 10 * time.Millisecond
)

// Host is one entry host process.
type Host struct {
	path      string
	settings  atomic.Pointer[Settings]
	log       zerolog.Logger
	logWriter *eventlog.AsyncWriter
	metrics   *metrics.Set
	self      partner.Member

	config atomic.Pointer[routes.Config]
	keys   keyConfirmation
	// open opens a connection to the store or to another host.
	open func(ctx context.Context, network, addr string) (net.Conn, error)
	// bootTime returns the time by a clock that goes on while the machine is suspended.
	bootTime    func() time.Duration
	mirror      *mirror.Mirror
	store       *adapter.Store
	storeStatus *storeStatus
	outage      *outage
	// returnCheckedAt is when tick last asked whether the store has returned.
	returnCheckedAt time.Time
	fleet           *fleet.Fleet
	chooser         *place.Chooser
	pool            *target.Pool
	budgets         *budget.SlidingWindows
	crashes         *crash.Counts
	group           *partner.Group
	peers           *peer.Server
	clients         *peer.ClientPool
	handler         *serve.Handler
	limiter         *quota.Limiter
	quotaNode       *quota.Node
	memory          *memory.Account
	applyMu         sync.Mutex
	// evacuationHolds holds, for each failure domain whose evacuation a restored store lacks,
	// when the evacuation ends. applyMu guards it.
	evacuationHolds map[string]time.Time
	// stale holds the reports of a restored store that are of targets that had left.
	stale *staleReports
	// eraSeenAt is when a table first showed the store's present era, with a reading of the steady clock; nil
	// means that it was that of the host's start.
	eraSeenAt atomic.Pointer[time.Time]

	// followedAt is when this host last had all changes of a partner that reads the store, with a
	// reading of the steady clock; nil means never.
	followedAt atomic.Pointer[time.Time]
	// awaySince is when this host last noticed that an outage of the store began, with a reading of
	// the steady clock; nil means never.
	awaySince atomic.Pointer[time.Time]

	startedAt time.Time
	// askSpread is this host's part, from 0 to 1, of the spread of staleSpread. The others are of tick.
	askSpread                 float64
	askPause                  time.Duration
	nextAskAt, readersAskedAt time.Time
	rate                      peakRate
	leaving                   atomic.Bool
	// announced is true once this host's row is written, in the store's era rowEra and at the
	// revision rowRevision.
	announced           atomic.Bool
	rowEra, rowRevision atomic.Uint64
	// taken holds the tables that were taken over from the store or a partner since the start.
	taken takenTables
	// sendRateMu makes limitSendRate look and act in one step.
	sendRateMu sync.Mutex
	// rowLost receives a value when this host's row may be lost and must be written again.
	rowLost chan struct{}
	// lastUnreadyReason is the reason that logReadiness logged last: why the host was not ready,
	// or "".
	lastUnreadyReason string
	entry             *caller.Server
	servers           []*http.Server
	cancel            context.CancelFunc
	loops             sync.WaitGroup
}

// New returns a host that has not started. Reload reads the settings from path.
func New(s *Settings, path string, logs io.Writer) *Host {
	h := &Host{
		path: path, lastUnreadyReason: "the host starts", logWriter: eventlog.NewAsyncWriter(logs), metrics: metrics.NewSet(),
		mirror: mirror.New(), storeStatus: newStoreStatus(), outage: newOutage(), taken: newTakenTables(), stale: newStaleReports(),
		open: dialer.DialContext, bootTime: boottime.Now, startedAt: time.Now(), askSpread: rand.Float64(), askPause: minAskPause, rowLost: make(chan struct{}, 1), evacuationHolds: make(map[string]time.Time),
	}
	h.settings.Store(s)
	h.log = eventlog.New(h.logWriter, s.Host.Name)
	h.self = partner.Member{
		Name: s.Host.Name, Incarnation: time.Now().UnixNano(), Region: s.Host.Region, Domain: s.Host.FailureDomain,
		Peer: peerAddr(s), Entry: s.Listen.Entry, Capacity: s.Host.Capacity(),
	}
	h.store = adapter.NewStore(s.Store.Address, h.dial)
	h.store.OnCall = func(call string, status int) {
		h.metrics.Counter("store." + call + "." + strconv.Itoa(status)).Add(1)
	}
	h.store.OnBytes = func(call, table string, size adapter.CallSize) {
		h.metrics.Counter("store.sent_bytes." + call + "." + table).Add(int64(size.Sent))
		h.metrics.Counter("store.received_bytes." + call + "." + table).Add(int64(size.Received))
	}
	h.logWriter.OnDropped(func(lines int64) {
		evLinesDropped.Log(h.log).Int64("lines", lines).Int64("total", h.logWriter.Dropped()).Send()
	})
	h.crashes = crash.New()
	h.crashes.MayTry = func(fingerprint uint64) bool { return h.group.Owns(strconv.FormatUint(fingerprint, 16), 1) }
	h.crashes.OnLimitReached = func(fingerprint uint64, crashes int) {
		evRequestQuarantined.Log(h.log).Uint64("fingerprint", fingerprint).Int("crashes", crashes).Send()
		h.group.ResendFull() // only full heartbeats name the requests that crashed the targets
	}
	h.crashes.OnRise = func() { h.group.SendSoon() }
	h.clients = peer.NewClientPool(nil, h.dial)
	h.peers = peer.NewServer(nil)
	h.group = partner.New(partner.Options{
		Self: h.self, Tables: adapter.Tables(), Mirror: h.mirror, Apply: h.applyPulled, Crashes: h.crashes,
		RequestRate: h.rate.perSecond, StoreStatus: h.ownStoreStatus, StateVersion: h.stateVersion,
		StaleRecords: h.stale.all, IgnoreStale: h.ignoreStale,
		Limits: func(acknowledged uint64, now time.Time) ([]fleet.StatedLimit, uint64) {
			return h.fleet.StatedLimits(acknowledged, now)
		},
		ApplyLimits: func(limits []fleet.StatedLimit, now time.Time) { h.fleet.ApplyStatedLimits(limits, now) },
		Confirmed:   h.confirmed, BootTime: func() time.Duration { return h.bootTime() },
		Client: h.clients, Metrics: h.metrics, Log: h.log, Now: time.Now,
	})
	h.clients.OnMessage = h.group.CountMessage
	h.fleet = fleet.New(h.log, h.group)
	h.fleet.OnLimitChange(h.group.ResendFull)
	h.chooser = place.New(h.fleet, place.Options{
		Region: s.Host.Region, FailureDomain: s.Host.FailureDomain,
		Costs: place.Costs{CrossDomain: crossDomainCost, CrossRegion: crossRegionCost},
	})
	h.memory = h.newAccount(s)
	h.pool = target.NewPool(h.dialTarget)
	h.budgets = budget.NewSlidingWindows(time.Duration(s.Bounds.RetryWindow), 0, 0)
	h.budgets.OnChange = func(c budget.Change) {
		evBudgetChanged.Log(h.log).Str("service", c.Service).Bool("used_up", c.UsedUp).Int("requests", c.Requests).Int("retries", c.Extra).Send()
	}
	h.setBudgets()
	h.limiter = newLimiter(s, h.self)
	h.quotaNode = quota.NewNode(quota.NodeOptions{
		Limiter: h.limiter, Client: h.clients, Hosts: h.otherHosts, Metrics: h.metrics, Log: h.log, Now: time.Now,
	})
	h.handler = serve.New(serve.Options{
		Config: h.servingConfig, Chooser: h.chooser, Fleet: h.fleet, Pool: h.pool, Budget: h.budgets, Crashes: h.crashes,
		Headers: adapter.HeaderCodec{}, UpToDate: h.stateConfirmed, AcceptsKeys: h.acceptsKeys, StateAge: func() time.Duration { return h.staleness(time.Now()) }, NewestVersion: func() uint64 { return h.group.StateVersion() },
		RateLimiter: h.quotaNode, Metrics: h.metrics, Log: h.log,
	})
	return h
}

// servingConfig returns the configuration by which requests are served; nil before one is known and before this host
// may serve.
func (h *Host) servingConfig() *routes.Config {
	if !h.group.MayServe(time.Now()) {
		return nil
	}
	return h.config.Load()
}

func peerAddr(s *Settings) string {
	ip, _ := netip.ParseAddr(s.Host.IP) // validated by Parse
	return netip.AddrPortFrom(ip, s.Listen.FirstPeerPort).String()
}

// Start listens on all addresses and begins to serve.
func (h *Host) Start(ctx context.Context) error {
	ctx, h.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s := h.settings.Load()
	if err := h.group.Register(h.peers); err != nil {
		return err
	}
	if err := h.quotaNode.Register(h.peers); err != nil {
		return err
	}
	h.peers.LimitConnections(h.memory.Limits().Partners)
	if err := h.peers.Listen(h.self.Peer); err != nil {
		return err
	}
	if err := h.listen(s.Listen.Ready, adapter.Readiness(h.ready)); err != nil {
		return err
	}
	if err := h.listen(s.Listen.Directory, adapter.Directory(h.directory, lookupTTL(s))); err != nil {
		return err
	}
	if err := h.listenMetrics(s); err != nil {
		return err
	}
	if err := h.listenEntry(s.Listen.Entry); err != nil {
		return err
	}
	h.loops.Go(func() { h.group.Run(ctx) })
	h.loops.Go(func() {
		h.load(ctx)
		h.loops.Go(func() { h.followTable(ctx, adapter.OperatorTable) })
		h.loops.Go(func() { h.followTable(ctx, adapter.TargetTable) })
		h.discoverHosts(ctx)
	})
	h.loops.Go(func() { h.tick(ctx) })
	h.loops.Go(func() { h.followKeys(ctx) })
	h.loops.Go(func() { h.quotaNode.Run(ctx) })
	evStarted.Log(h.log).Str("entry", s.Listen.Entry).Str("peer", h.self.Peer).Int64("incarnation", h.self.Incarnation).Send()
	return nil
}

// listenMetrics serves the metrics as text at /metrics and in expvar format at /debug/vars.
func (h *Host) listenMetrics(s *Settings) error {
	if s.Listen.MetricsPort == 0 {
		return nil
	}
	h.metrics.Gauge("serve.in_flight_requests", h.handler.InFlight)
	for _, state := range fleet.States {
		h.metrics.Gauge("targets."+state, func() int64 { return h.fleet.Count(state, time.Now()) })
	}
	h.metrics.Gauge("keys.confirmed_age_ms", func() int64 {
		age, _ := h.keys.age(h.bootTime())
		return age.Milliseconds()
	})
	h.metrics.Gauge("targets.known", func() int64 { return int64(h.fleet.Size()) })
	h.metrics.Gauge("partners.alive", func() int64 { return int64(len(h.group.Alive())) })
	for _, table := range adapter.Tables() {
		h.metrics.Gauge("store.unanswered_ms."+table, func() int64 { return h.storeStatus.sinceAnswer(table, time.Now()).Milliseconds() })
	}
	h.metrics.Gauge("store.staleness_ms", func() int64 { return h.staleness(time.Now()).Milliseconds() })
	h.metrics.Gauge("quota.share_permille", func() int64 { return int64(1000 * h.limiter.Share(time.Now())) })
	h.metrics.Gauge("peer.sent_bytes", func() int64 {
		return h.peers.Traffic.BytesSent.Load() + h.clients.Traffic.BytesSent.Load()
	})
	h.metrics.Gauge("peer.received_bytes", func() int64 {
		return h.peers.Traffic.BytesReceived.Load() + h.clients.Traffic.BytesReceived.Load()
	})
	h.metrics.Gauge("log.dropped_lines", h.logWriter.Dropped)
	router := mux.NewRouter()
	router.Path("/metrics").Handler(h.metrics.TextHandler())
	router.Path("/debug/vars").Handler(h.metrics)
	ip, _ := netip.ParseAddr(s.Host.IP) // validated by Parse
	return h.listen(netip.AddrPortFrom(ip, s.Listen.MetricsPort).String(), router)
}

const (
	// headerTimeout limits how long a caller may take to send the request header, unless the
	// operator allows more.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout is how long a caller's idle connection is kept, unless the operator
	// allows more.
	callerIdleTimeout = time.Minute
	// callerHeaderBytes is the largest request header, unless the operator allows more. It is
	// bounded so that callers with endless headers take little of a host's memory.
	callerHeaderBytes = 256 << 10
)

func (h *Host) listen(addr string, handler http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ports := newPortConns(h.memory.Limits().Descriptors, h.metrics.Counter("ports.ended_connections"))
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: portHeaderTimeout, IdleTimeout: callerIdleTimeout, ErrorLog: discardLog,
		MaxHeaderBytes: portHeaderBytes, ConnState: ports.track,
	}
	h.servers = append(h.servers, server)
	h.loops.Go(func() { _ = server.Serve(l) })
	return nil
}

// listenEntry serves callers' requests.
func (h *Host) listenEntry(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	rejected := h.metrics.Counter("callers.rejected_requests")
	h.entry = &caller.Server{
		Handler: h.handler, Idempotent: h.handler.Idempotent,
		Limits: h.callerLimits, LimitsConfirmed: h.stateConfirmed, Memory: h.memory,
		OnReject: func(remote string, err error) {
			rejected.Add(1)
			evMalformed.Log(h.log).Str("caller", remote).Err(err).Send()
		},
	}
	h.loops.Go(func() { _ = h.entry.Serve(l) })
	return nil
}

// callerLimits returns the limits on callers' connections. They are no tighter than those of
// the configuration in force.
func (h *Host) callerLimits() caller.ConnLimits {
	limits := caller.ConnLimits{HeaderBytes: callerHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout}
	if c := h.config.Load(); c != nil {
		limits.HeaderBytes = max(limits.HeaderBytes, int(c.Limits.HeaderBytes))
		limits.HeaderTimeout = max(limits.HeaderTimeout, c.Limits.HeaderTimeout)
		limits.IdleTimeout = max(limits.IdleTimeout, c.Limits.IdleTimeout)
	}
	return limits
}

// Reload reads the settings file again. If it is invalid, the old settings stay in force.
// Settings that are used only at the start, such as addresses, do not change; the log names
// those that differ in the file.
func (h *Host) Reload() {
	s, err := Load(h.path)
	if err != nil {
		evSettingsRejected.Log(h.log).Err(err).Send()
		return
	}
	if kept := s.keepStartSettings(h.settings.Load()); len(kept) > 0 {
		evSettingsKept.Log(h.log).Strs("settings", kept).Send()
	}
	h.settings.Store(s)
	h.setBudgets()
	evSettingsReloaded.Log(h.log).Send()
}

const (
	// acceptWhileLeaving is how long a leaving host still accepts connections, because
	// callers cache directory answers that name it.
	acceptWhileLeaving = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace period a host stops waiting for
	// requests in flight.
	stopMargin = 250 * time.Millisecond
	// answerMargin is how long before that the requests in flight get their final responses, so that
	// these are written.
	answerMargin = 150 * time.Millisecond
	// logMargin is how long before the end of the grace period a host stops waiting for its
	// log output.
	logMargin = stopMargin / 2
	// stopPoll is the time between two checks for requests in flight.
	stopPoll = 20 * time.Millisecond
	// withdrawTimeout limits how long the removal of this host's row may take.
	withdrawTimeout = time.Second
)

// Stop shuts the host down gracefully: it leaves the directory, keeps serving until callers
// have new directory answers, and stops when the last request has ended or the grace period
// is over. Requests that are still in flight shortly before get their final responses then.
func (h *Host) Stop(ctx context.Context) {
	deadline := time.Now().Add(time.Duration(h.settings.Load().Bounds.Grace) - stopMargin)
	h.leaving.Store(true)
	h.limiter.SetLeaving()
	h.handler.Stop(deadline.Add(-answerMargin))
	h.entry.Drain()
	evLeaving.Log(h.log).Int64("in_flight", h.handler.InFlight()).Send()
	h.group.Leave(ctx)
	go h.withdraw()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	pause(ctx, acceptWhileLeaving)
	_ = h.entry.Shutdown(ctx)
	for h.handler.InFlight() > 0 && pause(ctx, stopPoll) {
	}
	h.close()
	evStopped.Log(h.log).Int64("in_flight", h.handler.InFlight()).Send()
	h.logWriter.CloseBefore(deadline.Add(stopMargin - logMargin))
}

func (h *Host) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	_ = h.store.Withdraw(ctx, h.self, h.rowRevision.Load()) // on failure the other hosts notice the missing heartbeats
}

func (h *Host) close() {
	h.cancel()
	for _, server := range h.servers {
		_ = server.Close()
	}
	if h.entry != nil {
		_ = h.entry.Close()
	}
	_ = h.peers.Close()
	h.clients.Close()
	h.pool.Close()
	h.loops.Wait()
}

// pause waits for d and returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
