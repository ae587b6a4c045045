package entry

import (
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
	"quetzalknot/process/memory"
)

var (
	evMemory = eventlog.Define(1023, zerolog.InfoLevel, "limits of memory and descriptors")
	evEnded  = eventlog.Define(1024, zerolog.WarnLevel, "stalled callers ended")
)

// newAccount returns the account of a host's memory and descriptors.
func (h *Host) newAccount(s *Settings) *memory.Account {
	limits := memory.LimitsOf(s.Host.MemoryMB, s.Host.FileDescriptors)
	if s.Host.MemoryMB > 0 {
		limits.Apply()
	}
	evMemory.Log(h.log).Int64("memory_bytes", limits.Memory).Int64("caller_bytes", limits.Bytes).
		Int64("descriptors", limits.Descriptors).Int64("caller_descriptors", limits.CallerDescriptors).Send()
	account := memory.New(limits)
	account.OnEnd = func(e memory.Ended) {
		evEnded.Log(h.log).Int("connections", e.Conns).Int64("bytes", e.Bytes).Str("caller", e.Caller).
			Int64("held", e.Held).Int64("stalled_ms", e.Stall.Milliseconds()).Send()
	}
	account.Reclaim = func() { h.pool.CloseIdle() }
	for name, read := range map[string]func(memory.Stats) int64{
		"held_bytes":          func(s memory.Stats) int64 { return s.Bytes },
		"descriptors":         func(s memory.Stats) int64 { return s.Descriptors },
		"caller_descriptors":  func(s memory.Stats) int64 { return s.CallerDescriptors },
		"ended_connections":   func(s memory.Stats) int64 { return s.EndedConns },
		"ended_bytes":         func(s memory.Stats) int64 { return s.EndedBytes },
		"refused_bytes":       func(s memory.Stats) int64 { return s.RefusedBytes },
		"refused_descriptors": func(s memory.Stats) int64 { return s.RefusedConns },
	} {
		h.metrics.Gauge("memory."+name, func() int64 { return read(account.Stats()) })
	}
	h.metrics.Gauge("memory.limit_bytes", func() int64 { return limits.Bytes })
	h.metrics.Gauge("memory.limit_descriptors", func() int64 { return limits.Descriptors })
	h.metrics.Gauge("memory.limit_caller_descriptors", func() int64 { return limits.CallerDescriptors })
	return account
}

// countTargetConn makes a connection give back its descriptor when it is closed.
func (h *Host) countTargetConn(conn net.Conn, err error) (net.Conn, error) {
	tcp, ok := conn.(*net.TCPConn)
	if err != nil || !ok {
		h.memory.ReleaseDescriptor()
		return conn, err
	}
	return &targetConn{TCPConn: tcp, account: h.memory}, nil
}

// targetConn is a connection to a target that holds a descriptor of the account.
type targetConn struct {
	*net.TCPConn
	account *memory.Account
	once    sync.Once
}

// Close implements net.Conn.
func (c *targetConn) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(c.account.ReleaseDescriptor)
	return err
}

const (
	// portHeaderBytes is the largest header of the ports for look-ups, readiness and metrics; net/http adds 4 KiB.
	portHeaderBytes = 8 << 10
	// portHeaderTimeout limits the time for reading a header on these ports.
	portHeaderTimeout = 3 * time.Second
	// portShare is the part of the descriptors, as a divisor, that each of these ports may use, within minPortConns
	// and maxPortConns.
	portShare    = 16
	minPortConns = 8
	maxPortConns = 256
	// portStall is how long a request of these ports may take before its connection may be ended.
	portStall = time.Second
)

// portConns limits the connections of a port that does not serve callers' requests. When there are too many, the one
// that was idle for the longest time is closed, so that idle connections never keep others out.
type portConns struct {
	limit int
	ended *expvar.Int

	mu sync.Mutex
	// conns holds when the state of each connection changed last.
	conns map[net.Conn]portConn
}

type portConn struct {
	since  time.Time
	active bool
}

func newPortConns(descriptors int64, ended *expvar.Int) *portConns {
	limit := max(minPortConns, min(maxPortConns, int(descriptors/portShare)))
	return &portConns{limit: limit, ended: ended, conns: make(map[net.Conn]portConn)}
}

// track implements http.Server.ConnState.
func (p *portConns) track(c net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(p.conns, c)
		return
	}
	if state == http.StateNew && len(p.conns) >= p.limit {
		victim := p.victim()
		if victim == nil {
			victim = c
		}
		_ = victim.Close()
		p.ended.Add(1)
		delete(p.conns, victim)
		if victim == c {
			return
		}
	}
	if _, known := p.conns[c]; known || state == http.StateNew {
		p.conns[c] = portConn{since: time.Now(), active: state == http.StateActive}
	}
}

// victim returns the connection to close: the one idle for the longest time, else one whose request takes long.
// It returns nil if there is none.
func (p *portConns) victim() net.Conn {
	var victim net.Conn
	var found portConn
	for c, state := range p.conns {
		if state.active && time.Since(state.since) < portStall {
			continue
		}
		if victim == nil || (found.active && !state.active) || (found.active == state.active && state.since.Before(found.since)) {
			victim, found = c, state
		}
	}
	return victim
}
