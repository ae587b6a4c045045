package entry

import (
	"context"
	"io"
	"log"
	"net"
	"syscall"
	"time"
)

const (
	// dialTimeout limits how long opening a connection may take.
	dialTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive, which
	// detects dead peers on idle connections.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout limits how long sent data may remain unacknowledged.
	userTimeout = 2 * time.Second
	// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT, whose value is in
	// milliseconds.
	tcpUserTimeout = 0x12
)

// discardLog discards the messages that net/http prints about callers' broken connections.
var discardLog = log.New(io.Discard, "", 0)

var dialer = net.Dialer{
	Timeout: dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	},
	Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// The error is ignored: without the option keep-alive still detects dead peers.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
		})
	},
}

// dial opens a connection that fails when the other end stops responding.
func (h *Host) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return h.open(ctx, network, addr)
}

// dialTarget opens a connection to a target and records how long that took.
func (h *Host) dialTarget(ctx context.Context, network, addr string) (net.Conn, error) {
	if err := h.memory.TakeDescriptor(); err != nil {
		return nil, err
	}
	start := time.Now()
	conn, err := dialer.DialContext(ctx, network, addr)
	conn, err = h.countTargetConn(conn, err)
	if err == nil {
		h.fleet.RecordDialTime(addr, time.Since(start))
		h.metrics.Counter("targets.connections").Add(1)
	}
	return conn, err
}
